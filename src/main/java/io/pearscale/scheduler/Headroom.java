package io.pearscale.scheduler;

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
  record Want(Job sample, int each) {}

  private record Part(Job sample, String zone) {}

  private final Collection<Want> wants;
  private final Map<Part, Integer> lacking = new LinkedHashMap<>();

  Headroom(Collection<Want> wants, Collection<String> zones, Collection<Machine> usable) {
    this.wants = wants;
    for (Want w : wants) {
      Map<String, Integer> free = new HashMap<>();
      for (Machine machine : usable) {
        free.merge(machine.zone, places(w.sample, machine), Integer::sum);
      }
      for (String zone : zones) {
        lacking.put(new Part(w.sample, zone), w.each - free.getOrDefault(zone, 0));
      }
    }
  }

  private static int places(Job sample, Machine machine) {
    return sample.spec.allows(machine.type, machine.zone, machine.spot)
        ? machine.capacityWithEviction(sample)
        : 0;
  }

  /** What has to be rented so that each zone has its room. */
  List<ScaleOutPlanner.Demand> demands() {
    List<ScaleOutPlanner.Demand> demands = new ArrayList<>();
    lacking.forEach(
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
  boolean canLose(Machine machine) {
    for (Want w : wants) {
      int lacks = lacking.getOrDefault(new Part(w.sample, machine.zone), 0);
      if (Math.max(0, lacks + places(w.sample, machine)) > Math.max(0, lacks)) {
        return false;
      }
    }
    return true;
  }

  /** The machine is to be given back. */
  void lose(Machine machine) {
    for (Want w : wants) {
      lacking.merge(new Part(w.sample, machine.zone), places(w.sample, machine), Integer::sum);
    }
  }
}
