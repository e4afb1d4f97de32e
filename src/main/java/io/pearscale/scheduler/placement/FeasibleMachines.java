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
 * The machines with capacity that a pass has met for each class of like tasks, so that those of one
 * class are looked for once. Each class begins its scan at a random place of its own.
 */
final class FeasibleMachines {
  /** Tasks that are alike for feasibility and score. */
  private record ScoringClass(
      EquivalenceClass equivalenceClass, String team, boolean service, String image) {
    static ScoringClass of(JobSpec spec) {
      return new ScoringClass(
          EquivalenceClass.of(spec), spec.team(), spec.isService(), spec.image());
    }
  }

  /** What was met for one class, and what is known of it. */
  final class Scan {
    private final int start = machines.randomStart();
    private final List<Machine> found = new ArrayList<>();
    private final Map<String, Double> zoneCrowding;
    private int next;
    private int nextImageHolder;
    private boolean preemptionFutile;

    private Scan(Job like) {
      zoneCrowding = zoneCapacity.crowding(like);
    }

    /** The machines met so far that have capacity. */
    List<Machine> found() {
      return found;
    }

    /** How little capacity each zone has for such tasks, from 0 to 1. */
    Map<String, Double> zoneCrowding() {
      return zoneCrowding;
    }

    /** Whether no such task is to be placed by preemption in this pass. */
    boolean isPreemptionFutile() {
      return preemptionFutile;
    }

    /** Says whether no such task is to be placed by preemption in this pass. */
    void setPreemptionFutile(boolean futile) {
      preemptionFutile = futile;
    }
  }

  private final PassContext context;
  private final PassCapacity capacity;
  private final ZoneCapacity zoneCapacity;
  private final RandomizedMachineScan machines;
  private final Map<ScoringClass, Scan> scans = new HashMap<>();
  private final Map<String, List<Machine>> imageHolders = new HashMap<>();

  /**
   * Knows of no machines yet.
   *
   * @param waiting the jobs that the pass is for: machines without capacity for the smallest task
   *     of any of them are left out
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
        new RandomizedMachineScan(withSomeCapacity(context.machines(), waiting), context.random());
  }

  private static List<Machine> withSomeCapacity(List<Machine> machines, Collection<Job> waiting) {
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

  /** The scan of the job's class; it begins when it is first asked for. */
  Scan scanFor(Job job) {
    return scans.computeIfAbsent(ScoringClass.of(job.spec()), scoringClass -> new Scan(job));
  }

  /** The machines of the job's class are met anew: some were dropped for what was released. */
  void forgetScan(Job job) {
    scans.remove(ScoringClass.of(job.spec()));
  }

  /**
   * Drops what has no capacity any more, and goes on with the scan until enough machines are found.
   * Where tasks are expected to start soon, up to half of them are machines that have the image, if
   * there are so many: in a large fleet a random scan would hardly ever meet one.
   *
   * @param allowed where the task may be; others are kept for other tasks of the class
   */
  void extend(Scan scan, Job job, Predicate<Machine> allowed) {
    scan.found.removeIf(machine -> !capacity.availableOn(machine).fits(job.spec()));
    if (context.startObjective().apply(job.spec()).isPresent()) {
      extendByImageHolders(scan, job, allowed);
    }
    long usable = scan.found.stream().filter(allowed).count();
    while (usable < context.tuning().sampleSize() && scan.next < machines.size()) {
      Machine machine = machines.get(scan.start, scan.next++);
      if (addIfFeasible(scan, job, machine) && allowed.test(machine)) {
        usable++;
      }
    }
  }

  private void extendByImageHolders(Scan scan, Job job, Predicate<Machine> allowed) {
    String image = job.spec().image();
    List<Machine> holders = imageHolders.computeIfAbsent(image, this::imageHoldersOf);
    long usable =
        scan.found.stream()
            .filter(machine -> machine.images().contains(image) && allowed.test(machine))
            .count();
    while (usable < context.tuning().sampleSize() / 2 && scan.nextImageHolder < holders.size()) {
      Machine machine = holders.get(scan.nextImageHolder++);
      if (addIfFeasible(scan, job, machine) && allowed.test(machine)) {
        usable++;
      }
    }
  }

  /** The machines with some capacity that have the image, in the order of this pass. */
  private List<Machine> imageHoldersOf(String image) {
    List<Machine> found = new ArrayList<>();
    for (int i = 0; i < machines.size(); i++) {
      Machine machine = machines.get(/* start= */ 0, i);
      if (machine.images().contains(image)) {
        found.add(machine);
      }
    }
    return found;
  }

  /** Adds a machine that has capacity for the task to those that were met for its class. */
  private boolean addIfFeasible(Scan scan, Job job, Machine machine) {
    boolean isFeasible =
        PlacementConstraints.allowsKind(job.spec(), machine)
            && capacity.availableOn(machine).fits(job.spec());
    if (!isFeasible || scan.found.contains(machine)) {
      return false;
    }
    scan.found.add(machine);
    return true;
  }
}
