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
 * @param fewUnreachable whether the unreachable machines are at most a sixth of the fleet, or at
 *     most 2 if that is more, and are less than half
 * @param minorityUnreachable whether less than half of the machines are unreachable
 * @param unreachableZones the zones in which most machines are unreachable
 */
record FleetReachability(
    boolean fewUnreachable, boolean minorityUnreachable, Set<String> unreachableZones) {
  /** In a small fleet, up to this many unreachable machines are few. */
  private static final int MIN_FEW_MACHINES = 2;

  /** In a larger fleet, up to one unreachable machine in this many is few. */
  private static final int FEW_MACHINES_DIVISOR = 6;

  /**
   * Counts the reachable and unreachable machines among those that are up and have ever sent a
   * heartbeat. Machines whose lease has expired count only in their zones.
   *
   * @param lastContact returns the time of the last contact by which a machine counts in its zone;
   *     in the whole fleet it counts by when it was last reachable
   * @param unreachableBefore a machine counts as unreachable if that time is before this one
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
