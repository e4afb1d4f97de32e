package io.pearscale.scheduler.placement;

import io.pearscale.scheduler.model.EquivalenceClass;
import io.pearscale.scheduler.model.Job;
import io.pearscale.scheduler.model.Machine;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The number of tasks of a class that each zone has capacity for, including capacity that can be
 * preempted.
 */
final class ZoneCapacity {
  private final List<Machine> machines;
  private final Map<EquivalenceClass, Map<String, Integer>> tasksByClass = new HashMap<>();

  ZoneCapacity(List<Machine> machines) {
    this.machines = machines;
  }

  /** Returns the number of such tasks by zone, computed once per equivalence class. */
  Map<String, Integer> tasksByZone(Job job) {
    return tasksByClass.computeIfAbsent(
        EquivalenceClass.of(job.spec()), equivalenceClass -> countByZone(job));
  }

  private Map<String, Integer> countByZone(Job job) {
    Map<String, Integer> tasksByZone = new HashMap<>();
    for (Machine machine : machines) {
      if (PlacementConstraints.allowsMachine(job.spec(), machine)) {
        tasksByZone.merge(machine.zone(), machine.capacityWithPreemption(job.spec()), Integer::sum);
      }
    }
    return tasksByZone;
  }

  /**
   * Returns the zones in which a job with a spread constraint may have another task; empty for jobs
   * without one.
   */
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
   * Returns how much less capacity for such tasks each zone has relative to the zone with the most,
   * from 0 to 1. Jobs with a spread constraint need the smaller zones, so other jobs should not use
   * them up.
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
