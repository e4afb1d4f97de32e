package io.pearscale.scheduler;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** How many tasks of a shape each zone has room for, with all that may be evicted for them. */
final class ZoneCapacity {
  private final List<Machine> machines;
  private final Map<EquivalenceClass, Map<String, Integer>> counted = new HashMap<>();

  ZoneCapacity(List<Machine> machines) {
    this.machines = machines;
  }

  /** By zone; counted once for each shape. */
  Map<String, Integer> of(Job job) {
    return counted.computeIfAbsent(EquivalenceClass.of(job.spec), shape -> count(job));
  }

  private Map<String, Integer> count(Job job) {
    Map<String, Integer> free = new HashMap<>();
    for (Machine machine : machines) {
      if (job.spec.allows(machine.type, machine.zone, machine.spot)) {
        free.merge(machine.zone, machine.capacityWithEviction(job), Integer::sum);
      }
    }
    return free;
  }

  /** The zones in which a job that must spread may have another task; none for any other job. */
  List<String> left(Job job) {
    if (!job.spec.spreadAcrossZones()) {
      return List.of();
    }
    return of(job).keySet().stream()
        .filter(zone -> job.attemptsInZone(zone) < job.spec.maxTasksPerZone())
        .sorted()
        .toList();
  }

  /**
   * How much less room for such tasks each zone has than the roomiest one, from 0 to 1. A job that
   * must spread can't do without the smaller zone; one that need not shouldn't fill it up.
   */
  Map<String, Double> crowding(Job like) {
    Map<String, Integer> free = of(like);
    int most = free.values().stream().mapToInt(count -> count).max().orElse(0);
    Map<String, Double> crowding = new HashMap<>();
    free.forEach((zone, count) -> crowding.put(zone, most == 0 ? 0 : 1 - count / (double) most));
    return crowding;
  }
}
