package io.pearscale.scheduler.autoscaling;

import io.pearscale.scheduler.model.Job;
import io.pearscale.scheduler.model.Machine;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The room that is kept in each zone for classes whose tasks are expected to start at once. Counted
 * once over all machines; giving one up only subtracts what it has.
 */
final class Headroom {
  /** How many tasks of a class, like those of the sample job, are to have room in each zone. */
  record Target(Job sample, int tasksPerZone) {}

  private record ZoneTarget(Job sample, String zone) {}

  private final Collection<Target> targets;
  private final Map<ZoneTarget, Integer> deficits = new LinkedHashMap<>();

  Headroom(Collection<Target> targets, Collection<String> zones, Collection<Machine> schedulable) {
    this.targets = targets;
    for (Target w : targets) {
      Map<String, Integer> free = new HashMap<>();
      for (Machine machine : schedulable) {
        free.merge(machine.zone(), slots(w.sample, machine), Integer::sum);
      }
      for (String zone : zones) {
        deficits.put(new ZoneTarget(w.sample, zone), w.tasksPerZone - free.getOrDefault(zone, 0));
      }
    }
  }

  private static int slots(Job sample, Machine machine) {
    return sample.spec().allows(machine.type(), machine.zone(), machine.spot())
        ? machine.capacityWithPreemption(sample.spec())
        : 0;
  }

  /** What has to be rented so that each zone has its room. */
  List<ScaleOutPlanner.Demand> demands() {
    List<ScaleOutPlanner.Demand> demands = new ArrayList<>();
    deficits.forEach(
        (part, n) -> {
          if (n > 0) {
            demands.add(new ScaleOutPlanner.Demand(part.sample, n, Optional.of(part.zone)));
          }
        });
    return demands;
  }

  /**
   * Whether no zone would lack more without the machine. What no machine here can give, in a zone
   * that is full, must not keep all others.
   */
  boolean canRelease(Machine machine) {
    for (Target w : targets) {
      int deficit = deficits.getOrDefault(new ZoneTarget(w.sample, machine.zone()), 0);
      if (Math.max(0, deficit + slots(w.sample, machine)) > Math.max(0, deficit)) {
        return false;
      }
    }
    return true;
  }

  /** The machine is to be given back. */
  void release(Machine machine) {
    for (Target w : targets) {
      deficits.merge(
          new ZoneTarget(w.sample, machine.zone()), slots(w.sample, machine), Integer::sum);
    }
  }
}
