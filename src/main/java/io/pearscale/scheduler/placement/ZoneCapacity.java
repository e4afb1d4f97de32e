package io.pearscale.scheduler.placement;

import io.pearscale.scheduler.model.EquivalenceClass;
import io.pearscale.scheduler.model.Job;
import io.pearscale.scheduler.model.Machine;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * How many tasks of a class each zone has capacity for, with all that may be preempted for them.
 */
final class ZoneCapacity {
  private final List<Machine> machines;
  private final Map<EquivalenceClass, Map<String, Integer>> tasksByClass = new HashMap<>();

  ZoneCapacity(List<Machine> machines) {
    this.machines = machines;
  }

  /** By zone; counted once for each shape. */
  Map<String, Integer> tasksByZone(Job job) {
    return tasksByClass.computeIfAbsent(
        EquivalenceClass.of(job.spec()), equivalenceClass -> countByZone(job));
  }

  private Map<String, Integer> countByZone(Job job) {
    Map<String, Integer> tasksByZone = new HashMap<>();
    for (Machine machine : machines) {
      if (PlacementConstraints.allowsKind(job.spec(), machine)) {
        tasksByZone.merge(machine.zone(), machine.capacityWithPreemption(job.spec()), Integer::sum);
      }
    }
    return tasksByZone;
  }

  /** The zones in which a job that must spread may have another task; none for any other job. */
  List<String> zonesBelowTaskLimit(Job job) {
    if (!job.spec().spreadAcrossZones()) {
      return List.of();
    }
    return tasksByZone(job).keySet().stream()
        .filter(zone -> job.attemptsInZone(zone) < job.spec().maxTasksPerZone())
        .sorted()
        .toList();
  }

  /**
   * How much less capacity for such tasks each zone has than the zone with the most, from 0 to 1. A
   * job that must spread can't do without the smaller zone; one that need not shouldn't fill it up.
   */
  Map<String, Double> shortfallByZone(Job job) {
    Map<String, Integer> tasksByZone = tasksByZone(job);
    int most = tasksByZone.values().stream().mapToInt(count -> count).max().orElse(0);
    Map<String, Double> shortfallByZone = new HashMap<>();
    tasksByZone.forEach(
        (zone, count) -> shortfallByZone.put(zone, most == 0 ? 0 : 1 - count / (double) most));
    return shortfallByZone;
  }
}
