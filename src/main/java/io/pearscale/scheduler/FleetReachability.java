package io.pearscale.scheduler;

import io.pearscale.scheduler.Machine.Lifecycle;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/**
 * How much of the fleet is silent: many silent machines point at ourselves, not at them.
 *
 * @param few whether few machines are silent
 * @param minority whether it is not most of them
 * @param zones the zones of which most machines are
 */
record FleetReachability(boolean few, boolean minority, Set<String> zones) {
  /** So many may be silent in the smallest fleet, and one of so many in a larger one. */
  private static final int FEW = 2;

  private static final int ONE_OF = 6;

  /**
   * Counts the machines that are up.
   *
   * @param spoke when a machine was last heard
   * @param limit what was not heard since then is silent
   */
  static FleetReachability count(
      Collection<Machine> machines, Function<Machine, Instant> spoke, Instant limit) {
    int up = 0;
    int silent = 0;
    Map<String, Integer> byZone = new HashMap<>();
    for (Machine machine : machines) {
      if (machine.lifecycle == Lifecycle.UP && machine.heartbeatEverReceived) {
        byZone.merge(machine.zone, spoke.apply(machine).isBefore(limit) ? 1 : -1, Integer::sum);
        if (!machine.leaseExpired) {
          up++;
          silent += machine.lastReachableAt.isBefore(limit) ? 1 : 0;
        }
      }
    }
    byZone.values().removeIf(n -> n <= 0);
    boolean minority = silent * 2 < up;
    return new FleetReachability(
        silent <= Math.max(FEW, up / ONE_OF) && minority, minority, byZone.keySet());
  }
}
