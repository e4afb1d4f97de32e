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
 * Looks for the fewest, lowest tasks that have to leave for another one. What found nobody to
 * preempt is not looked for again in the pass.
 */
final class PreemptionPlanner {
  /** So many times as many machines are met while the best victims would end a gang that runs. */
  private static final int SEARCH_TO_SPARE_GANGS = 4;

  /** Tasks that find victims in the same places; the zones are those that a spread leaves open. */
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
  private final Set<SearchKey> futileSearches = new HashSet<>();

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
        zoneCapacity.zonesLeft(job),
        image);
  }

  /** Whether such tasks were found to have no victims anywhere. */
  boolean isFutile(Job job) {
    return futileSearches.contains(searchKey(job, Optional.empty()));
  }

  /** Such tasks have no victims anywhere. */
  void markFutile(Job job) {
    futileSearches.add(searchKey(job, Optional.empty()));
  }

  /** Reserves the capacity of victims on any machine that is allowed. */
  Optional<Assignment> preempt(Job job, Predicate<Machine> allowed) {
    return preempt(job, Optional.empty(), allowed);
  }

  /**
   * A place without victims does not win if the image would have to be fetched there for longer
   * than the class is expected to start in, and another machine has it: a few low tasks are done
   * again, where else the start would be late for certain. A gang that runs is not ended for that.
   *
   * @param free the best place without victims
   */
  Optional<Assignment> preemptForImage(Job job, Machine free, Predicate<Machine> allowed) {
    JobSpec spec = job.spec();
    Optional<Duration> within = context.startObjective().apply(spec);
    if (within.isEmpty()
        || free.images().contains(spec.image())
        || free.type().fetchTime(spec.imageGb()).compareTo(within.get()) <= 0) {
      return Optional.empty();
    }
    SearchKey search = searchKey(job, Optional.of(spec.image()));
    if (futileSearches.contains(search)) {
      return Optional.empty();
    }
    Optional<Assignment> assignment = preempt(job, Optional.of(spec.image()), allowed);
    if (assignment.isEmpty()) {
      futileSearches.add(search);
    }
    return assignment;
  }

  /** Looks for victims, on machines that have the image if one is given. */
  private Optional<Assignment> preempt(
      Job job, Optional<String> image, Predicate<Machine> allowed) {
    boolean guaranteed = capacity.quotaUsage().isWithinGuarantee(job.spec());
    Assignment best = null;
    RandomizedMachineScan scan = machines.get();
    int start = scan.randomStart();
    int found = 0;
    // As with machines that have capacity, the best of the first that will do: at size, seeing all
    // would cost more than a better victim saves. Ending a gang costs all of its tasks, so then the
    // search is longer.
    int enough = context.tuning().sampleSize();
    for (int i = 0; i < scan.size() && found < enough; i++) {
      Machine machine = scan.get(start, i);
      if (!mayMakeRoomOn(machine, job, image, allowed, guaranteed)) {
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
        enough = context.tuning().sampleSize() * (endsGang ? SEARCH_TO_SPARE_GANGS : 1);
      }
    }
    if (best != null) {
      capacity.reserve(job, best);
    }
    return Optional.ofNullable(best);
  }

  /** Whether stopping others on the machine could help at all, without looking at each of them. */
  private boolean mayMakeRoomOn(
      Machine machine,
      Job job,
      Optional<String> image,
      Predicate<Machine> allowed,
      boolean guaranteed) {
    JobSpec spec = job.spec();
    return PlacementConstraints.allowsKind(spec, machine)
        && allowed.test(machine)
        && (image.isEmpty() || canStartAtOnce(machine, image.get()))
        && (guaranteed || machine.availableWithPreemption(spec.priority()).fits(spec));
  }

  /** Whether the machine has the image, and a stop would be carried out there at once. */
  private boolean canStartAtOnce(Machine machine, String image) {
    return machine.images().contains(image)
        && machine.reachability().lastReachableAt().isAfter(context.reachableSince())
        && !context.now().isBefore(machine.reachability().directCommandsAfter());
  }

  /**
   * Fewest victims, then lowest. Among equals those of the job whose turn comes last: a job is over
   * with its last task, so one task stopped of each of many jobs makes all of them late, where many
   * tasks of one job make one late.
   */
  private boolean isBetter(Assignment assignment, Assignment best, Job job) {
    int lost = assignment.tasksLost();
    int bestLost = best.tasksLost();
    if (lost != bestLost) {
      return lost < bestLost;
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

  /** Of the jobs that would lose a task the one whose turn comes first. */
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
