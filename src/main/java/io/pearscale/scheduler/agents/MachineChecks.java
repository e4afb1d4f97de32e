package io.pearscale.scheduler.agents;

import io.pearscale.scheduler.model.AgentTimings;
import io.pearscale.scheduler.model.Leadership;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.Machine.Lifecycle;
import java.time.Duration;
import java.time.Instant;

/** Read-only checks of one machine, based on its heartbeats, probes and lease. */
final class MachineChecks {
  /** Number of unanswered probes after which a machine may count as unreachable. */
  private static final int UNREACHABLE_AFTER_PROBES = 2;

  /** The boot timeout is this multiple of the machine type's boot time, plus a margin. */
  private static final int BOOT_TIMEOUT_FACTOR = 4;

  private static final Duration BOOT_TIMEOUT_MARGIN = Duration.ofSeconds(5);

  /** Time after the announced preemption from which a machine may count as preempted. */
  private static final Duration PREEMPTION_MARGIN = Duration.ofSeconds(2);

  /** A machine counts as preempted only if it has been unreachable for this long. */
  private static final Duration PREEMPTED_UNREACHABLE_TIME = Duration.ofSeconds(3);

  /** Number of lease durations without contact after which a machine is released. */
  private static final int UNRESPONSIVE_MACHINE_LEASES = 2;

  /**
   * Number of lease durations without contact after which a machine in an unreachable zone is
   * released. It is higher, since such machines usually return with their cached images.
   */
  private static final int ZONE_OUTAGE_LEASES = 10;

  private final Leadership leadership;
  private final AgentTimings timings;

  MachineChecks(Leadership leadership, AgentTimings timings) {
    this.leadership = leadership;
    this.timings = timings;
  }

