package io.pearscale.scheduler.model;

import io.pearscale.protocol.Settings;
import java.time.Duration;

/**
 * Times that follow from how often workers report and how long their leases are. They are asked for
 * every machine in each pass, so they are worked out once.
 *
 * @param lease how long a worker keeps its tasks without an answer
 * @param halfLease for how long a machine that serves is waited for
 * @param leaseExpiryBound when nothing can be alive on a machine any more, after its last renewal:
 *     steady clocks differ by up to 0.05 % each; twice that and a second on top
 * @param heartbeatDue reports come a quarter early or late; what is later than that is asked for
 * @param reachableWithin a machine heard since then is sure to be reached
 * @param unresponsiveAfter how long a machine may say nothing before it counts as silent
 * @param schedulableWithin how long a machine may say nothing and still get tasks
 * @param withdrawPlannedAfter what was only planned for a machine that says nothing for so long is
 *     taken back
 */
public record AgentTimings(
    Duration lease,
    Duration halfLease,
    Duration leaseExpiryBound,
    Duration heartbeatDue,
    Duration reachableWithin,
    Duration unresponsiveAfter,
    Duration schedulableWithin,
    Duration withdrawPlannedAfter) {

  /** Works them out. */
  public static AgentTimings of(Settings.AgentSettings agents) {
    Duration heartbeatInterval = agents.heartbeatInterval();
    Duration lease = agents.leaseTtl();
    return new AgentTimings(
        lease,
        lease.dividedBy(2),
        lease.plus(lease.dividedBy(500)).plusSeconds(1),
        heartbeatInterval.multipliedBy(13).dividedBy(10),
        heartbeatInterval.multipliedBy(11).dividedBy(10),
        heartbeatInterval.multipliedBy(9).dividedBy(5),
        heartbeatInterval.multipliedBy(2).plusSeconds(1),
        heartbeatInterval.multipliedBy(4));
  }
}
