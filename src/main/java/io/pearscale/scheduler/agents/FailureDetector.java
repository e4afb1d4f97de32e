package io.pearscale.scheduler.agents;

import io.pearscale.scheduler.agents.MachineRetirement.Reason;
import io.pearscale.scheduler.model.AbsenceProof;
import io.pearscale.scheduler.model.AgentTimings;
import io.pearscale.scheduler.model.DecisionLog;
import io.pearscale.scheduler.model.DecisionRecorder;
import io.pearscale.scheduler.model.LeaderState;
import io.pearscale.scheduler.model.Leadership;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.Machine.Lifecycle;
import io.pearscale.scheduler.model.MachineInventory;
import io.pearscale.storage.Maintenance;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.Set;

/**
 * Looks after machines one by one: finds those that are silent, that hear nothing, that do not
 * report, that fail what they start or that never came up.
 */
public final class FailureDetector {
  /**
   * A cut-off zone is waited for so many leases, since its machines come back with their images.
   */
  private static final int ZONE_OUTAGE_LEASES = 10;

  private static final int SILENT_MACHINE_LEASES = 2;

  /** After so many probes without an answer a machine counts as deaf. */
  private static final int UNREACHABLE_AFTER_PROBES = 2;

  /** So many times the usual time to boot, and a margin, are waited for. */
  private static final int BOOT_TIMEOUT_FACTOR = 4;

  private static final Duration BOOT_TIMEOUT_MARGIN = Duration.ofSeconds(5);

  /** A machine that the cloud takes is gone so long after its time, if it is silent so long. */
  private static final Duration PREEMPTION_MARGIN = Duration.ofSeconds(2);

  private static final Duration PREEMPTED_SILENCE = Duration.ofSeconds(3);

  private final Leadership leadership;
  private final MachineInventory inventory;
  private final DecisionRecorder records;
  private final AgentTimings agentTimeouts;
  private final CommandDispatcher dispatcher;
  private final MachineRetirement retirement;
  private final DecisionLog decisions;
  private Optional<FleetReachability> reachability = Optional.empty();

  /** Creates a detector over the machines of the given leader. */
  public FailureDetector(
      LeaderState state,
      AgentTimings agentTimeouts,
      CommandDispatcher dispatcher,
      MachineRetirement retirement) {
    this.leadership = state.leadership();
    this.inventory = state.inventory();
    this.records = state.records();
    this.agentTimeouts = agentTimeouts;
    this.dispatcher = dispatcher;
    this.retirement = retirement;
    this.decisions = state.decisions();
  }

  /** Whether tasks may be placed on the machine. */
  public boolean isSchedulable(Machine machine, Instant now) {
    return machine.lifecycle() == Lifecycle.UP
        && machine.reconciled()
        && !machine.leaseExpired()
        && !machine.failures().isQuarantined()
        && machine.preemptionNoticeAt().isEmpty()
        && machine.maintenance().isSchedulable()
        && machine.reachability().heartbeatEverReceived()
        && machine.fencing().unacknowledgedResponses() == 0
        && !isHeartbeatPathDown(machine, now)
        && !now.isBefore(machine.failures().avoidUntil())
        && Duration.between(machine.reachability().lastReachableAt(), now)
                .compareTo(agentTimeouts.schedulableWithin())
            < 0;
  }

  /**
   * Whether there is nothing to look after: the machine reports, hears, keeps its lease and is to
   * stay. Nearly all machines are like this nearly always, so this is asked before all else.
   */
  private boolean isHealthy(Machine machine, Instant now) {
    return machine.lifecycle() == Lifecycle.UP
        && machine.reconciled()
        && !machine.leaseExpired()
        && !machine.failures().isQuarantined()
        && machine.preemptionNoticeAt().isEmpty()
        && machine.reachability().answersWithoutHeartbeatSince().isEmpty()
        && now.isBefore(machine.reachability().lastReachableAt().plus(agentTimeouts.heartbeatDue()))
        && machine.lease().isHeld(now, agentTimeouts.lease());
  }

  /** A round over the machines begins: how many are silent is counted anew. */
  public void beginRound() {
    reachability = Optional.empty();
  }

