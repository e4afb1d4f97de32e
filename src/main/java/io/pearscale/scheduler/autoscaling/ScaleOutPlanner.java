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
 * Plans which machines to provision: packs demands into machines that are booting or were
 * requested, and chooses the cheapest available offering for the remaining tasks.
 */
public final class ScaleOutPlanner {
  /** Maximum number of machines that one plan may provision in a small fleet. */
  private static final int MIN_SCALE_OUT_LIMIT = 12;

  /** In a larger fleet, one plan may provision one machine per this number of machines. */
  private static final int FLEET_SIZE_PER_PROVISIONED_MACHINE = 4;

  /**
   * Base of the back-off after a refusal, doubled per consecutive refusal: the first takes 12 s.
   */
  private static final long BASE_BACKOFF_S = 6;

  /** Upper bound of the back-off, however many refusals there were in a row. */
  private static final long MAX_BACKOFF_S = 60;

  private static final int MAX_BACKOFF_DOUBLINGS = 4;

  /** How long a request to the cloud may stay unanswered before the offering is requested again. */
  private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(15);

  /** Lower bound of a task's size, so that a task without resource needs has a positive size. */
  private static final double MIN_TASK_SIZE = 1e-6;

  /** Weight of a gigabyte of memory relative to a CPU. */
  private static final double MEMORY_WEIGHT = 1e-3;

  /** A unit that the cloud offers, grants or refuses: a machine type in a zone, spot or not. */
  record Offering(String type, String zone, boolean spot) {}

  /**
   * A number of equivalent tasks that need capacity.
   *
   * @param job the job that defines the needs of each task
   * @param tasks the number of tasks
   * @param zone the zone in which the tasks have to run; empty for any zone
   */
  public record Demand(Job job, int tasks, Optional<String> zone) {}

  /** The offering is not requested before {@code until}; counts consecutive refusals. */
  private record Backoff(Instant until, int refusalCount) {}

  private final Tuning tuning;
  private final Map<Offering, Backoff> backoffs = new HashMap<>();
  private final Map<Offering, Integer> requestedCounts = new HashMap<>();

  ScaleOutPlanner(Tuning tuning) {
    this.tuning = tuning;
  }

  /** Records that the cloud has no capacity of the offering, which starts a growing back-off. */
  void recordRefused(Offering offering, Instant now) {
    requestedCounts.remove(offering);
    int refusalCount = refusalCount(offering) + 1;
    long backoffSeconds = BASE_BACKOFF_S << Math.min(MAX_BACKOFF_DOUBLINGS, refusalCount);
    Instant until = now.plusSeconds(Math.min(MAX_BACKOFF_S, backoffSeconds));
    backoffs.put(offering, new Backoff(until, refusalCount));
  }

  /**
   * Records that machines of the offering were requested. No more are requested until the cloud
   * answers or the response timeout passes. The requested machines count as booting, because
   * otherwise the same demand would request another offering in the meantime.
   */
  void recordRequested(Offering offering, int count, Instant now) {
    requestedCounts.put(offering, count);
    backoffs.put(offering, new Backoff(now.plus(RESPONSE_TIMEOUT), refusalCount(offering)));
  }

  private int refusalCount(Offering offering) {
    Backoff backoff = backoffs.get(offering);
    return backoff == null ? 0 : backoff.refusalCount;
  }

  /**
   * Records that a request was granted, or failed for a reason other than capacity, so that the
   * offering may be requested again.
   */
  void recordGranted(Offering offering) {
    requestedCounts.remove(offering);
    backoffs.remove(offering);
  }

  /** A machine, existing or planned, that demands are packed into. */
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

    /** Packs as many of the tasks as fit, and returns their number. */
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
   * Plans how many machines of each offering to provision.
   *
   * @param demands demands in the order in which they are packed
   * @param booting machines that are booting
   * @param types the machine types of the cloud's catalogue
   * @param unreachableZones zones in which no machines are provisioned
   * @param fleetSize number of existing machines, on which the limit for one plan depends
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

  /** A plan under construction, to which demands are added one at a time. */
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
     * Packs the demand into the existing bins, and adds bins for the remaining tasks.
     *
     * @param laterDemands the demands that are packed after this one
     * @param limit maximum number of machines that the plan may provision in total
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
     * Returns the offering with the lowest price per used capacity. Later demands count as use too,
     * because many small jobs can fill a large machine as well as one large job.
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

  /**
   * Returns the total size of the tasks that fit the bin; zero if no task of {@code demand} fits.
   */
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

  /** Returns a measure of a task's size that is comparable between machine types. */
  private static double taskSize(Job job) {
    return Math.max(
        MIN_TASK_SIZE,
        job.spec().cpus() + job.spec().gpus() + job.spec().memoryGb() * MEMORY_WEIGHT);
  }

  /**
   * Returns how long a booting machine of the type counts as capacity that will be available. It is
   * released only after a longer timeout.
   */
  static Duration bootAllowance(MachineType type) {
    return type.bootTime().multipliedBy(2).plusSeconds(5);
  }
}
