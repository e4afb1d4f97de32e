package io.pearscale.scheduler.placement;

import io.pearscale.protocol.JobSpec;
import io.pearscale.protocol.Priority;
import io.pearscale.scheduler.model.EquivalenceClass;
import io.pearscale.scheduler.model.Job;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.Resources;
import io.pearscale.scheduler.model.TaskAttempt;
import io.pearscale.scheduler.placement.Placer.Assignment;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Looks for the fewest, lowest tasks that have to leave for another one. What found nobody to evict
 * is not looked for again in the pass.
 */
final class PreemptionPlanner {
  /** So many times as many machines are met while the best victims would end a gang that runs. */
  private static final int SEARCH_TO_SPARE_GANGS = 4;

  /** Lowest first; among equals the youngest, which has the least to lose. */
  private static final Comparator<TaskAttempt> LOWEST_AND_YOUNGEST =
      Comparator.comparing((TaskAttempt attempt) -> attempt.job().spec().priority())
          .thenComparing(attempt -> attempt.stageSince(), Comparator.reverseOrder());

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

  /** Books the room of victims on any machine that is allowed. */
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
    Optional<Assignment> choice = preempt(job, Optional.of(spec.image()), allowed);
    if (choice.isEmpty()) {
      futileSearches.add(search);
    }
    return choice;
  }

  /** Looks for victims, on machines that have the image if one is given. */
  private Optional<Assignment> preempt(
      Job job, Optional<String> image, Predicate<Machine> allowed) {
    boolean guaranteed = capacity.quotaUsage().isWithinGuarantee(job.spec());
    Assignment best = null;
    RandomizedMachineScan scan = machines.get();
    int start = scan.randomStart();
    int met = 0;
    // As with room, the best of the first that will do: at size, seeing all would cost more than a
    // better victim saves. Ending a gang costs all of its tasks, so then the search is longer.
    int most = context.tuning().sampleSize();
    for (int i = 0; i < scan.size() && met < most; i++) {
      Machine machine = scan.get(start, i);
      if (!job.spec().allows(machine.type(), machine.zone(), machine.spot())
          || !allowed.test(machine)
          || (image.isPresent() && !canStartAtOnce(machine, image.get()))
          || (!guaranteed && !machine.availableAbove(job.spec().priority()).fits(job.spec()))) {
        continue;
      }
      List<TaskAttempt> victims = victimsOn(machine, job, guaranteed);
      boolean endsGang = tasksLost(victims) > victims.size();
      if (victims.isEmpty() || (image.isPresent() && endsGang)) {
        continue;
      }
      met++;
      if (best == null || isBetter(victims, machine, best, job)) {
        best = new Assignment(machine, victims);
        most = context.tuning().sampleSize() * (endsGang ? SEARCH_TO_SPARE_GANGS : 1);
      }
    }
    if (best != null) {
      capacity.reserve(job, best);
    }
    return Optional.ofNullable(best);
  }

  /** Whether the machine has the image, and a kill would be carried out there at once. */
  private boolean canStartAtOnce(Machine machine, String image) {
    return machine.images().contains(image)
        && machine.reachability().lastReachableAt().isAfter(context.reachableSince())
        && !context.now().isBefore(machine.reachability().directCommandsAfter());
  }

  /** Who would have to leave the machine; nobody if that would not make room enough. */
  private List<TaskAttempt> victimsOn(Machine machine, Job job, boolean guaranteed) {
    List<TaskAttempt> candidates = new ArrayList<>();
    for (TaskAttempt attempt : machine.attempts().values()) {
      if (!attempt.stopping()
          && !capacity.isVictim(attempt)
          && !isSheltered(attempt)
          && mayPreempt(job, attempt, guaranteed)) {
        candidates.add(attempt);
      }
    }
    candidates.sort(LOWEST_AND_YOUNGEST);
    Resources trial = capacity.availableOn(machine).copy();
    List<TaskAttempt> victims = new ArrayList<>();
    for (TaskAttempt attempt : candidates) {
      if (trial.fits(job.spec())) {
        break;
      }
      trial.add(attempt.job().spec());
      victims.add(attempt);
    }
    return trial.fits(job.spec()) ? victims : List.of();
  }

  /**
   * Whether a task is the first of a batch job that has waited for long: stopped before it counts
   * as a start, the job would go on waiting, and the youngest are the first to be stopped.
   */
  private boolean isSheltered(TaskAttempt attempt) {
    Job job = attempt.job();
    return !job.spec().isService()
        && !job.hasStarted()
        && !job.hasDoneTasks()
        && (job.spec().isGang() || job.attempts().size() == 1)
        && job.submittedAt().isBefore(context.now().minus(Job.LONG_WAIT))
        && attempt.runningTime(context.now()).compareTo(Job.MIN_RUN_TO_COUNT_AS_START) < 0;
  }

  private boolean mayPreempt(Job job, TaskAttempt victim, boolean guaranteed) {
    JobSpec spec = victim.job().spec();
    if (spec.priority().compareTo(job.spec().priority()) < 0) {
      return true;
    }
    if (job.spec().priority() == Priority.CRITICAL && spec.priority() == Priority.CRITICAL) {
      return false; // top-band tasks do not evict one another
    }
    return guaranteed
        && !spec.team().equals(job.spec().team())
        && capacity.quotaUsage().exceedsGuarantee(spec.team());
  }

  /**
   * Fewest victims, then lowest. Among equals those of the job whose turn comes last: a job is over
   * with its last task, so one task stopped of each of many jobs makes all of them late, where many
   * tasks of one job make one late.
   */
  private boolean isBetter(List<TaskAttempt> victims, Machine machine, Assignment best, Job job) {
    int losses = tasksLost(victims);
    int bestLosses = tasksLost(best.victims());
    if (losses != bestLosses) {
      return losses < bestLosses;
    }
    Priority highest = highestPriority(victims);
    Priority bestHighest = highestPriority(best.victims());
    if (highest != bestHighest) {
      return highest.compareTo(bestHighest) < 0;
    }
    boolean cached = machine.images().contains(job.spec().image());
    if (cached != best.machine().images().contains(job.spec().image())) {
      return cached;
    }
    return context.queueOrder().compare(firstInQueue(victims), firstInQueue(best.victims())) > 0;
  }

  /** How many tasks end with the victims: a gang that runs loses all of its tasks with one. */
  static int tasksLost(List<TaskAttempt> victims) {
    int losses = 0;
    for (TaskAttempt victim : victims) {
      boolean ofRunningGang =
          victim.job().spec().isGang() && victim.stage().compareTo(TaskAttempt.Stage.RUNNING) >= 0;
      losses += ofRunningGang ? victim.job().attempts().size() : 1;
    }
    return losses;
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
