package io.pearscale.scheduler.autoscaling;

import io.pearscale.protocol.MachineType;
import io.pearscale.scheduler.model.Job;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.Resources;
import io.pearscale.scheduler.model.Tuning;
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
public final class ScaleOutPlanner {
  private static final int MIN_SCALE_OUT_LIMIT = 12;

  /** The cloud takes no more in one call. */
  private static final int MAX_PER_REQUEST = 50;

  /** A kind of machine: what is refused is refused for one of these. */
  record Offering(String type, String zone, boolean spot) {}

  /** Work to find room for. */
  public record Demand(Job job, int tasks, Optional<String> zone) {}

  private record Refusal(Instant until, int times) {}

  private final Tuning tuning;
  private final Map<Offering, Refusal> refusals = new HashMap<>();
  private final Map<Offering, Integer> requested = new HashMap<>();

  ScaleOutPlanner(Tuning tuning) {
    this.tuning = tuning;
  }

  /** The cloud has none of this kind now: it is left alone for a while, longer each time. */
  void noteRefused(Offering offering, Instant now) {
    requested.remove(offering);
    int times = refusals.containsKey(offering) ? refusals.get(offering).times + 1 : 1;
    refusals.put(
        offering, new Refusal(now.plusSeconds(Math.min(60, 6L << Math.min(4, times))), times));
  }

  /**
   * This kind was asked for: not again before there is an answer, or it is overdue. What was asked
   * for counts as coming, else the same work would ask for another kind meanwhile.
   */
  void noteRequested(Offering offering, int count, Instant now) {
    requested.put(offering, count);
    int times = refusals.containsKey(offering) ? refusals.get(offering).times : 0;
    refusals.put(offering, new Refusal(now.plusSeconds(15), times));
  }

  /** The cloud gave one of this kind. */
  void noteGranted(Offering offering) {
    requested.remove(offering);
    refusals.remove(offering);
  }

  private static final class Bin {
    final MachineType type;
    final String zone;
    final boolean spot;
    final Resources available;

    Bin(MachineType type, String zone, boolean spot) {
      this.type = type;
      this.zone = zone;
      this.spot = spot;
      this.available = new Resources(type.cpus(), type.gpus(), type.memoryGb());
    }

    int pack(Demand demand, int tasks) {
      if (!demand.job().spec().allows(type, zone, spot)
          || !demand.zone().map(zone::equals).orElse(true)) {
        return 0;
      }
      int fitting = Math.min(tasks, available.countFitting(demand.job().spec()));
      for (int i = 0; i < fitting; i++) {
        available.subtract(demand.job().spec());
      }
      return fitting;
    }
  }

  /**
   * What to rent now, given what is on its way.
   *
   * @param unreachableZones zones in which nothing is to be rented
   * @param fleetSize how many machines there are: a large fleet may grow by more at once
   */
  Map<Offering, Integer> plan(
      List<Demand> demands,
      Collection<Machine> booting,
      Collection<MachineType> types,
      Set<String> unreachableZones,
      int fleetSize,
      Instant now) {
    int limit = Math.max(MIN_SCALE_OUT_LIMIT, fleetSize / 4);
    List<Bin> bins = new ArrayList<>();
    for (Machine machine : booting) {
      bins.add(new Bin(machine.type(), machine.zone(), machine.spot()));
    }
    requested.forEach(
        (offering, n) -> {
          for (MachineType type : types) {
            for (int i = 0; i < n && type.name().equals(offering.type()); i++) {
              bins.add(new Bin(type, offering.zone(), offering.spot()));
            }
          }
        });
    Map<Offering, Integer> scaleOut = new LinkedHashMap<>();
    int total = 0;
    for (int i = 0; i < demands.size(); i++) {
      Demand demand = demands.get(i);
      int left = demand.tasks();
      for (Bin bin : bins) {
        if (left == 0) {
          break;
        }
        left -= bin.pack(demand, left);
      }
      while (left > 0 && total < limit) {
        Optional<Bin> best =
            cheapest(
                demand,
                left,
                demands.subList(i + 1, demands.size()),
                types,
                unreachableZones,
                scaleOut,
                now);
        if (best.isEmpty()) {
          break;
        }
        Bin bin = best.get();
        left -= bin.pack(demand, left);
        bins.add(bin);
        scaleOut.merge(new Offering(bin.type.name(), bin.zone, bin.spot), 1, Integer::sum);
        total++;
      }
    }
    return scaleOut;
  }

  /**
   * The cheapest kind by the price of a place that will be used. What is asked for later in the
   * list counts as use too: many small jobs fill a large machine as well as one large job does.
   */
  private Optional<Bin> cheapest(
      Demand demand,
      int tasks,
      List<Demand> later,
      Collection<MachineType> types,
      Set<String> unreachableZones,
      Map<Offering, Integer> scaleOut,
      Instant now) {
    Bin best = null;
    double bestCost = Double.MAX_VALUE;
    for (MachineType type : types) {
      for (String zone : type.zones()) {
        for (boolean spot : new boolean[] {true, false}) {
          Offering offering = new Offering(type.name(), zone, spot);
          Refusal refusal = refusals.get(offering);
          if (unreachableZones.contains(zone)
              || (refusal != null && now.isBefore(refusal.until))
              || scaleOut.getOrDefault(offering, 0) >= MAX_PER_REQUEST) {
            continue;
          }
          Bin bin = new Bin(type, zone, spot);
          Bin trial = new Bin(type, zone, spot);
          double used = trial.pack(demand, tasks) * taskSize(demand.job());
          if (used == 0) {
            continue;
          }
          for (Demand other : later) {
            used += trial.pack(other, other.tasks()) * taskSize(other.job());
          }
          double cost = type.hourlyPrice(spot) * (spot ? tuning.spotRiskFactor() : 1) / used;
          if (cost < bestCost) {
            bestCost = cost;
            best = bin;
          }
        }
      }
    }
    return Optional.ofNullable(best);
  }

  /** A measure of a task that is comparable between machine types. */
  private static double taskSize(Job job) {
    return Math.max(1e-6, job.spec().cpus() + job.spec().gpus() + job.spec().memoryGb() * 1e-3);
  }

  /** How long a machine may boot before it no longer counts as coming. */
  static Duration bootTimeout(MachineType type) {
    return type.bootTime().multipliedBy(2).plusSeconds(5);
  }
}
