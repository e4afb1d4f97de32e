package io.pearscale.scheduler;

import io.pearscale.scheduler.Machine.Lifecycle;
import io.pearscale.scheduler.MachineRetirement.Reason;
import io.pearscale.storage.Maintenance;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.Set;

/**
 * Looks after machines one by one: finds those that are silent, that hear nothing, that do not
 * report, that fail what they start or that never came up.
 */
final class FailureDetector {
  /**
   * A cut-off zone is waited for so many leases, since its machines come back with their images.
   */
  private static final int LEASES_OF_A_CUT = 10;

  private static final int LEASES_OF_A_SILENT_MACHINE = 2;

  /** After so many probes without an answer a machine counts as deaf. */
  private static final int DEAF_AFTER = 2;

  /** So many times the usual time to boot, and a margin, are waited for. */
  private static final int BOOT_PATIENCE = 4;

  private static final Duration BOOT_MARGIN = Duration.ofSeconds(5);

  /** A machine that the cloud takes is gone so long after its time, if it is silent so long. */
  private static final Duration NOTICE_MARGIN = Duration.ofSeconds(2);

  private static final Duration TAKEN_SILENCE = Duration.ofSeconds(3);

  private final Leadership leadership;
  private final MachineInventory inventory;
  private final LeaderRecords records;
  private final InstantSource clock;
  private final AgentTimings times;
  private final CommandDispatcher dispatcher;
  private final MachineRetirement retirement;
  private final DecisionLog decisions;
  private Optional<FleetReachability> silence = Optional.empty();

  FailureDetector(
      LeaderState state,
      AgentTimings times,
      CommandDispatcher dispatcher,
      MachineRetirement retirement) {
    this.leadership = state.leadership();
    this.inventory = state.inventory();
    this.records = state.records();
    this.clock = state.clock();
    this.times = times;
    this.dispatcher = dispatcher;
    this.retirement = retirement;
    this.decisions = state.decisions();
  }

  /** Whether tasks may be placed on the machine. */
  boolean usable(Machine machine, Instant now) {
    return machine.lifecycle == Lifecycle.UP
        && machine.reconciled
        && !machine.leaseExpired
        && !machine.quarantined
        && machine.preemptionNoticeAt.isEmpty()
        && machine.maintenance.isSchedulable()
        && machine.heartbeatEverReceived
        && machine.unacknowledgedResponses == 0
        && !mute(machine, now)
        && !now.isBefore(machine.avoidUntil)
        && Duration.between(machine.lastReachableAt, now).compareTo(times.schedulableWithin()) < 0;
  }

  /**
   * Whether there is nothing to look after: the machine reports, hears, keeps its lease and is to
   * stay. Nearly all machines are like this nearly always, so this is asked before all else.
   */
  private boolean healthy(Machine machine, Instant now) {
    return machine.lifecycle == Lifecycle.UP
        && machine.reconciled
        && !machine.leaseExpired
        && !machine.quarantined
        && machine.preemptionNoticeAt.isEmpty()
        && machine.answersWithoutHeartbeatSince.isEmpty()
        && now.isBefore(machine.lastReachableAt.plus(times.heartbeatDue()))
        && machine.lease.isHeld(now, times.lease());
  }

  /** A round over the machines begins: how many are silent is counted anew. */
  void beginRound() {
    silence = Optional.empty();
  }

  /** Looks after one machine. */
  void check(Machine machine, Instant now) {
    if (healthy(machine, now)) {
      return;
    }
    if (isLost(machine, now)) {
      noteLost(machine);
    }
    probeIfSilent(machine, now);
    // What was only planned still counts as something to be freed from a machine that is deaf.
    boolean deaf = isDeaf(machine, now);
    if (!mayKeepPlanned(machine, now)) {
      inventory.withdrawPlanned(machine);
    }
    reasonToRetire(machine, deaf, now).ifPresent(reason -> retirement.retire(machine, reason));
  }

  /** Whether it was silent for longer than any lease that was ever renewed lasts. */
  private boolean isLost(Machine machine, Instant now) {
    return machine.heartbeatEverReceived
        && !machine.leaseExpired
        && machine.lease.isExpired(now, times.leaseExpiryBound());
  }

  /** Nothing can be alive on the machine. */
  private void noteLost(Machine machine) {
    machine.leaseExpired = true;
    decisions.leaseExpired(machine, machine.attempts.size(), times.leaseExpiryBound());
    // Its worker has gone on to another session, and has to show that, with our token: reports of
    // this one that a cut had held back say only what was.
    machine.reconciled = false;
    machine.endedAttempts.clear();
    machine.unknownAttempts.clear();
    inventory.removeAll(machine, AbsenceProof.LEASE_EXPIRED);
    machine.lease.endIncarnation();
    if (machine.lifecycle == Lifecycle.UP && machine.maintenance.isInService()) {
      // A successor need not wait for it again. Before its next start it is recorded anew.
      records.removeMachine(machine);
    }
  }

  private void probeIfSilent(Machine machine, Instant now) {
    boolean silent = silentFor(machine, now).compareTo(times.heartbeatDue()) > 0;
    boolean unseen = !machine.reconciled && dispatcher.askedAll();
    if (machine.lifecycle == Lifecycle.UP
        && machine.heartbeatEverReceived
        && !machine.leaseExpired
        && (unseen || silent)
        && !machine.commandInFlight
        && dispatcher.mayProbe()
        && now.isAfter(machine.directCommandsAfter)) {
      dispatcher.probe(machine);
    }
  }

