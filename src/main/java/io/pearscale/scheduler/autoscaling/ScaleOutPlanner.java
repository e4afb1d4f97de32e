package io.pearscale.scheduler.autoscaling;

import io.pearscale.protocol.CloudApi;
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
 * Plans which machines to provision: demands are packed into machines that are booting, and for
 * what is left over the cheapest offering that can be had is chosen.
 */
public final class ScaleOutPlanner {
  /** Machines that one plan may provision in a small fleet. */
  private static final int MIN_SCALE_OUT_LIMIT = 12;

  /** One plan may provision one machine for so many of the fleet. */
  private static final int FLEET_SIZE_PER_PROVISIONED_MACHINE = 4;

  /** An offering that was refused is left alone for so long at first, and at the most. */
  private static final long BASE_BACKOFF_S = 6;

  private static final long MAX_BACKOFF_S = 60;
  private static final int MAX_BACKOFF_DOUBLINGS = 4;

  /** An answer to a request is waited for so long. */
  private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(15);

  /** Keeps the size of a task that needs nothing above zero. */
  private static final double MIN_TASK_SIZE = 1e-6;

  /** A gigabyte of memory counts as so much of a processor. */
  private static final double MEMORY_WEIGHT = 1e-3;

  /** What the cloud offers, and grants or refuses: a machine type in a zone, spot or not. */
  record Offering(String type, String zone, boolean spot) {}

  /**
   * Tasks that capacity is needed for.
   *
   * @param job what each of the tasks needs
   * @param zone the zone that they have to run in, if it matters
   */
  public record Demand(Job job, int tasks, Optional<String> zone) {}

  /** An offering is not requested before {@code until}; it was refused so many times in a row. */
  private record Backoff(Instant until, int refusalCount) {}

  private final Tuning tuning;
  private final Map<Offering, Backoff> backoffs = new HashMap<>();
  private final Map<Offering, Integer> requestedCounts = new HashMap<>();

  ScaleOutPlanner(Tuning tuning) {
    this.tuning = tuning;
  }

  /** The cloud has no capacity of the offering: it is left alone for a while, longer each time. */
  void recordRefused(Offering offering, Instant now) {
    requestedCounts.remove(offering);
    int refusalCount = refusalCount(offering) + 1;
    long backoffSeconds = BASE_BACKOFF_S << Math.min(MAX_BACKOFF_DOUBLINGS, refusalCount);
    Instant until = now.plusSeconds(Math.min(MAX_BACKOFF_S, backoffSeconds));
    backoffs.put(offering, new Backoff(until, refusalCount));
  }

  /**
   * Machines of the offering were requested: no more are before there is an answer, or it is
   * overdue. They count as booting, else the same demand would request another offering meanwhile.
   */
  void recordRequested(Offering offering, int count, Instant now) {
    requestedCounts.put(offering, count);
    backoffs.put(offering, new Backoff(now.plus(RESPONSE_TIMEOUT), refusalCount(offering)));
  }

  private int refusalCount(Offering offering) {
    Backoff backoff = backoffs.get(offering);
    return backoff == null ? 0 : backoff.refusalCount;
  }

  /** The request was answered, and the offering may be requested again. */
  void recordGranted(Offering offering) {
    requestedCounts.remove(offering);
    backoffs.remove(offering);
  }

  /** A machine that demands are packed into. */
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

    /** Packs as many of the tasks as fit; returns how many. */
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
   * Plans how many machines to provision of each offering.
   *
   * @param booting machines that will take tasks soon
   * @param unreachableZones zones in which nothing is to be provisioned
   * @param fleetSize how many machines there are: a large fleet may grow by more at once
   */
  Map<Offering, Integer> plan(
      List<Demand> demands,
      Collection<Machine> booting,
      Collection<MachineType> types,
      Set<String> unreachableZones,
      int fleetSize,
      Instant now) {
    Plan plan = new Plan(types, unreachableZones, now);
    plan.addPendingMachines(booting);
    int limit = Math.max(MIN_SCALE_OUT_LIMIT, fleetSize / FLEET_SIZE_PER_PROVISIONED_MACHINE);
    for (int i = 0; i < demands.size(); i++) {
      plan.packDemand(demands.get(i), demands.subList(i + 1, demands.size()), limit);
    }
    return plan.scaleOut;
  }

