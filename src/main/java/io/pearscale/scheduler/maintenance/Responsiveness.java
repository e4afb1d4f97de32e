package io.pearscale.scheduler.maintenance;

import io.pearscale.scheduler.model.AgentTimings;
import io.pearscale.scheduler.model.Machine;
import java.time.Instant;

/**
 * Decides whether a machine has been heard lately enough to be drained, or to take what is moved.
 *
 * @param timings the timeouts of agents
 */
record Responsiveness(AgentTimings timings) {
  /** Whether the machine's agent holds its lease and sent a heartbeat lately. */
  boolean isResponsive(Machine machine, Instant now) {
    return !machine.leaseExpired()
        && !now.isAfter(machine.reachability().lastReachableAt().plus(timings.unresponsiveAfter()));
  }
}