  /**
   * Whether the machine answers nothing, and is worth being deleted for it. Replicas on a machine
   * that is merely cut off still count and may serve: half of a lease is waited for them, the rest
   * is kept for what may come between, an outage in which nothing can be recorded or an election.
   * Other work is done again, the sooner the better.
   */
  private boolean isDeaf(Machine machine, Instant now) {
    boolean serves = machine.replicaCount() > 0;
    boolean few = silence(now).few();
    Duration patience =
        serves && (machine.reconciled || !few) ? times.halfLease() : times.unresponsiveAfter();
    return machine.lifecycle == Lifecycle.UP
        && !machine.leaseExpired
        && machine.missedProbes >= DEAF_AFTER
        && silentFor(machine, now).compareTo(patience) > 0
        && (!machine.attempts.isEmpty() || !machine.reconciled)
        && (few || (serves && silence(now).minority()));
  }

  /** Whether what was decided for the machine, but not sent, may stay decided. */
  private boolean mayKeepPlanned(Machine machine, Instant now) {
    return !machine.quarantined
        && machine.preemptionNoticeAt.isEmpty()
        && machine.lifecycle == Lifecycle.UP
        && !now.isAfter(machine.lastReachableAt.plus(times.withdrawPlannedAfter()));
  }

  private Optional<Reason> reasonToRetire(Machine machine, boolean deaf, Instant now) {
    if (machine.maintenance.stage() == Maintenance.Stage.DRAINED && machine.attempts.isEmpty()) {
      // Whoever maintains it may switch it off; what the cloud says of it counts all the same.
      return Optional.empty();
    }
    if (neverCame(machine, now)) {
      return Optional.of(Reason.NEVER_CAME);
    }
    if (wasTaken(machine, now)) {
      return Optional.of(Reason.TAKEN);
    }
    boolean empty = machine.lifecycle == Lifecycle.UP && machine.attempts.isEmpty();
    if (machine.quarantined && empty) {
      return Optional.of(Reason.FAULTY);
    }
    if (deaf) {
      return Optional.of(Reason.DEAF);
    }
    if (mute(machine, now) && empty && silence(now).few()) {
      return Optional.of(Reason.MUTE);
    }
    return isSilentForGood(machine, now) ? Optional.of(Reason.SILENT) : Optional.empty();
  }

  private static boolean neverCame(Machine machine, Instant now) {
    Duration patience = machine.type.bootTime().multipliedBy(BOOT_PATIENCE).plus(BOOT_MARGIN);
    return machine.lifecycle == Lifecycle.BOOTING
        && now.isAfter(machine.provisionedAt.plus(patience));
  }

  private static boolean wasTaken(Machine machine, Instant now) {
    return machine.preemptionNoticeAt.isPresent()
        && now.isAfter(machine.preemptionNoticeAt.get().plus(NOTICE_MARGIN))
        && now.isAfter(machine.lastReachableAt.plus(TAKEN_SILENCE));
  }

  /**
   * Whether nothing was heard for several leases. When most of a zone is silent, it is cut off, and
   * its machines come back with it, each with the images that it has: those given back would have
   * to be rented again, and boot, and fetch.
   */
  private boolean isSilentForGood(Machine machine, Instant now) {
    int leases =
        silence(now).zones().contains(machine.zone) ? LEASES_OF_A_CUT : LEASES_OF_A_SILENT_MACHINE;
    return machine.leaseExpired
        && machine.lifecycle == Lifecycle.UP
        && now.isAfter(spoke(machine).plus(times.lease().multipliedBy(leases)));
  }

  /** Zones of which nothing is heard. */
  Set<String> silentZones(Instant now) {
    return silence(now).zones();
  }

  private Duration silentFor(Machine machine, Instant now) {
    return Duration.between(spoke(machine), now);
  }

  /**
   * Whether a machine answers what it is asked but does not report. Only reports renew a lease, so
   * all that runs there ends with it, however well the machine does what it is told. One that hung
   * may answer first and report a moment later: it counts from its first answer. It is not given
   * back while anything may run there: after a takeover, with a controller that stands still, a
   * report may find nobody for as long, and comes in time.
   */
  private boolean mute(Machine machine, Instant now) {
    return machine.answersWithoutHeartbeatSince.isPresent()
        && now.isAfter(machine.answersWithoutHeartbeatSince.get().plus(times.halfLease()));
  }

  /**
   * Deleting a silent machine proves it empty sooner than waiting for its lease. That is only worth
   * it, and only believable, while nearly all others are heard: else it is we who are cut off. When
   * a whole zone is silent and most machines are heard, those that hold replicas are worth it: a
   * new leader would otherwise wait for a lease from its own election on, while nothing serves.
   */
  private FleetReachability silence(Instant now) {
    if (silence.isEmpty()) {
      silence =
          Optional.of(
              FleetReachability.count(
                  inventory.all(), this::spoke, now.minus(times.unresponsiveAfter())));
    }
    return silence.get();
  }

  /** When a machine was last heard; one that a new leader has not heard yet counts from its win. */
  private Instant spoke(Machine machine) {
    return machine.lastReachableAt.isAfter(leadership.electedAt())
        ? machine.lastReachableAt
        : leadership.electedAt();
  }
}
