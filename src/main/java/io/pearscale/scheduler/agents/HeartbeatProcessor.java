package io.pearscale.scheduler.agents;

import io.pearscale.protocol.Heartbeat;
import io.pearscale.protocol.Heartbeat.TaskStatus;
import io.pearscale.scheduler.model.DecisionLog;
import io.pearscale.scheduler.model.DecisionRecorder;
import io.pearscale.scheduler.model.LeaderState;
import io.pearscale.scheduler.model.LeaderStatistics;
import io.pearscale.scheduler.model.Leadership;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.MachineInventory;
import io.pearscale.scheduler.model.RenewalEndProof;
import io.pearscale.scheduler.model.ReportedAttempts;
import io.pearscale.scheduler.model.TaskAttempt;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashSet;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Processes heartbeats, both periodic ones and those in replies to commands. For each heartbeat it
 * first updates the machine, then applies the status of each listed task, then removes attempts
 * that the heartbeat proves to be absent.
 */
public final class HeartbeatProcessor {
  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatProcessor.class);

  private final Leadership leadership;
  private final MachineInventory inventory;
  private final DecisionRecorder records;
  private final InstantSource clock;
  private final Runnable requestPass;
  private final DecisionLog decisions;
  private final TaskStatusApplier statusApplier;
  private final AbsenceProver absenceProver;
  private final GracefulTermination termination;

  /** Creates a processor that updates the machines, attempts and jobs of the leader's state. */
  public HeartbeatProcessor(
      LeaderState state, GracefulTermination termination, LeaderStatistics statistics) {
    this.leadership = state.leadership();
    this.inventory = state.inventory();
    this.records = state.records();
    this.clock = state.clock();
    this.requestPass = state.requestPass();
    this.decisions = state.decisions();
    this.statusApplier = new TaskStatusApplier(state, new TaskEndHandler(state), statistics);
    this.absenceProver = new AbsenceProver(inventory);
    this.termination = termination;
  }

  /**
   * Processes a heartbeat that is newer than all processed heartbeats of its machine.
   *
   * <p>Invariant: the liveness and the task statuses in a heartbeat are ignored if the machine is
   * not reconciled and the heartbeat does not carry a fencing token of this term. Such a heartbeat
   * is either a delayed copy, or its agent has not seen this term yet. It proves neither that
   * commands of an earlier term can no longer be executed nor that the machine is alive.
   *
   * @param reachable whether the heartbeat shows that messages of the leader reach the machine
   */
  void process(Machine machine, Heartbeat heartbeat, boolean reachable) {
    updateMachine(machine, heartbeat);
    if (!machine.reconciled()) {
      if (!leadership.isFromThisTerm(heartbeat.fencingToken())) {
        return;
      }
      machine.markReconciled();
      inventory.endPreviousLeaders(machine, RenewalEndProof.TOKEN_OF_THIS_TERM);
      requestPass.run();
    }
    updateLiveness(machine, heartbeat, reachable);
    Set<TaskAttempt> present = applyStatuses(machine, heartbeat);
    absenceProver.removeAbsent(machine, heartbeat, present);
    if (machine.preemptionAt().isPresent()) {
      termination.prepareForPreemption(machine);
    }
    if (!machine.reportedAttempts().unknown().isEmpty()) {
      inventory.markCommandDue(machine);
    }
  }

  /** Applies all task statuses and returns the attempts that are present on the machine. */
  private Set<TaskAttempt> applyStatuses(Machine machine, Heartbeat heartbeat) {
    ReportedAttempts.PreviousReport previous = machine.reportedAttempts().takePreviousReport();
    Set<TaskAttempt> present = new HashSet<>();
    for (TaskStatus status : heartbeat.tasks()) {
      if (status.stage() == Heartbeat.Stage.ENDED) {
        statusApplier.applyEnded(machine, heartbeat, status, previous);
      } else {
        statusApplier.applyPresent(machine, heartbeat, status, previous).ifPresent(present::add);
      }
    }
    return present;
  }

  /** Updates the machine's own data, regardless of the term that its agent has seen. */
  private void updateMachine(Machine machine, Heartbeat heartbeat) {
    Instant now = clock.instant();
    updateIncarnation(machine, heartbeat, now);
    machine.recordMessage(heartbeat.fencingToken(), heartbeat.address());
    if (machine.record().isOutdatedBy(machine.address())) {
      records.recordMachineDeferred(machine);
    }
    if (machine.reachability().messageReceived()) {
      LOG.info(
          "event=machine_up term={} machine={} type={} zone={} spot={} after_ms={}",
          leadership.term(),
          machine.name(),
          machine.type().name(),
          machine.zone(),
          machine.spot(),
          Duration.between(machine.provisionedAt(), now).toMillis());
    }
  }

  /** Updates the machine's incarnation and logs an unexpected one. */
  private void updateIncarnation(Machine machine, Heartbeat heartbeat, Instant now) {
    long previous = machine.lease().incarnation();
    boolean isNew = machine.lease().observe(heartbeat, now);
    if (isNew && (machine.leaseExpired() || (previous > 0 && heartbeat.incarnation() > previous))) {
      decisions.recordIncarnationBegan(machine, heartbeat, previous);
    }
  }

  /** Records that a machine is alive, and when it will be preempted if it has a notice. */
  private void updateLiveness(Machine machine, Heartbeat heartbeat, boolean reachable) {
    Instant now = clock.instant();
    if (reachable) {
      machine.reachability().recordReachable(now);
    }
    if (heartbeat.preemptionNotice().isPresent() && machine.preemptionAt().isEmpty()) {
      LOG.info(
          "event=preemption_notice_received term={} machine={} remaining={}",
          leadership.term(),
          machine.name(),
          heartbeat.preemptionNotice().get());
    }
    machine.recordAlive(heartbeat.preemptionNotice().map(now::plus));
  }
}
