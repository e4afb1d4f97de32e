package io.pearscale.scheduler.agents;

import io.pearscale.scheduler.model.AgentTimings;
import io.pearscale.scheduler.model.Leadership;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.Machine.Lifecycle;
import java.time.Duration;
import java.time.Instant;

/** Checks of one machine by what was heard of it. They change nothing. */
final class MachineChecks {
  /** Probes without an answer after which a machine may count as unreachable. */
  private static final int UNREACHABLE_AFTER_PROBES = 2;

  /** A machine may boot for so many times its type's boot time, and a margin. */
  private static final int BOOT_TIMEOUT_FACTOR = 4;

  private static final Duration BOOT_TIMEOUT_MARGIN = Duration.ofSeconds(5);

  /** A machine counts as preempted so long after the time that its notice named. */
  private static final Duration PREEMPTION_MARGIN = Duration.ofSeconds(2);

  /** A machine counts as preempted only if it was not reached for so long. */
  private static final Duration PREEMPTED_SILENCE = Duration.ofSeconds(3);

  /** For so many leases nothing has to be heard of a machine that is released for it. */
  private static final int SILENT_MACHINE_LEASES = 2;

  /** The same in a zone that is cut off, since its machines come back with their images. */
  private static final int ZONE_OUTAGE_LEASES = 10;

  private final Leadership leadership;
  private final AgentTimings timings;

  MachineChecks(Leadership leadership, AgentTimings timings) {
    this.leadership = leadership;
    this.timings = timings;
  }

  /** Whether tasks may be placed on the machine. */
  boolean isSchedulable(Machine machine, Instant now) {
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
                .compareTo(timings.schedulableWithin())
            < 0;
  }

  /**
   * Whether no other check can find anything: the machine sends heartbeats, can be reached, keeps
   * its lease and is to stay. Nearly all machines are like this nearly always, so this is asked
   * before all else.
   */
  boolean isHealthy(Machine machine, Instant now) {
    return machine.lifecycle() == Lifecycle.UP
        && machine.reconciled()
        && !machine.leaseExpired()
        && !machine.failures().isQuarantined()
        && machine.preemptionNoticeAt().isEmpty()
        && machine.reachability().answersWithoutHeartbeatSince().isEmpty()
        && now.isBefore(
            machine.reachability().lastReachableAt().plus(timings.heartbeatOverdueAfter()))
        && machine.lease().isHeld(now, timings.leaseTtl());
  }

  /** Whether it was silent for longer than any lease that was ever renewed lasts. */
  boolean hasLeaseRunOut(Machine machine, Instant now) {
    return machine.reachability().heartbeatEverReceived()
        && !machine.leaseExpired()
        && machine.lease().isExpired(now, timings.leaseExpiryBound());
  }

  /**
   * Whether the machine should be probed: a heartbeat is overdue, or it was not reconciled.
   *
   * @param allRecordedProbed whether the probes after the failover are through
   */
  boolean needsProbe(Machine machine, boolean allRecordedProbed, Instant now) {
    boolean silent = sinceLastContact(machine, now).compareTo(timings.heartbeatOverdueAfter()) > 0;
    boolean unreconciled = !machine.reconciled() && allRecordedProbed;
    return machine.lifecycle() == Lifecycle.UP
        && machine.reachability().heartbeatEverReceived()
        && !machine.leaseExpired()
        && (unreconciled || silent)
        && !machine.reachability().commandInFlight()
        && now.isAfter(machine.reachability().directCommandsAfter());
  }

  /**
   * Whether the machine answers nothing, and is worth being deleted for it. Replicas on a machine
   * that is merely cut off still count and may serve: half of a lease is waited for them, the rest
   * is kept for what may come between, an outage in which nothing can be recorded or an election.
   * Other work is done again, the sooner the better.
   */
  boolean isUnreachable(Machine machine, FleetReachability fleet, Instant now) {
    boolean serves = machine.attempts().replicaCount() > 0;
    boolean few = fleet.fewUnreachable();
    Duration patience =
        serves && (machine.reconciled() || !few)
            ? timings.halfLease()
            : timings.unresponsiveAfter();
    return machine.lifecycle() == Lifecycle.UP
        && !machine.leaseExpired()
        && machine.reachability().missedProbes() >= UNREACHABLE_AFTER_PROBES
        && sinceLastContact(machine, now).compareTo(patience) > 0
        && (!machine.attempts().isEmpty() || !machine.reconciled())
        && (few || (serves && fleet.minorityUnreachable()));
  }

  /** Whether attempts that are planned for the machine, with no start sent, may stay planned. */
  boolean mayKeepPlanned(Machine machine, Instant now) {
    return !machine.failures().isQuarantined()
        && machine.preemptionNoticeAt().isEmpty()
        && machine.lifecycle() == Lifecycle.UP
        && !now.isAfter(
            machine.reachability().lastReachableAt().plus(timings.withdrawPlannedAfter()));
  }

  /** Whether the machine has not come up in several times the usual time. */
  static boolean hasExceededBootTimeout(Machine machine, Instant now) {
    Duration bootTimeout =
        machine.type().bootTime().multipliedBy(BOOT_TIMEOUT_FACTOR).plus(BOOT_TIMEOUT_MARGIN);
    return machine.lifecycle() == Lifecycle.BOOTING
        && now.isAfter(machine.provisionedAt().plus(bootTimeout));
  }

  /** Whether the cloud has taken the machine, as its preemption notice said. */
  static boolean wasPreempted(Machine machine, Instant now) {
    return machine.preemptionNoticeAt().isPresent()
        && now.isAfter(machine.preemptionNoticeAt().get().plus(PREEMPTION_MARGIN))
        && now.isAfter(machine.reachability().lastReachableAt().plus(PREEMPTED_SILENCE));
  }

  /**
   * Whether the path from the agent to the controllers is down: the machine answers what it is
   * asked but sends no heartbeats. Only heartbeats renew a lease, so all that runs there ends with
   * it, however well the machine does what it is told. One that hung may answer first and send a
   * heartbeat a moment later: it counts from its first answer.
   */
  boolean isHeartbeatPathDown(Machine machine, Instant now) {
    return machine.reachability().answersWithoutHeartbeatSince().isPresent()
        && now.isAfter(
            machine.reachability().answersWithoutHeartbeatSince().get().plus(timings.halfLease()));
  }

  /**
   * Whether nothing was heard for several leases. When most of a zone is silent, it is cut off, and
   * its machines come back with it, each with the images that it has: in place of those released,
   * others would have to be provisioned, and boot, and fetch.
   */
  boolean hasMissedHeartbeatsForLong(Machine machine, FleetReachability fleet, Instant now) {
    int leases =
        fleet.unreachableZones().contains(machine.zone())
            ? ZONE_OUTAGE_LEASES
            : SILENT_MACHINE_LEASES;
    return machine.leaseExpired()
        && machine.lifecycle() == Lifecycle.UP
        && now.isAfter(lastContact(machine).plus(timings.leaseTtl().multipliedBy(leases)));
  }

  private Duration sinceLastContact(Machine machine, Instant now) {
    return Duration.between(lastContact(machine), now);
  }

  /**
   * When a machine was last reached; one that this leader never reached counts from its election.
   */
  Instant lastContact(Machine machine) {
    return machine.reachability().lastReachableAt().isAfter(leadership.electedAt())
        ? machine.reachability().lastReachableAt()
        : leadership.electedAt();
  }
}