  /** Looks after one machine. */
  public void check(Machine machine, Instant now) {
    if (isHealthy(machine, now)) {
      return;
    }
    if (isLeaseExpired(machine, now)) {
      expireLease(machine);
    }
    probeIfSilent(machine, now);
    // What was only planned still counts as something to be freed from a machine that is deaf.
    boolean unreachable = isUnreachable(machine, now);
    if (!mayKeepPlanned(machine, now)) {
      inventory.withdrawPlanned(machine);
    }
    reasonToRetire(machine, unreachable, now)
        .ifPresent(reason -> retirement.retire(machine, reason));
  }

  /** Whether it was silent for longer than any lease that was ever renewed lasts. */
  private boolean isLeaseExpired(Machine machine, Instant now) {
    return machine.reachability().heartbeatEverReceived()
        && !machine.leaseExpired()
        && machine.lease().isExpired(now, agentTimeouts.leaseExpiryBound());
  }

  /** Nothing can be alive on the machine. */
  private void expireLease(Machine machine) {
    machine.expireLease();
    decisions.leaseExpired(machine, machine.attempts().size(), agentTimeouts.leaseExpiryBound());
    inventory.removeAll(machine, AbsenceProof.LEASE_EXPIRED);
    machine.lease().endIncarnation();
    if (machine.lifecycle() == Lifecycle.UP && machine.maintenance().isInService()) {
      // A successor need not wait for it again. Before its next start it is recorded anew.
      records.removeMachine(machine);
    }
  }

  private void probeIfSilent(Machine machine, Instant now) {
    boolean silent = sinceLastContact(machine, now).compareTo(agentTimeouts.heartbeatDue()) > 0;
    boolean unreconciled = !machine.reconciled() && dispatcher.hasProbedAllRecorded();
    if (machine.lifecycle() == Lifecycle.UP
        && machine.reachability().heartbeatEverReceived()
        && !machine.leaseExpired()
        && (unreconciled || silent)
        && !machine.reachability().commandInFlight()
        && dispatcher.mayProbe()
        && now.isAfter(machine.reachability().directCommandsAfter())) {
      dispatcher.probe(machine);
    }
  }

  /**
   * Whether the machine answers nothing, and is worth being deleted for it. Replicas on a machine
   * that is merely cut off still count and may serve: half of a lease is waited for them, the rest
   * is kept for what may come between, an outage in which nothing can be recorded or an election.
   * Other work is done again, the sooner the better.
   */
  private boolean isUnreachable(Machine machine, Instant now) {
    boolean serves = machine.attempts().replicaCount() > 0;
    boolean few = reachability(now).fewUnreachable();
    Duration patience =
        serves && (machine.reconciled() || !few)
            ? agentTimeouts.halfLease()
            : agentTimeouts.unresponsiveAfter();
    return machine.lifecycle() == Lifecycle.UP
        && !machine.leaseExpired()
        && machine.reachability().missedProbes() >= UNREACHABLE_AFTER_PROBES
        && sinceLastContact(machine, now).compareTo(patience) > 0
        && (!machine.attempts().isEmpty() || !machine.reconciled())
        && (few || (serves && reachability(now).minorityUnreachable()));
  }

  /** Whether what was decided for the machine, but not sent, may stay decided. */
  private boolean mayKeepPlanned(Machine machine, Instant now) {
    return !machine.failures().isQuarantined()
        && machine.preemptionNoticeAt().isEmpty()
        && machine.lifecycle() == Lifecycle.UP
        && !now.isAfter(
            machine.reachability().lastReachableAt().plus(agentTimeouts.withdrawPlannedAfter()));
  }

