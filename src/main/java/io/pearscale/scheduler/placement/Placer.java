package io.pearscale.scheduler.placement;

import io.pearscale.protocol.JobSpec;
import io.pearscale.protocol.Priority;
import io.pearscale.scheduler.model.EquivalenceClass;
import io.pearscale.scheduler.model.Job;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.QuotaUsage;
import io.pearscale.scheduler.model.Resources;
import io.pearscale.scheduler.model.TaskAttempt;
import io.pearscale.storage.Maintenance;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * One pass of the design's placement: machines in random order, one check per task class, the best
 * score among the first few that fit, and if none fits the fewest, lowest victims.
 */
public final class Placer {
  /** Tasks that are alike for feasibility and score. */
  private record ScoringClass(
      EquivalenceClass equivalenceClass, String team, boolean service, String image) {
    static ScoringClass of(JobSpec spec) {
      return new ScoringClass(
          EquivalenceClass.of(spec), spec.team(), spec.isService(), spec.image());
    }
  }

  /** Where a task goes, and who has to leave for it. */
  record Assignment(Machine machine, List<TaskAttempt> victims) {}

  /** The machines that were met for a class in this pass. */
  private final class Scan {
    final int start = openMachines.randomStart();
    int next;
    int nextImageHolder;
    final List<Machine> feasible = new ArrayList<>();
    final Map<String, Double> zoneCrowding;
    boolean preemptionFutile;

    Scan(Job like) {
      zoneCrowding = zoneCapacity.crowding(like);
    }
  }

  private final PassContext context;
  private final PassCapacity capacity;
  private final ZoneCapacity zoneCapacity;
  private final ScoringPolicy scoring;
  private final PreemptionPlanner preemption;
  private final ReplicaRelocation relocation;
  private final RandomizedMachineScan openMachines;
  private final Map<ScoringClass, Scan> scans = new HashMap<>();
  private final Map<String, List<Machine>> imageHolders = new HashMap<>();
  private Optional<RandomizedMachineScan> allMachines = Optional.empty();

