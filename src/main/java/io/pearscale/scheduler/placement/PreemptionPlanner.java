package io.pearscale.scheduler.placement;

import io.pearscale.protocol.JobSpec;
import io.pearscale.protocol.Priority;
import io.pearscale.scheduler.model.EquivalenceClass;
import io.pearscale.scheduler.model.Job;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.TaskAttempt;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Selects tasks to preempt for a waiting task: as few as possible, lowest priority first. A search
 * that finds no victims is not repeated in the same pass.
 */
final class PreemptionPlanner {
  /** Multiplies the number of candidates while the best one would end a running gang. */
  private static final int GANG_VICTIM_SEARCH_FACTOR = 4;

  /**
   * Identifies tasks with the same potential victims.
   *
   * @param zones the zones in which the job's spread constraint allows another task
   */
  private record SearchKey(
      EquivalenceClass equivalenceClass,
      String team,
      boolean service,
      List<String> zones,
      Optional<String> image) {}

  private final PassContext context;
  private final PassCapacity capacity;
  private final ZoneCapacity zoneCapacity;
  private final Supplier<RandomizedMachineScan> machines;
  private final VictimSelector victimSelector;
  private final Set<SearchKey> infeasibleSearches = new HashSet<>();

  PreemptionPlanner(
      PassContext context,
      PassCapacity capacity,
      ZoneCapacity zoneCapacity,
      Supplier<RandomizedMachineScan> machines) {
    this.context = context;
    this.capacity = capacity;
    this.zoneCapacity = zoneCapacity;
    this.machines = machines;
    this.victimSelector = new VictimSelector(context, capacity);
  }

  private SearchKey searchKey(Job job, Optional<String> image) {
    JobSpec spec = job.spec();
    return new SearchKey(
        EquivalenceClass.of(spec),
        spec.team(),
        spec.isService(),
        zoneCapacity.zonesBelowTaskLimit(job),
        image);
  }

  /** Returns whether an earlier search found no victims for such tasks on any machine. */
  boolean isInfeasible(Job job) {
    return infeasibleSearches.contains(searchKey(job, Optional.empty()));
  }

  /** Records that such tasks have no victims on any machine. */
  void markInfeasible(Job job) {
    infeasibleSearches.add(searchKey(job, Optional.empty()));
  }

  /** Finds victims on any allowed machine and reserves their capacity for the task. */
  Optional<Assignment> preempt(Job job, Predicate<Machine> allowed) {
    return preempt(job, Optional.empty(), allowed);
  }

  /**
   * Finds victims on a machine that has the image, if fetching it on the free machine would take
   * longer than the job's start objective. Rerunning a few low-priority tasks is preferred to a
   * start that is certain to be late. A running gang is not ended for this purpose.
   *
   * @param freeMachine the best machine that needs no preemption
   */
  Optional<Assignment> preemptForImage(Job job, Machine freeMachine, Predicate<Machine> allowed) {
    JobSpec spec = job.spec();
    Optional<Duration> startTarget = context.startObjective().apply(spec);
    if (startTarget.isEmpty()
        || freeMachine.images().contains(spec.image())
        || freeMachine.type().fetchTime(spec.imageGb()).compareTo(startTarget.get()) <= 0) {
      return Optional.empty();
    }
    SearchKey search = searchKey(job, Optional.of(spec.image()));
    if (infeasibleSearches.contains(search)) {
      return Optional.empty();
    }
    Optional<Assignment> assignment = preempt(job, Optional.of(spec.image()), allowed);
    if (assignment.isEmpty()) {
      infeasibleSearches.add(search);
    }
    return assignment;
  }

  /** Finds victims, only on machines that have the image if one is given. */
  private Optional<Assignment> preempt(
      Job job, Optional<String> image, Predicate<Machine> allowed) {
    boolean guaranteed = capacity.quotaUsage().isWithinGuarantee(job.spec());
    Assignment best = null;
    RandomizedMachineScan scan = machines.get();
    int start = scan.randomStart();
    int found = 0;
    // The search stops after a few candidates, like the scan for feasible machines: in a large
    // fleet, a full scan would cost more than better victims save. Ending a gang stops all of its
    // tasks, so the search is longer in that case.
    int searchLimit = context.tuning().sampleSize();
    for (int i = 0; i < scan.size() && found < searchLimit; i++) {
      Machine machine = scan.get(start, i);
      if (!couldFreeCapacityOn(machine, job, image, allowed, guaranteed)) {
        continue;
      }
      List<TaskAttempt> victims = victimSelector.victimsOn(machine, job, guaranteed);
      if (victims.isEmpty()) {
        continue;
      }
      Assignment assignment = new Assignment(machine, victims);
      boolean endsGang = assignment.endsGang();
      if (image.isPresent() && endsGang) {
        continue;
      }
      found++;
      if (best == null || isBetter(assignment, best, job)) {
        best = assignment;
        searchLimit = context.tuning().sampleSize() * (endsGang ? GANG_VICTIM_SEARCH_FACTOR : 1);
      }
    }
    if (best != null) {
      capacity.reserve(job, best);
    }
    return Optional.ofNullable(best);
  }

  /**
   * Returns whether preemption on the machine could free enough capacity, without examining each of
   * its tasks.
   */
  private boolean couldFreeCapacityOn(
      Machine machine,
      Job job,
      Optional<String> image,
      Predicate<Machine> allowed,
      boolean guaranteed) {
    JobSpec spec = job.spec();
    return PlacementConstraints.allowsMachine(spec, machine)
        && allowed.test(machine)
        && (image.isEmpty() || canStartImmediately(machine, image.get()))
        && (guaranteed || machine.availableWithPreemption(spec.priority()).fits(spec));
  }

  /** Returns whether the machine has the image and can execute a stop command immediately. */
  private boolean canStartImmediately(Machine machine, String image) {
    return machine.images().contains(image)
        && machine.reachability().lastReachableAt().isAfter(context.reachableSince())
        && !context.now().isBefore(machine.reachability().directCommandsAfter());
  }

  /**
   * Prefers the assignment that ends fewer tasks, then the one with lower-priority victims, then a
   * machine that has the image. Otherwise it prefers victims of the job that is last in the queue
   * order. A job finishes with its last task, so stopping one task of each of many jobs would delay
   * all of them, while stopping many tasks of one job delays only that job.
   */
  private boolean isBetter(Assignment assignment, Assignment best, Job job) {
    int tasksLost = assignment.tasksLost();
    int bestTasksLost = best.tasksLost();
    if (tasksLost != bestTasksLost) {
      return tasksLost < bestTasksLost;
    }
    Priority highest = highestPriority(assignment.victims());
    Priority bestHighest = highestPriority(best.victims());
    if (highest != bestHighest) {
      return highest.compareTo(bestHighest) < 0;
    }
    boolean cached = assignment.machine().images().contains(job.spec().image());
    if (cached != best.machine().images().contains(job.spec().image())) {
      return cached;
    }
    Job first = firstInQueue(assignment.victims());
    return context.queueOrder().compare(first, firstInQueue(best.victims())) > 0;
  }

  /** Returns the first job in the queue order among the jobs of the victims. */
  private Job firstInQueue(List<TaskAttempt> victims) {
    return victims.stream().map(victim -> victim.job()).min(context.queueOrder()).orElseThrow();
  }

  private static Priority highestPriority(List<TaskAttempt> victims) {
    return victims.stream()
        .map(victim -> victim.job().spec().priority())
        .max(Comparator.naturalOrder())
        .orElse(Priority.IDLE);
  }
}
