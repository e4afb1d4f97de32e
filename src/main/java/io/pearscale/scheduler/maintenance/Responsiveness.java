package io.pearscale.scheduler.maintenance;

import io.pearscale.scheduler.model.AgentTimings;
import io.pearscale.scheduler.model.Machine;
import java.time.Instant;

/**
 * Decides whether a machine is responsive enough to be drained or to receive relocated tasks.
 *
 * @param timings the timeouts of agents
 */
record Responsiveness(AgentTimings timings) {
  /** Returns whether the agent's lease has not expired and the machine was recently reachable. */
  boolean isResponsive(Machine machine, Instant now) {
    return !machine.leaseExpired()
        && !now.isAfter(machine.reachability().lastReachableAt().plus(timings.unresponsiveAfter()));
  }
}
