package io.pearscale.scheduler.model;

import io.pearscale.protocol.Settings;
import java.time.Duration;

/**
 * Times that follow from the interval of agents' heartbeats and the time of their leases. They are
 * asked for every machine in each pass, so they are computed once.
 *
 * @param leaseTtl how long an agent keeps its tasks without a response
 * @param halfLease how long an unresponsive machine with replicas is waited for
 * @param leaseExpiryBound when nothing can be alive on a machine any more, after its last renewal:
 *     steady clocks differ by up to 0.05 % each; twice that and a second on top
 * @param heartbeatOverdueAfter how long after the last a heartbeat is late, and the machine is
 *     probed: they come up to a quarter of their interval early or late
 * @param reachableWithin a machine that was reached so lately is taken to be reachable now
 * @param unresponsiveAfter how long a machine may be silent before it counts as unresponsive
 * @param schedulableWithin how long a machine may be silent and still get tasks
 * @param withdrawPlannedAfter how long a machine may be silent before attempts that were only
 *     planned for it are taken back
 */
public record AgentTimings(
    Duration leaseTtl,
    Duration halfLease,
    Duration leaseExpiryBound,
    Duration heartbeatOverdueAfter,
    Duration reachableWithin,
    Duration unresponsiveAfter,
    Duration schedulableWithin,
    Duration withdrawPlannedAfter) {

  /** Derives them from the settings of agents. */
  public static AgentTimings of(Settings.AgentSettings agents) {
    Duration heartbeatInterval = agents.heartbeatInterval();
    Duration leaseTtl = agents.leaseTtl();
    return new AgentTimings(
        leaseTtl,
        leaseTtl.dividedBy(2),
        leaseTtl.plus(leaseTtl.dividedBy(500)).plusSeconds(1),
        heartbeatInterval.multipliedBy(13).dividedBy(10),
        heartbeatInterval.multipliedBy(11).dividedBy(10),
        heartbeatInterval.multipliedBy(9).dividedBy(5),
        heartbeatInterval.multipliedBy(2).plusSeconds(1),
        heartbeatInterval.multipliedBy(4));
  }
}
