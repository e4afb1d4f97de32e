package io.pearscale.scheduler;

import io.pearscale.protocol.MachineType;
import io.pearscale.scheduler.Machine.Resources;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Decides what to rent: work that finds no room is packed into machines that are on their way, and
 * for what is left over the cheapest kind that can be had is chosen.
 */
final class ScaleOutPlanner {
  private static final int LEAST_AT_ONCE = 12;

  /** The cloud takes no more in one call. */
  private static final int MOST_OF_A_KIND = 50;

  /** A kind of machine: what is refused is refused for one of these. */
  record Kind(String type, String zone, boolean spot) {}

  /** Work to find room for. */
  record Demand(Job job, int tasks, Optional<String> zone) {}

  private record Refusal(Instant until, int times) {}

  private final Tuning tuning;
  private final Map<Kind, Refusal> refused = new HashMap<>();
  private final Map<Kind, Integer> asked = new HashMap<>();

  ScaleOutPlanner(Tuning tuning) {
    this.tuning = tuning;
  }

  /** The cloud has none of this kind now: it is left alone for a while, longer each time. */
  void noteRefused(Kind kind, Instant now) {
    asked.remove(kind);
    int times = refused.containsKey(kind) ? refused.get(kind).times + 1 : 1;
    refused.put(kind, new Refusal(now.plusSeconds(Math.min(60, 6L << Math.min(4, times))), times));
  }

  /**
   * This kind was asked for: not again before there is an answer, or it is overdue. What was asked
   * for counts as coming, else the same work would ask for another kind meanwhile.
   */
  void noteAsked(Kind kind, int count, Instant now) {
    asked.put(kind, count);
    int times = refused.containsKey(kind) ? refused.get(kind).times : 0;
    refused.put(kind, new Refusal(now.plusSeconds(15), times));
  }

  /** The cloud gave one of this kind. */
  void noteGranted(Kind kind) {
    asked.remove(kind);
    refused.remove(kind);
  }

  private static final class Bin {
    final MachineType type;
    final String zone;
    final boolean spot;
    final Resources room;

    Bin(MachineType type, String zone, boolean spot) {
      this.type = type;
      this.zone = zone;
      this.spot = spot;
      this.room = new Resources(type.cpus(), type.gpus(), type.memoryGb());
    }

    int take(Demand d, int tasks) {
      if (!d.job().spec.allows(type, zone, spot) || !d.zone().map(zone::equals).orElse(true)) {
        return 0;
      }
      int n = Math.min(tasks, room.countFitting(d.job()));
      for (int i = 0; i < n; i++) {
        room.subtract(d.job());
      }
      return n;
    }
  }

  /**
   * What to rent now, given what is on its way.
   *
   * @param silentZones zones in which nothing is to be rented
   * @param fleet how many machines there are: a large fleet may grow by more at once
   */
  Map<Kind, Integer> plan(
      List<Demand> demands,
      Collection<Machine> coming,
      Collection<MachineType> types,
      Set<String> silentZones,
      int fleet,
      Instant now) {
    int most = Math.max(LEAST_AT_ONCE, fleet / 4);
    List<Bin> bins = new ArrayList<>();
    for (Machine machine : coming) {
      bins.add(new Bin(machine.type, machine.zone, machine.spot));
    }
    asked.forEach(
        (kind, n) -> {
          for (MachineType type : types) {
            for (int i = 0; i < n && type.name().equals(kind.type()); i++) {
              bins.add(new Bin(type, kind.zone(), kind.spot()));
            }
          }
        });
    Map<Kind, Integer> hires = new LinkedHashMap<>();
    int total = 0;
    for (int i = 0; i < demands.size(); i++) {
      Demand d = demands.get(i);
      int left = d.tasks();
      for (Bin b : bins) {
        if (left == 0) {
          break;
        }
        left -= b.take(d, left);
      }
      while (left > 0 && total < most) {
        Optional<Bin> best =
            cheapest(
                d, left, demands.subList(i + 1, demands.size()), types, silentZones, hires, now);
        if (best.isEmpty()) {
          break;
        }
        Bin b = best.get();
        left -= b.take(d, left);
        bins.add(b);
        hires.merge(new Kind(b.type.name(), b.zone, b.spot), 1, Integer::sum);
        total++;
      }
    }
    return hires;
  }

  /**
   * The cheapest kind by the price of a place that will be used. What is asked for later in the
   * list counts as use too: many small jobs fill a large machine as well as one large job does.
   */
  private Optional<Bin> cheapest(
      Demand d,
      int tasks,
      List<Demand> later,
      Collection<MachineType> types,
      Set<String> silentZones,
      Map<Kind, Integer> hires,
      Instant now) {
    Bin best = null;
    double bestCost = Double.MAX_VALUE;
    for (MachineType type : types) {
      for (String zone : type.zones()) {
        for (boolean spot : new boolean[] {true, false}) {
          Kind kind = new Kind(type.name(), zone, spot);
          Refusal r = refused.get(kind);
          if (silentZones.contains(zone)
              || (r != null && now.isBefore(r.until))
              || hires.getOrDefault(kind, 0) >= MOST_OF_A_KIND) {
            continue;
          }
          Bin b = new Bin(type, zone, spot);
          Bin trial = new Bin(type, zone, spot);
          double used = trial.take(d, tasks) * size(d.job());
          if (used == 0) {
            continue;
          }
          for (Demand other : later) {
            used += trial.take(other, other.tasks()) * size(other.job());
          }
          double cost = type.hourlyPrice(spot) * (spot ? tuning.spotRiskFactor() : 1) / used;
          if (cost < bestCost) {
            bestCost = cost;
            best = b;
          }
        }
      }
    }
    return Optional.ofNullable(best);
  }

  /** A measure of a task that is comparable between machine types. */
  private static double size(Job job) {
    return Math.max(1e-6, job.spec.cpus() + job.spec.gpus() + job.spec.memoryGb() * 1e-3);
  }

  /** How long most machines take to boot: up to half as long again as the catalogue says. */
  static Duration bootTime(MachineType type) {
    return type.bootTime().multipliedBy(3).dividedBy(2);
  }

  /** How long a machine may boot before it no longer counts as coming. */
  static Duration patience(MachineType type) {
    return type.bootTime().multipliedBy(2).plusSeconds(5);
  }
}