  /** Returns whether tasks may be placed on the machine. */
  boolean isSchedulable(Machine machine, Instant now) {
    return machine.lifecycle() == Lifecycle.UP
        && machine.reconciled()
        && !machine.leaseExpired()
        && !machine.failures().isQuarantined()
        && machine.preemptionAt().isEmpty()
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
   * Returns whether all other checks can be skipped: the machine sends heartbeats, is reachable,
   * holds its lease and is not to be released. This check runs first, since nearly all machines
   * pass it nearly always.
   */
  boolean isHealthy(Machine machine, Instant now) {
    return machine.lifecycle() == Lifecycle.UP
        && machine.reconciled()
        && !machine.leaseExpired()
        && !machine.failures().isQuarantined()
        && machine.preemptionAt().isEmpty()
        && machine.reachability().answersWithoutHeartbeatSince().isEmpty()
        && now.isBefore(
            machine.reachability().lastReachableAt().plus(timings.heartbeatOverdueAfter()))
        && machine.lease().isHeld(now, timings.leaseTtl());
  }

  /** Returns whether every lease that the machine was granted must have expired. */
  boolean isLeaseExpiryDue(Machine machine, Instant now) {
    return machine.reachability().heartbeatEverReceived()
        && !machine.leaseExpired()
        && machine.lease().isExpired(now, timings.leaseExpiryBound());
  }

  /**
   * Returns whether the machine should be probed: its heartbeat is overdue, or it is not
   * reconciled.
   *
   * @param allRecordedProbed whether the probing after the failover has finished
   */
  boolean needsProbe(Machine machine, boolean allRecordedProbed, Instant now) {
    boolean heartbeatOverdue =
        sinceLastContact(machine, now).compareTo(timings.heartbeatOverdueAfter()) > 0;
    boolean unreconciled = !machine.reconciled() && allRecordedProbed;
    return machine.lifecycle() == Lifecycle.UP
        && machine.reachability().heartbeatEverReceived()
        && !machine.leaseExpired()
        && (unreconciled || heartbeatOverdue)
        && !machine.reachability().commandInFlight()
        && now.isAfter(machine.reachability().directCommandsAfter());
  }

  /**
   * Returns whether the machine is unreachable and should be deleted. Replicas on a machine behind
   * a network partition may still serve, so the leader waits for half of a lease. The other half is
   * a reserve for an election, or for an outage during which nothing can be recorded. Other tasks
   * have to be run again, so the leader does not wait that long for them.
   */
  boolean isUnreachable(Machine machine, FleetReachability fleet, Instant now) {
    boolean hasReplicas = machine.attempts().replicaCount() > 0;
    boolean fewUnreachable = fleet.fewUnreachable();
    Duration unreachableAfter =
        hasReplicas && (machine.reconciled() || !fewUnreachable)
            ? timings.halfLease()
            : timings.unresponsiveAfter();
    return machine.lifecycle() == Lifecycle.UP
        && !machine.leaseExpired()
        && machine.reachability().missedProbes() >= UNREACHABLE_AFTER_PROBES
        && sinceLastContact(machine, now).compareTo(unreachableAfter) > 0
        && (!machine.attempts().isEmpty() || !machine.reconciled())
        && (fewUnreachable || (hasReplicas && fleet.minorityUnreachable()));
  }

  /** Returns whether attempts on the machine for which no start was sent may stay planned. */
  boolean mayKeepPlanned(Machine machine, Instant now) {
    return !machine.failures().isQuarantined()
        && machine.preemptionAt().isEmpty()
        && machine.lifecycle() == Lifecycle.UP
        && !now.isAfter(
            machine.reachability().lastReachableAt().plus(timings.withdrawPlannedAfter()));
  }

  /** Returns whether the machine has not come up within its boot timeout. */
  static boolean hasExceededBootTimeout(Machine machine, Instant now) {
    Duration bootTimeout =
        machine.type().bootTime().multipliedBy(BOOT_TIMEOUT_FACTOR).plus(BOOT_TIMEOUT_MARGIN);
    return machine.lifecycle() == Lifecycle.BOOTING
        && now.isAfter(machine.provisionedAt().plus(bootTimeout));
  }

  /** Returns whether the provider has preempted the machine, as its notice announced. */
  static boolean wasPreempted(Machine machine, Instant now) {
    return machine.preemptionAt().isPresent()
        && now.isAfter(machine.preemptionAt().get().plus(PREEMPTION_MARGIN))
        && now.isAfter(machine.reachability().lastReachableAt().plus(PREEMPTED_UNREACHABLE_TIME));
  }

  /**
   * Returns whether the path from the agent to the controllers is down: the machine answers direct
   * calls, but its heartbeats do not arrive. Only heartbeat responses renew a lease, so the
   * machine's tasks end when the lease expires, even though the agent executes commands. The time
   * counts from the first answer, since a machine that was unresponsive may answer a call shortly
   * before it sends its next heartbeat.
   */
  boolean isHeartbeatPathDown(Machine machine, Instant now) {
    return machine.reachability().answersWithoutHeartbeatSince().isPresent()
        && now.isAfter(
            machine.reachability().answersWithoutHeartbeatSince().get().plus(timings.halfLease()));
  }

  /**
   * Returns whether the machine has been out of contact for several lease durations. The limit is
   * higher if most of the zone is unreachable: the zone is then probably partitioned, and its
   * machines return together with their cached images. Machines that replace them would have to be
   * provisioned, boot and fetch images.
   */
  boolean hasExceededHeartbeatTimeout(Machine machine, FleetReachability fleet, Instant now) {
    int leases =
        fleet.unreachableZones().contains(machine.zone())
            ? ZONE_OUTAGE_LEASES
            : UNRESPONSIVE_MACHINE_LEASES;
    return machine.leaseExpired()
        && machine.lifecycle() == Lifecycle.UP
        && now.isAfter(lastContact(machine).plus(timings.leaseTtl().multipliedBy(leases)));
  }

  private Duration sinceLastContact(Machine machine, Instant now) {
    return Duration.between(lastContact(machine), now);
  }

  /** Returns when the machine was last reached, but not before the election of this leader. */
  Instant lastContact(Machine machine) {
    return machine.reachability().lastReachableAt().isAfter(leadership.electedAt())
        ? machine.reachability().lastReachableAt()
        : leadership.electedAt();
  }
}
