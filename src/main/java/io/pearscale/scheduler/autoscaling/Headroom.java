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
 * Capacity that is kept available in each zone for classes whose tasks can't wait until a new
 * machine has booted. The slots, which are the tasks that fit, are counted once for all machines;
 * releasing a machine only subtracts its slots.
 */
final class Headroom {
  /**
   * The headroom to keep for one class.
   *
   * @param sample a job of the class; capacity is counted in tasks of this job
   * @param tasksPerZone number of tasks that have to fit in each zone
   */
  record Target(Job sample, int tasksPerZone) {}

  private record ZoneTarget(Job sample, String zone) {}

  private final Collection<Target> targets;

  /** Tasks without capacity, by class and zone; below 0 if there is more capacity than needed. */
  private final Map<ZoneTarget, Integer> deficits = new LinkedHashMap<>();

  Headroom(Collection<Target> targets, Collection<String> zones, Collection<Machine> schedulable) {
    this.targets = targets;
    for (Target target : targets) {
      Map<String, Integer> slotsByZone = new HashMap<>();
      for (Machine machine : schedulable) {
        slotsByZone.merge(machine.zone(), slots(target.sample, machine), Integer::sum);
      }
      for (String zone : zones) {
        deficits.put(
            new ZoneTarget(target.sample, zone),
            target.tasksPerZone - slotsByZone.getOrDefault(zone, 0));
      }
    }
  }

  private static int slots(Job sample, Machine machine) {
    return sample.spec().allows(machine.type(), machine.zone(), machine.spot())
        ? machine.capacityWithPreemption(sample.spec())
        : 0;
  }

  /** Returns the demands to provision so that each zone has its headroom. */
  List<ScaleOutPlanner.Demand> demands() {
    List<ScaleOutPlanner.Demand> demands = new ArrayList<>();
    deficits.forEach(
        (target, missingTasks) -> {
          if (missingTasks > 0) {
            demands.add(
                new ScaleOutPlanner.Demand(target.sample, missingTasks, Optional.of(target.zone)));
          }
        });
    return demands;
  }

  /**
   * Returns whether releasing the machine leaves all deficits unchanged. A deficit that the machine
   * does not reduce must not prevent its release.
   */
  boolean canRelease(Machine machine) {
    for (Target target : targets) {
      int deficit = deficits.getOrDefault(new ZoneTarget(target.sample, machine.zone()), 0);
      if (Math.max(0, deficit + slots(target.sample, machine)) > Math.max(0, deficit)) {
        return false;
      }
    }
    return true;
  }

  /** Subtracts the slots of a machine that is to be released. */
  void release(Machine machine) {
    for (Target target : targets) {
      deficits.merge(
          new ZoneTarget(target.sample, machine.zone()),
          slots(target.sample, machine),
          Integer::sum);
    }
  }
}
