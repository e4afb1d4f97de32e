package io.pearscale.scheduler.placement;

import io.pearscale.protocol.JobSpec;
import io.pearscale.protocol.Priority;
import io.pearscale.scheduler.model.EquivalenceClass;
import io.pearscale.scheduler.model.Job;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.Resources;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Caches, for one pass, the feasible machines of each class of tasks with the same requirements, so
 * that the fleet is scanned only once per class. Each class starts its scan at its own random
 * position.
 */
final class FeasibleMachines {
  /** Identifies tasks with the same feasible machines and scores. */
  private record ScoringClass(
      EquivalenceClass equivalenceClass, String team, boolean service, String image) {
    static ScoringClass of(JobSpec spec) {
      return new ScoringClass(
          EquivalenceClass.of(spec), spec.team(), spec.isService(), spec.image());
    }
  }

  /** The state of the scan for one class. */
  final class Scan {
    private final int startIndex = machines.randomStart();
    private final List<Machine> feasible = new ArrayList<>();
    private final Map<String, Double> zoneShortfall;
    private int nextIndex;
    private int nextImageHolder;
    private boolean preemptionInfeasible;

    private Scan(Job job) {
      zoneShortfall = zoneCapacity.shortfallByZone(job);
    }

    /** Returns the feasible machines that the scan has found so far. */
    List<Machine> feasible() {
      return feasible;
    }

    /** Returns each zone's capacity shortfall for tasks of the class, from 0 to 1. */
    Map<String, Double> zoneShortfall() {
      return zoneShortfall;
    }

    /** Returns whether tasks of the class cannot be placed by preemption in this pass. */
    boolean isPreemptionInfeasible() {
      return preemptionInfeasible;
    }

    /** Sets whether tasks of the class cannot be placed by preemption in this pass. */
    void setPreemptionInfeasible(boolean infeasible) {
      preemptionInfeasible = infeasible;
    }
  }

  private final PassContext context;
  private final PassCapacity capacity;
  private final ZoneCapacity zoneCapacity;
  private final RandomizedMachineScan machines;
  private final Map<ScoringClass, Scan> scans = new HashMap<>();
  private final Map<String, List<Machine>> imageHolders = new HashMap<>();

  /**
   * Creates an empty cache.
   *
   * @param waiting the jobs to place in this pass; machines with less available CPU or memory than
   *     the smallest request among them are excluded
   */
  FeasibleMachines(
      PassContext context,
      PassCapacity capacity,
      ZoneCapacity zoneCapacity,
      Collection<Job> waiting) {
    this.context = context;
    this.capacity = capacity;
    this.zoneCapacity = zoneCapacity;
    this.machines =
        new RandomizedMachineScan(
            fittingSmallestRequest(context.machines(), waiting), context.random());
  }

  private static List<Machine> fittingSmallestRequest(
      List<Machine> machines, Collection<Job> waiting) {
    double cpus = Double.MAX_VALUE;
    double memoryGb = Double.MAX_VALUE;
    for (Job job : waiting) {
      cpus = Math.min(cpus, job.spec().cpus());
      memoryGb = Math.min(memoryGb, job.spec().memoryGb());
    }
    List<Machine> withCapacity = new ArrayList<>();
    for (Machine machine : machines) {
      Resources available = machine.availableWithPreemption(Priority.IDLE);
      if (available.cpus() + Resources.TOLERANCE >= cpus
          && available.memoryGb() + Resources.TOLERANCE >= memoryGb) {
        withCapacity.add(machine);
      }
    }
    return withCapacity;
  }

  /** Returns the scan of the job's class, and creates it on first use. */
  Scan scanFor(Job job) {
    return scans.computeIfAbsent(ScoringClass.of(job.spec()), scoringClass -> new Scan(job));
  }

  /**
   * Discards the scan of the job's class. This is required after reservations are released, since
   * the scan may have dropped machines that are feasible again.
   */
  void resetScan(Job job) {
    scans.remove(ScoringClass.of(job.spec()));
  }

  /**
   * Drops machines that no longer have capacity, and continues the scan until enough machines are
   * found. For tasks with a start objective, the scan first adds machines that have the image, up
   * to half of the sample: in a large fleet a random scan would rarely find one.
   *
   * @param allowed the machines that the task may run on; other feasible machines stay in the scan
   *     for other tasks of the class
   */
  void extend(Scan scan, Job job, Predicate<Machine> allowed) {
    scan.feasible.removeIf(machine -> !capacity.availableOn(machine).fits(job.spec()));
    if (context.startObjective().apply(job.spec()).isPresent()) {
      extendWithImageHolders(scan, job, allowed);
    }
    long usable = scan.feasible.stream().filter(allowed).count();
    while (usable < context.tuning().sampleSize() && scan.nextIndex < machines.size()) {
      Machine machine = machines.get(scan.startIndex, scan.nextIndex++);
      if (addIfFeasible(scan, job, machine) && allowed.test(machine)) {
        usable++;
      }
    }
  }

  private void extendWithImageHolders(Scan scan, Job job, Predicate<Machine> allowed) {
    String image = job.spec().image();
    List<Machine> holders = imageHolders.computeIfAbsent(image, this::imageHoldersOf);
    long usable =
        scan.feasible.stream()
            .filter(machine -> machine.images().contains(image) && allowed.test(machine))
            .count();
    while (usable < context.tuning().sampleSize() / 2 && scan.nextImageHolder < holders.size()) {
      Machine machine = holders.get(scan.nextImageHolder++);
      if (addIfFeasible(scan, job, machine) && allowed.test(machine)) {
        usable++;
      }
    }
  }

  /** Returns the machines in the scan that have the image, in the order of this pass. */
  private List<Machine> imageHoldersOf(String image) {
    List<Machine> holders = new ArrayList<>();
    for (int i = 0; i < machines.size(); i++) {
      Machine machine = machines.get(/* start= */ 0, i);
      if (machine.images().contains(image)) {
        holders.add(machine);
      }
    }
    return holders;
  }

  /** Adds the machine to the scan if it is feasible for the task and not in the scan yet. */
  private boolean addIfFeasible(Scan scan, Job job, Machine machine) {
    boolean isFeasible =
        PlacementConstraints.allowsMachine(job.spec(), machine)
            && capacity.availableOn(machine).fits(job.spec());
    if (!isFeasible || scan.feasible.contains(machine)) {
      return false;
    }
    scan.feasible.add(machine);
    return true;
  }
}
