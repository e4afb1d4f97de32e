package io.pearscale.scheduler;

import io.pearscale.scheduler.Machine.Life;
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
  private final WorkerTimes times;
  private final CommandDispatcher dispatcher;
  private final MachineRetirement retirement;
  private final DecisionLog decisions;
  private Optional<FleetReachability> silence = Optional.empty();

  FailureDetector(
      LeaderState state,
      WorkerTimes times,
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
    return machine.life == Life.UP
        && machine.settled
        && !machine.lost
        && !machine.faulty
        && machine.takenAt.isEmpty()
        && machine.maintenance.isSchedulable()
        && machine.everReported
        && machine.unheard == 0
        && !mute(machine, now)
        && !now.isBefore(machine.avoidUntil)
        && Duration.between(machine.heard, now).compareTo(times.usable()) < 0;
  }

  /**
   * Whether there is nothing to look after: the machine reports, hears, keeps its lease and is to
   * stay. Nearly all machines are like this nearly always, so this is asked before all else.
   */
  private boolean healthy(Machine machine, Instant now) {
    return machine.life == Life.UP
        && machine.settled
        && !machine.lost
        && !machine.faulty
        && machine.takenAt.isEmpty()
        && machine.answersSince.isEmpty()
        && now.isBefore(machine.heard.plus(times.reportDue()))
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
    return machine.everReported && !machine.lost && machine.lease.isOver(now, times.leaseOver());
  }

  /** Nothing can be alive on the machine. */
  private void noteLost(Machine machine) {
    machine.lost = true;
    decisions.lost(machine, machine.placements.size(), times.leaseOver());
    // Its worker has gone on to another session, and has to show that, with our token: reports of
    // this one that a cut had held back say only what was.
    machine.settled = false;
    machine.ended.clear();
    machine.foreign.clear();
    inventory.removeAll(machine, AbsenceProof.LEASE_OVER);
    machine.lease.end();
    if (machine.life == Life.UP && machine.maintenance.isInService()) {
      // A successor need not wait for it again. Before its next start it is recorded anew.
      records.removeMachine(machine);
    }
  }

  private void probeIfSilent(Machine machine, Instant now) {
    boolean silent = silentFor(machine, now).compareTo(times.reportDue()) > 0;
    boolean unseen = !machine.settled && dispatcher.askedAll();
    if (machine.life == Life.UP
        && machine.everReported
        && !machine.lost
        && (unseen || silent)
        && !machine.calling
        && dispatcher.mayProbe()
        && now.isAfter(machine.directAfter)) {
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
    boolean serves = machine.replicas() > 0;
    boolean few = silence(now).few();
    Duration patience = serves && (machine.settled || !few) ? times.halfLease() : times.silent();
    return machine.life == Life.UP
        && !machine.lost
        && machine.missedProbes >= DEAF_AFTER
        && silentFor(machine, now).compareTo(patience) > 0
        && (!machine.placements.isEmpty() || !machine.settled)
        && (few || (serves && silence(now).minority()));
  }

  /** Whether what was decided for the machine, but not sent, may stay decided. */
  private boolean mayKeepPlanned(Machine machine, Instant now) {
    return !machine.faulty
        && machine.takenAt.isEmpty()
        && machine.life == Life.UP
        && !now.isAfter(machine.heard.plus(times.abandoned()));
  }

  private Optional<Reason> reasonToRetire(Machine machine, boolean deaf, Instant now) {
    if (machine.maintenance.stage() == Maintenance.Stage.DRAINED && machine.placements.isEmpty()) {
      // Whoever maintains it may switch it off; what the cloud says of it counts all the same.
      return Optional.empty();
    }
    if (neverCame(machine, now)) {
      return Optional.of(Reason.NEVER_CAME);
    }
    if (wasTaken(machine, now)) {
      return Optional.of(Reason.TAKEN);
    }
    boolean empty = machine.life == Life.UP && machine.placements.isEmpty();
    if (machine.faulty && empty) {
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
    return machine.life == Life.BOOTING && now.isAfter(machine.rented.plus(patience));
  }

  private static boolean wasTaken(Machine machine, Instant now) {
    return machine.takenAt.isPresent()
        && now.isAfter(machine.takenAt.get().plus(NOTICE_MARGIN))
        && now.isAfter(machine.heard.plus(TAKEN_SILENCE));
  }

  /**
   * Whether nothing was heard for several leases. When most of a zone is silent, it is cut off, and
   * its machines come back with it, each with the images that it has: those given back would have
   * to be rented again, and boot, and fetch.
   */
  private boolean isSilentForGood(Machine machine, Instant now) {
    int leases =
        silence(now).zones().contains(machine.zone) ? LEASES_OF_A_CUT : LEASES_OF_A_SILENT_MACHINE;
    return machine.lost
        && machine.life == Life.UP
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
    return machine.answersSince.isPresent()
        && now.isAfter(machine.answersSince.get().plus(times.halfLease()));
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
              FleetReachability.count(inventory.all(), this::spoke, now.minus(times.silent())));
    }
    return silence.get();
  }

  /** When a machine was last heard; one that a new leader has not heard yet counts from its win. */
  private Instant spoke(Machine machine) {
    return machine.heard.isAfter(leadership.wonAt()) ? machine.heard : leadership.wonAt();
  }
}