  /**
   * Prepares a pass.
   *
   * @param waiting the jobs that the pass is for: machines without room for the smallest task of
   *     any of them are met only in search of victims
   * @param quotaUsage what each team may have on machines
   */
  Placer(PassContext context, Collection<Job> waiting, QuotaUsage quotaUsage) {
    this.context = context;
    this.capacity = new PassCapacity(quotaUsage);
    this.zoneCapacity = new ZoneCapacity(context.machines());
    this.scoring = new ScoringPolicy(context, capacity);
    this.preemption = new PreemptionPlanner(context, capacity, zoneCapacity, this::allMachines);
    this.relocation = new ReplicaRelocation(context, capacity, this::allMachines);
    this.openMachines =
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
      Resources available = machine.availableAbove(Priority.IDLE);
      if (available.cpus() + Resources.TOLERANCE >= cpus
          && available.memoryGb() + Resources.TOLERANCE >= memoryGb) {
        withCapacity.add(machine);
      }
    }
    return withCapacity;
  }

  /** The order for those who look for victims, on machines with room or without. */
  private RandomizedMachineScan allMachines() {
    if (allMachines.isEmpty()) {
      allMachines = Optional.of(new RandomizedMachineScan(context.machines(), context.random()));
    }
    return allMachines.get();
  }

  /** Finds a machine for one more task of the job and books the room. */
  Optional<Assignment> place(Job job, boolean mayPreempt) {
    return place(job, mayPreempt, machine -> true);
  }

  /** The same, on machines of which {@code among} holds. */
  Optional<Assignment> place(Job job, boolean mayPreempt, Predicate<Machine> among) {
    if (capacity.quotaUsage().tasksLeftWithinLimit(job.spec()) < 1) {
      return Optional.empty();
    }
    Predicate<Machine> allowed = machine -> among.test(machine) && constraintsAllow(job, machine);
    Scan scan = scans.computeIfAbsent(ScoringClass.of(job.spec()), scoringClass -> new Scan(job));
    Optional<Machine> withoutVictims = bestFeasible(job, scan, allowed);
    if (withoutVictims.isPresent()) {
      Optional<Assignment> withImage =
          mayPreempt
              ? preemption.preemptForImage(job, withoutVictims.get(), allowed)
              : Optional.empty();
      return withImage.or(() -> Optional.of(reserveWithoutVictims(job, withoutVictims.get())));
    }
    return mayPreempt && !scan.preemptionFutile
        ? placeByPreemption(job, scan, allowed)
        : Optional.empty();
  }

  private Assignment reserveWithoutVictims(Job job, Machine machine) {
    Assignment assignment = new Assignment(machine, List.of());
    capacity.reserve(job, assignment);
    return assignment;
  }

  private Optional<Assignment> placeByPreemption(Job job, Scan scan, Predicate<Machine> allowed) {
    if (preemption.isFutile(job)) {
      return Optional.empty();
    }
    Optional<Assignment> assignment =
        preemption.preempt(job, allowed).or(() -> relocation.makeWay(job));
    if (assignment.isEmpty()) {
      // Like tasks are decided as a class: what found nobody to evict need not look again.
      scan.preemptionFutile = !job.spec().spreadAcrossZones() && !job.spec().singleZone();
      if (!job.spec().singleZone()) {
        preemption.markFutile(job);
      }
    }
    return assignment;
  }

  /**
   * The best of the first few machines that have room for the task. Where tasks are expected to
   * start soon, up to half of them are machines that have the image, if there are so many: in a
   * large fleet a random visit would hardly ever meet one.
   */
  private Optional<Machine> bestFeasible(Job job, Scan scan, Predicate<Machine> allowed) {
    scan.feasible.removeIf(machine -> !capacity.availableOn(machine).fits(job.spec()));
    if (context.startObjective().apply(job.spec()).isPresent()) {
      scanImageHolders(job, scan, allowed);
    }
    long usable = scan.feasible.stream().filter(allowed).count();
    while (usable < context.tuning().sampleSize() && scan.next < openMachines.size()) {
      Machine machine = openMachines.get(scan.start, scan.next++);
      if (addIfFeasible(job, scan, machine) && allowed.test(machine)) {
        usable++;
      }
    }
    Machine best = null;
    double bestScore = Double.MAX_VALUE;
    for (Machine machine : scan.feasible) {
      double machineScore =
          allowed.test(machine) ? scoring.score(job, machine, scan.zoneCrowding) : Double.MAX_VALUE;
      if (machineScore < bestScore) {
        bestScore = machineScore;
        best = machine;
      }
    }
    return Optional.ofNullable(best);
  }

  private void scanImageHolders(Job job, Scan scan, Predicate<Machine> allowed) {
    String image = job.spec().image();
    List<Machine> candidates = imageHolders.computeIfAbsent(image, this::imageHoldersOf);
    long usable =
        scan.feasible.stream().filter(m -> m.images().contains(image) && allowed.test(m)).count();
    while (usable < context.tuning().sampleSize() / 2 && scan.nextImageHolder < candidates.size()) {
      Machine machine = candidates.get(scan.nextImageHolder++);
      if (addIfFeasible(job, scan, machine) && allowed.test(machine)) {
        usable++;
      }
    }
  }

  /** The machines with some room that have the image, in the order of this pass. */
  private List<Machine> imageHoldersOf(String image) {
    List<Machine> found = new ArrayList<>();
    for (int i = 0; i < openMachines.size(); i++) {
      Machine machine = openMachines.get(/* start= */ 0, i);
      if (machine.images().contains(image)) {
        found.add(machine);
      }
    }
    return found;
  }

  /** Adds a machine that has room for the task to those that were met for its class. */
  private boolean addIfFeasible(Job job, Scan scan, Machine machine) {
    boolean isFeasible =
        job.spec().allows(machine.type(), machine.zone(), machine.spot())
            && capacity.availableOn(machine).fits(job.spec());
    if (!isFeasible || scan.feasible.contains(machine)) {
      return false;
    }
    scan.feasible.add(machine);
    return true;
  }

  /** Books a task's room, after that of its victims has become free. */
  void reserve(Job job, Assignment assignment) {
    capacity.reserve(job, assignment);
  }

  /** Takes back what was booked for a task. */
  void release(Job job, Assignment assignment) {
    capacity.release(job, assignment);
  }

  /** The machines met for the job's class are met anew: some were dropped for what was released. */
  void forgetScan(Job job) {
    scans.remove(ScoringClass.of(job.spec()));
  }

  /** The rules that depend on where the job's other tasks are, all doubt counted against it. */
  public static boolean constraintsAllow(Job job, Machine machine) {
    boolean urgent = job.spec().priority().compareTo(Priority.NORMAL) > 0;
    if (urgent && machine.maintenance().stage() == Maintenance.Stage.PROBATION) {
      return false;
    }
    if (job.spec().spreadAcrossZones()
        && job.attemptsInZone(machine.zone()) >= job.spec().maxTasksPerZone()) {
      return false;
    }
    return !job.spec().singleZone() || job.isOnlyInZone(machine.zone());
  }
}