  private Optional<Reason> reasonToRetire(Machine machine, boolean unreachable, Instant now) {
    if (machine.maintenance().stage() == Maintenance.Stage.DRAINED
        && machine.attempts().isEmpty()) {
      // Whoever maintains it may switch it off; what the cloud says of it counts all the same.
      return Optional.empty();
    }
    if (exceededBootTimeout(machine, now)) {
      return Optional.of(Reason.BOOT_TIMEOUT);
    }
    if (wasPreempted(machine, now)) {
      return Optional.of(Reason.PREEMPTED);
    }
    boolean empty = machine.lifecycle() == Lifecycle.UP && machine.attempts().isEmpty();
    if (machine.failures().isQuarantined() && empty) {
      return Optional.of(Reason.QUARANTINED);
    }
    if (unreachable) {
      return Optional.of(Reason.UNREACHABLE);
    }
    if (isHeartbeatPathDown(machine, now) && empty && reachability(now).fewUnreachable()) {
      return Optional.of(Reason.HEARTBEAT_PATH_DOWN);
    }
    return missedHeartbeatsForLong(machine, now)
        ? Optional.of(Reason.MISSED_HEARTBEATS)
        : Optional.empty();
  }

  private static boolean exceededBootTimeout(Machine machine, Instant now) {
    Duration bootTimeout =
        machine.type().bootTime().multipliedBy(BOOT_TIMEOUT_FACTOR).plus(BOOT_TIMEOUT_MARGIN);
    return machine.lifecycle() == Lifecycle.BOOTING
        && now.isAfter(machine.provisionedAt().plus(bootTimeout));
  }

  private static boolean wasPreempted(Machine machine, Instant now) {
    return machine.preemptionNoticeAt().isPresent()
        && now.isAfter(machine.preemptionNoticeAt().get().plus(PREEMPTION_MARGIN))
        && now.isAfter(machine.reachability().lastReachableAt().plus(PREEMPTED_SILENCE));
  }

  /**
   * Whether nothing was heard for several leases. When most of a zone is silent, it is cut off, and
   * its machines come back with it, each with the images that it has: those given back would have
   * to be rented again, and boot, and fetch.
   */
  private boolean missedHeartbeatsForLong(Machine machine, Instant now) {
    int leases =
        reachability(now).unreachableZones().contains(machine.zone())
            ? ZONE_OUTAGE_LEASES
            : SILENT_MACHINE_LEASES;
    return machine.leaseExpired()
        && machine.lifecycle() == Lifecycle.UP
        && now.isAfter(lastContact(machine).plus(agentTimeouts.lease().multipliedBy(leases)));
  }

  /** Zones of which nothing is heard. */
  public Set<String> unreachableZones(Instant now) {
    return reachability(now).unreachableZones();
  }

  private Duration sinceLastContact(Machine machine, Instant now) {
    return Duration.between(lastContact(machine), now);
  }

  /**
   * Whether a machine answers what it is asked but does not report. Only reports renew a lease, so
   * all that runs there ends with it, however well the machine does what it is told. One that hung
   * may answer first and report a moment later: it counts from its first answer. It is not given
   * back while anything may run there: after a takeover, with a controller that stands still, a
   * report may find nobody for as long, and comes in time.
   */
  private boolean isHeartbeatPathDown(Machine machine, Instant now) {
    return machine.reachability().answersWithoutHeartbeatSince().isPresent()
        && now.isAfter(
            machine
                .reachability()
                .answersWithoutHeartbeatSince()
                .get()
                .plus(agentTimeouts.halfLease()));
  }

  /**
   * Deleting a silent machine proves it empty sooner than waiting for its lease. That is only worth
   * it, and only believable, while nearly all others are heard: else it is we who are cut off. When
   * a whole zone is silent and most machines are heard, those that hold replicas are worth it: a
   * new leader would otherwise wait for a lease from its own election on, while nothing serves.
   */
  private FleetReachability reachability(Instant now) {
    if (reachability.isEmpty()) {
      reachability =
          Optional.of(
              FleetReachability.count(
                  inventory.all(),
                  this::lastContact,
                  now.minus(agentTimeouts.unresponsiveAfter())));
    }
    return reachability.get();
  }

  /** When a machine was last heard; one that a new leader has not heard yet counts from its win. */
  private Instant lastContact(Machine machine) {
    return machine.reachability().lastReachableAt().isAfter(leadership.electedAt())
        ? machine.reachability().lastReachableAt()
        : leadership.electedAt();
  }
}
