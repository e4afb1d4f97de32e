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
 * How much of the fleet is silent: many silent machines point at ourselves, not at them.
 *
 * @param fewUnreachable whether few machines are silent
 * @param minorityUnreachable whether it is not most of them
 * @param unreachableZones the zones of which most machines are
 */
record FleetReachability(
    boolean fewUnreachable, boolean minorityUnreachable, Set<String> unreachableZones) {
  /** So many may be silent in the smallest fleet, and one of so many in a larger one. */
  private static final int MIN_FEW = 2;

  private static final int FEW_IS_ONE_IN = 6;

  /**
   * Counts the machines that are up.
   *
   * @param lastContact when a machine was last heard
   * @param silentSince what was not heard since then is silent
   */
  static FleetReachability count(
      Collection<Machine> machines, Function<Machine, Instant> lastContact, Instant silentSince) {
    int up = 0;
    int silent = 0;
    Map<String, Integer> silentMinusHeardByZone = new HashMap<>();
    for (Machine machine : machines) {
      if (machine.lifecycle() == Lifecycle.UP && machine.reachability().heartbeatEverReceived()) {
        silentMinusHeardByZone.merge(
            machine.zone(),
            lastContact.apply(machine).isBefore(silentSince) ? 1 : -1,
            Integer::sum);
        if (!machine.leaseExpired()) {
          up++;
          silent += machine.reachability().lastReachableAt().isBefore(silentSince) ? 1 : 0;
        }
      }
    }
    silentMinusHeardByZone.values().removeIf(n -> n <= 0);
    boolean minority = silent * 2 < up;
    return new FleetReachability(
        silent <= Math.max(MIN_FEW, up / FEW_IS_ONE_IN) && minority,
        minority,
        silentMinusHeardByZone.keySet());
  }
}
