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
 * Headroom: capacity that is kept in each zone for classes whose tasks could not wait for a machine
 * to boot. Counted once over all machines; releasing one only subtracts what it has.
 */
final class Headroom {
  /**
   * What is to be kept for one class.
   *
   * @param sample a job of the class: capacity is counted in tasks like its own
   * @param tasksPerZone how many tasks are to have room in each zone
   */
  record Target(Job sample, int tasksPerZone) {}

  private record ZoneTarget(Job sample, String zone) {}

  private final Collection<Target> targets;

  /** Tasks without room, by class and zone; below 0 where there is more room than needed. */
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

  /** What has to be provisioned so that each zone has its headroom. */
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
   * Whether no zone would lack more without the machine. A deficit to which the machine contributes
   * nothing must not keep it.
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

  /** The machine is to be released. */
  void release(Machine machine) {
    for (Target target : targets) {
      deficits.merge(
          new ZoneTarget(target.sample, machine.zone()),
          slots(target.sample, machine),
          Integer::sum);
    }
  }
}
