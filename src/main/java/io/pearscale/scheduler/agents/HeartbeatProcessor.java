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
 * Takes in heartbeats, whether they came by themselves or as answers to commands: first what one
 * says of its machine, then the status of each task that it lists, then what follows from the tasks
 * that it does not list.
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

  /** Makes a processor that updates the machines, attempts and jobs of the state. */
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
   * Takes in a heartbeat that is newer than all that were taken in of its machine.
   *
   * <p>Invariant: nothing is concluded from a heartbeat of a machine that is not reconciled and
   * that does not show this term's fencing token. Its agent has not heard of this term, or it is a
   * late copy: it says nothing of what an old command may yet do, nor that the machine is alive.
   *
   * @param reachable whether it shows that what the leader sends reaches the machine
   */
  void process(Machine machine, Heartbeat heartbeat, boolean reachable) {
    updateMachine(machine, heartbeat);
    if (!machine.reconciled()) {
      if (!leadership.isFromThisTerm(heartbeat.fencingToken())) {
        return;
      }
      machine.markReconciled();
      requestPass.run();
    }
    updateLiveness(machine, heartbeat, reachable);
    Set<TaskAttempt> present = applyStatuses(machine, heartbeat);
    absenceProver.removeAbsent(machine, heartbeat, present);
    if (machine.preemptionNoticeAt().isPresent()) {
      termination.prepareForPreemption(machine);
    }
    if (!machine.reportedAttempts().unknown().isEmpty()) {
      inventory.markCommandDue(machine);
    }
  }

  /** Applies all statuses; returns the attempts that are present on the machine. */
  private Set<TaskAttempt> applyStatuses(Machine machine, Heartbeat heartbeat) {
    ReportedAttempts.PreviousReport previous = machine.reportedAttempts().beginMessage();
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

  /** Takes in what a heartbeat says of the machine itself, whatever term its agent has heard of. */
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

  /** Takes in the incarnation; one that was not expected is worth a line in the log. */
  private void updateIncarnation(Machine machine, Heartbeat heartbeat, Instant now) {
    long previous = machine.lease().incarnation();
    boolean isNew = machine.lease().observe(heartbeat, now);
    if (isNew && (machine.leaseExpired() || (previous > 0 && heartbeat.incarnation() > previous))) {
      decisions.recordIncarnationBegan(machine, heartbeat, previous);
    }
  }

  /** Records that a machine lives, and until when if it will be preempted. */
  private void updateLiveness(Machine machine, Heartbeat heartbeat, boolean reachable) {
    Instant now = clock.instant();
    if (reachable) {
      machine.reachability().recordReachable(now);
    }
    if (heartbeat.preemptionNotice().isPresent() && machine.preemptionNoticeAt().isEmpty()) {
      LOG.info(
          "event=preemption_notice_received term={} machine={} remaining={}",
          leadership.term(),
          machine.name(),
          heartbeat.preemptionNotice().get());
    }
    machine.recordAlive(heartbeat.preemptionNotice().map(now::plus));
  }
}