  /** A plan that is being made, for one demand after the other. */
  private final class Plan {
    private final Collection<MachineType> types;
    private final Set<String> unreachableZones;
    private final Instant now;
    private final List<Bin> bins = new ArrayList<>();
    private final Map<Offering, Integer> scaleOut = new LinkedHashMap<>();
    private int total;

    Plan(Collection<MachineType> types, Set<String> unreachableZones, Instant now) {
      this.types = types;
      this.unreachableZones = unreachableZones;
      this.now = now;
    }

    /** Adds empty bins for the machines that are booting or were requested. */
    void addPendingMachines(Collection<Machine> booting) {
      for (Machine machine : booting) {
        bins.add(new Bin(machine.type(), machine.zone(), machine.spot()));
      }
      requestedCounts.forEach(
          (offering, count) -> {
            for (MachineType type : types) {
              for (int i = 0; i < count && type.name().equals(offering.type()); i++) {
                bins.add(new Bin(type, offering.zone(), offering.spot()));
              }
            }
          });
    }

    /**
     * Packs the demand into the bins, and adds bins for what is left over.
     *
     * @param laterDemands the demands after it
     * @param limit how many machines the plan may provision in all
     */
    void packDemand(Demand demand, List<Demand> laterDemands, int limit) {
      int remainingTasks = demand.tasks();
      for (Bin bin : bins) {
        if (remainingTasks == 0) {
          break;
        }
        remainingTasks -= bin.pack(demand, remainingTasks);
      }
      while (remainingTasks > 0 && total < limit) {
        Optional<Bin> cheapest = cheapest(demand, remainingTasks, laterDemands);
        if (cheapest.isEmpty()) {
          break;
        }
        Bin bin = cheapest.get();
        remainingTasks -= bin.pack(demand, remainingTasks);
        bins.add(bin);
        scaleOut.merge(new Offering(bin.type.name(), bin.zone, bin.spot), 1, Integer::sum);
        total++;
      }
    }

    /**
     * The cheapest offering by the price of what will be used. Later demands count as use too: many
     * small jobs fill a large machine as well as one large job does.
     */
    private Optional<Bin> cheapest(Demand demand, int tasks, List<Demand> laterDemands) {
      Bin best = null;
      double bestCost = Double.MAX_VALUE;
      for (MachineType type : types) {
        for (String zone : type.zones()) {
          for (boolean spot : new boolean[] {true, false}) {
            if (!isAvailable(new Offering(type.name(), zone, spot))) {
              continue;
            }
            double packedSize = packedSize(new Bin(type, zone, spot), demand, tasks, laterDemands);
            if (packedSize == 0) {
              continue;
            }
            double cost =
                type.hourlyPrice(spot) * (spot ? tuning.spotRiskFactor() : 1) / packedSize;
            if (cost < bestCost) {
              bestCost = cost;
              best = new Bin(type, zone, spot);
            }
          }
        }
      }
      return Optional.ofNullable(best);
    }

    private boolean isAvailable(Offering offering) {
      return !unreachableZones.contains(offering.zone)
          && !isBackedOff(offering, now)
          && scaleOut.getOrDefault(offering, 0) < CloudApi.MAX_PROVISIONED_PER_REQUEST;
    }
  }

  /** The size of all tasks that would be packed into the bin; zero if none is of the demand. */
  private static double packedSize(Bin bin, Demand demand, int tasks, List<Demand> laterDemands) {
    double packedSize = bin.pack(demand, tasks) * taskSize(demand.job());
    if (packedSize == 0) {
      return 0;
    }
    for (Demand laterDemand : laterDemands) {
      packedSize += bin.pack(laterDemand, laterDemand.tasks()) * taskSize(laterDemand.job());
    }
    return packedSize;
  }

  private boolean isBackedOff(Offering offering, Instant now) {
    Backoff backoff = backoffs.get(offering);
    return backoff != null && now.isBefore(backoff.until);
  }

  /** A measure of a task that is comparable between machine types. */
  private static double taskSize(Job job) {
    return Math.max(
        MIN_TASK_SIZE,
        job.spec().cpus() + job.spec().gpus() + job.spec().memoryGb() * MEMORY_WEIGHT);
  }

  /** How long a machine may boot before it no longer counts as booting. */
  static Duration bootTimeout(MachineType type) {
    return type.bootTime().multipliedBy(2).plusSeconds(5);
  }
}
