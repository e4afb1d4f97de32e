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
 * The share of the fleet that is unreachable. If many machines are unreachable, the cause is more
 * likely the leader's own network than the machines.
 *
 * @param fewUnreachable whether few machines are unreachable
 * @param minorityUnreachable whether less than half of the machines are unreachable
 * @param unreachableZones the zones in which most machines are unreachable
 */
record FleetReachability(
    boolean fewUnreachable, boolean minorityUnreachable, Set<String> unreachableZones) {
  /** The number of machines that counts as few in a small fleet. */
  private static final int MIN_FEW_MACHINES = 2;

  /** In a larger fleet, one in this many machines counts as few. */
  private static final int FEW_MACHINES_DIVISOR = 6;

  /**
   * Counts the reachable and unreachable machines among those that are up.
   *
   * @param lastContact returns when a machine was last reached
   * @param unreachableBefore a machine counts as unreachable if it was last reached before this
   *     time
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
