package io.pearscale.scheduler.agents;

import io.pearscale.scheduler.agents.MachineRetirement.Reason;
import io.pearscale.scheduler.model.AbsenceProof;
import io.pearscale.scheduler.model.AgentTimings;
import io.pearscale.scheduler.model.DecisionLog;
import io.pearscale.scheduler.model.DecisionRecorder;
import io.pearscale.scheduler.model.LeaderState;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.Machine.Lifecycle;
import io.pearscale.scheduler.model.MachineInventory;
import io.pearscale.storage.Maintenance;
import java.time.Instant;
import java.util.Optional;
import java.util.Set;

/**
 * Detects failed machines and reacts to them: probes machines whose heartbeats are overdue, expires
 * leases, withdraws planned attempts, and retires machines that have failed.
 */
public final class FailureDetector {
  private final MachineInventory inventory;
  private final DecisionRecorder records;
  private final AgentTimings timings;
  private final MachineProber prober;
  private final MachineRetirement retirement;
  private final DecisionLog decisions;
  private final MachineChecks checks;
  private Optional<FleetReachability> fleetReachability = Optional.empty();

  /** Creates a detector that sends its probes through the dispatcher. */
  public FailureDetector(
      LeaderState state,
      AgentTimings timings,
      CommandDispatcher dispatcher,
      MachineRetirement retirement) {
    this.inventory = state.inventory();
    this.records = state.records();
    this.decisions = state.decisions();
    this.timings = timings;
    this.prober = dispatcher.prober();
    this.retirement = retirement;
    this.checks = new MachineChecks(state.leadership(), timings);
  }

  /** Returns whether tasks may be placed on the machine. */
  public boolean isSchedulable(Machine machine, Instant now) {
    return checks.isSchedulable(machine, now);
  }

  /**
   * Returns the zones in which most machines are unreachable. Machines provisioned there would not
   * be usable now.
   */
  public Set<String> unreachableZones(Instant now) {
    return fleetReachability(now).unreachableZones();
  }

  /** Starts a round of checks, for which the unreachable machines are counted again. */
  public void beginRound() {
    fleetReachability = Optional.empty();
  }

  /** Checks one machine and takes the actions that its state requires. */
  public void check(Machine machine, Instant now) {
    if (checks.isHealthy(machine, now)) {
      return;
    }
    if (checks.isLeaseExpiryDue(machine, now)) {
      expireLease(machine);
    }
    if (checks.needsProbe(machine, prober.hasProbedAllRecorded(), now) && prober.mayProbe()) {
      prober.probe(machine);
    }
    // This must precede the withdrawal: planned attempts count as a reason to release the machine.
    boolean unreachable = checks.isUnreachable(machine, fleetReachability(now), now);
    if (!checks.mayKeepPlanned(machine, now)) {
      inventory.withdrawPlanned(machine);
    }
    reasonToRetire(machine, unreachable, now)
        .ifPresent(reason -> retirement.retire(machine, reason));
  }

  /**
   * Handles an expired lease: no task can be alive on the machine. Its agent has moved on to a new
   * incarnation, and must report it with this term's fencing token before a task is started there.
   */
  private void expireLease(Machine machine) {
    machine.expireLease();
    decisions.recordLeaseExpired(machine, machine.attempts().size(), timings.leaseExpiryBound());
    inventory.removeAll(machine, AbsenceProof.LEASE_EXPIRED);
    machine.lease().endIncarnation();
    if (machine.lifecycle() == Lifecycle.UP && machine.maintenance().isInService()) {
      // Without a record, the next leader does not wait for this lease again. The machine is
      // recorded again before the next start on it.
      records.removeMachine(machine);
    }
  }

  /** Returns the reason to release the machine, from the first check that finds one. */
  private Optional<Reason> reasonToRetire(Machine machine, boolean unreachable, Instant now) {
    if (machine.maintenance().stage() == Maintenance.Stage.DRAINED
        && machine.attempts().isEmpty()) {
      // Operators may switch off a drained machine, so its failure is no reason to release it. The
      // state that the provider reports for it is still handled elsewhere.
      return Optional.empty();
    }
    if (MachineChecks.hasExceededBootTimeout(machine, now)) {
      return Optional.of(Reason.BOOT_TIMEOUT);
    }
    if (MachineChecks.wasPreempted(machine, now)) {
      return Optional.of(Reason.PREEMPTED);
    }
    boolean empty = machine.lifecycle() == Lifecycle.UP && machine.attempts().isEmpty();
    if (machine.failures().isQuarantined() && empty) {
      return Optional.of(Reason.QUARANTINED);
    }
    if (unreachable) {
      return Optional.of(Reason.UNREACHABLE);
    }
    if (shouldRetireForHeartbeatPath(machine, empty, now)) {
      return Optional.of(Reason.HEARTBEAT_PATH_DOWN);
    }
    return checks.hasExceededHeartbeatTimeout(machine, fleetReachability(now), now)
        ? Optional.of(Reason.MISSED_HEARTBEATS)
        : Optional.empty();
  }

  /**
   * Returns whether to release a machine that answers commands but whose heartbeats do not arrive.
   * A machine that may run tasks is kept: after a failover, while a controller is unresponsive, its
   * heartbeats may fail to reach any controller for that long and still arrive before its lease
   * expires.
   */
  private boolean shouldRetireForHeartbeatPath(Machine machine, boolean empty, Instant now) {
    return checks.isHeartbeatPathDown(machine, now)
        && empty
        && fleetReachability(now).fewUnreachable();
  }

  /**
   * Returns the reachability of the fleet, counted once per round. Deleting an unreachable machine
   * proves that its tasks are absent sooner than waiting for its lease to expire. This is justified
   * only while nearly all other machines are reachable; otherwise the leader itself is probably
   * partitioned. If a whole zone is unreachable but most machines are reachable, machines with
   * replicas are still deleted: otherwise, if the leader then fails, its successor would wait for a
   * full lease from its own election before it replaces replicas that serve no users.
   */
  private FleetReachability fleetReachability(Instant now) {
    if (fleetReachability.isEmpty()) {
      fleetReachability =
          Optional.of(
              FleetReachability.count(
                  inventory.all(), checks::lastContact, now.minus(timings.unresponsiveAfter())));
    }
    return fleetReachability.get();
  }
}
