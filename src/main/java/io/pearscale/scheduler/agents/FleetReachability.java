package io.pearscale.scheduler.agents;

import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.Machine.Lifecycle;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/**
 * How much of the fleet is silent: many silent machines point at the leader's own network, not at
 * them.
 *
 * @param fewUnreachable whether few machines are silent
 * @param minorityUnreachable whether less than half of the machines are silent
 * @param unreachableZones the zones of which most machines are silent
 */
record FleetReachability(
    boolean fewUnreachable, boolean minorityUnreachable, Set<String> unreachableZones) {
  /** Machines that count as few in the smallest fleet. */
  private static final int MIN_FEW_MACHINES = 2;

  /** In a larger fleet, one machine of so many counts as few. */
  private static final int FEW_MACHINES_DIVISOR = 6;

  /**
   * Counts the machines that are up.
   *
   * @param lastContact when a machine was last reached
   * @param unreachableBefore a machine that was not reached since then is silent
   */
  static FleetReachability count(
      Collection<Machine> machines,
      Function<Machine, Instant> lastContact,
      Instant unreachableBefore) {
    int upCount = 0;
    int unreachableCount = 0;
    Map<String, Integer> unreachableMajorityByZone = new HashMap<>();
    for (Machine machine : machines) {
      if (machine.lifecycle() == Lifecycle.UP && machine.reachability().heartbeatEverReceived()) {
        unreachableMajorityByZone.merge(
            machine.zone(),
            lastContact.apply(machine).isBefore(unreachableBefore) ? 1 : -1,
            Integer::sum);
        if (!machine.leaseExpired()) {
          upCount++;
          unreachableCount +=
              machine.reachability().lastReachableAt().isBefore(unreachableBefore) ? 1 : 0;
        }
      }
    }
    unreachableMajorityByZone.values().removeIf(n -> n <= 0);
    boolean minority = unreachableCount * 2 < upCount;
    return new FleetReachability(
        unreachableCount <= Math.max(MIN_FEW_MACHINES, upCount / FEW_MACHINES_DIVISOR) && minority,
        minority,
        unreachableMajorityByZone.keySet());
  }
}
