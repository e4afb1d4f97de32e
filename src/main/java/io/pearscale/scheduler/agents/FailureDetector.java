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
 * Detects failures of machines one by one, and acts on them: probes those whose heartbeats are
 * overdue, expires leases, withdraws what is planned for them, and retires those that have failed.
 */
public final class FailureDetector {
  private final MachineInventory inventory;
  private final DecisionRecorder records;
  private final AgentTimings timings;
  private final MachineProber prober;
  private final MachineRetirement retirement;
  private final DecisionLog decisions;
  private final MachineChecks checks;
  private Optional<FleetReachability> reachability = Optional.empty();

  /** Makes a detector that sends its probes through the dispatcher. */
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

  /** Whether tasks may be placed on the machine. */
  public boolean isSchedulable(Machine machine, Instant now) {
    return checks.isSchedulable(machine, now);
  }

  /**
   * Zones of which most machines are silent, so that nothing provisioned there is of use by now.
   */
  public Set<String> unreachableZones(Instant now) {
    return reachability(now).unreachableZones();
  }

  /** A round over the machines begins: how many are silent is counted anew. */
  public void beginRound() {
    reachability = Optional.empty();
  }

  /** Looks after one machine. */
  public void check(Machine machine, Instant now) {
    if (checks.isHealthy(machine, now)) {
      return;
    }
    if (checks.hasLeaseRunOut(machine, now)) {
      expireLease(machine);
    }
    if (checks.needsProbe(machine, prober.hasProbedAllRecorded(), now) && prober.mayProbe()) {
      prober.probe(machine);
    }
    // Judged first: what is only planned still counts as something to be freed.
    boolean unreachable = checks.isUnreachable(machine, reachability(now), now);
    if (!checks.mayKeepPlanned(machine, now)) {
      inventory.withdrawPlanned(machine);
    }
    reasonToRetire(machine, unreachable, now)
        .ifPresent(reason -> retirement.retire(machine, reason));
  }

  /**
   * Nothing can be alive on the machine. Its agent has gone on to another incarnation and has to
   * show that, with this term's token, before anything is started there.
   */
  private void expireLease(Machine machine) {
    machine.expireLease();
    decisions.recordLeaseExpired(machine, machine.attempts().size(), timings.leaseExpiryBound());
    inventory.removeAll(machine, AbsenceProof.LEASE_EXPIRED);
    machine.lease().endIncarnation();
    if (machine.lifecycle() == Lifecycle.UP && machine.maintenance().isInService()) {
      // A successor need not wait for it again. Before its next start it is recorded anew.
      records.removeMachine(machine);
    }
  }

  /** Why the machine is to be released, by the first check that says so. */
  private Optional<Reason> reasonToRetire(Machine machine, boolean unreachable, Instant now) {
    if (machine.maintenance().stage() == Maintenance.Stage.DRAINED
        && machine.attempts().isEmpty()) {
      // Whoever maintains it may switch it off; what the cloud says of it counts all the same.
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
    return checks.hasMissedHeartbeatsForLong(machine, reachability(now), now)
        ? Optional.of(Reason.MISSED_HEARTBEATS)
        : Optional.empty();
  }

  /**
   * Whether a machine that answers but sends no heartbeats is to be released. Not while anything
   * may run there: after a failover, with a controller that stands still, a heartbeat may find
   * nobody for as long, and comes in time.
   */
  private boolean shouldRetireForHeartbeatPath(Machine machine, boolean empty, Instant now) {
    return checks.isHeartbeatPathDown(machine, now) && empty && reachability(now).fewUnreachable();
  }

  /**
   * How much of the fleet can be reached, counted once a round. Deleting a silent machine proves it
   * empty sooner than waiting for its lease. That is only worth it, and only believable, while
   * nearly all others are heard: else it is the leader that is cut off. When a whole zone is silent
   * and most machines are heard, those that hold replicas are worth it: a new leader would
   * otherwise wait for a lease from its own election on, while nothing serves.
   */
  private FleetReachability reachability(Instant now) {
    if (reachability.isEmpty()) {
      reachability =
          Optional.of(
              FleetReachability.count(
                  inventory.all(), checks::lastContact, now.minus(timings.unresponsiveAfter())));
    }
    return reachability.get();
  }
}
