package io.pearscale.scheduler.model;

import io.pearscale.protocol.Settings;
import java.time.Duration;

/**
 * Timeouts derived from the agents' heartbeat interval and lease TTL. Every scheduling pass reads
 * them for every machine, so they are computed once.
 *
 * @param leaseTtl how long an agent keeps its tasks without a heartbeat response
 * @param halfLease how long to wait for an unresponsive machine that runs replicas
 * @param leaseExpiryBound how long after the last renewal every task on the machine has certainly
 *     ended: the lease TTL, 0.2% of it for clock drift, and 1 s. Steady clocks drift by up to 0.05%
 *     each, so two clocks differ by at most 0.1%, and the margin is twice that
 * @param heartbeatOverdueAfter how long after the last heartbeat the next one is overdue and the
 *     machine is probed: heartbeats arrive up to a quarter of their interval early or late
 * @param reachableWithin a machine that was reached within this time counts as reachable now
 * @param unresponsiveAfter how long after the last contact a machine counts as unresponsive
 * @param schedulableWithin how long after the last contact a machine may still receive tasks
 * @param withdrawPlannedAfter how long after the last contact planned attempts whose start was not
 *     sent are withdrawn
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

  /** Derives the timeouts from the agent settings. */
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
