package io.pearscale.scheduler;

import io.pearscale.protocol.JobSpec;
import io.pearscale.protocol.Priority;
import io.pearscale.scheduler.Machine.Resources;
import io.pearscale.scheduler.Placer.Choice;
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
      Comparator.comparing((TaskAttempt attempt) -> attempt.job.spec.priority())
          .thenComparing(attempt -> attempt.stageSince, Comparator.reverseOrder());

  /** Tasks that find victims in the same places; the zones are those that a spread leaves open. */
  private record Search(
      EquivalenceClass shape,
      String team,
      boolean service,
      List<String> zones,
      Optional<String> image) {}

  private final PlacementInput input;
  private final PassCapacity rooms;
  private final ZoneCapacity zones;
  private final Supplier<RandomizedMachineScan> order;
  private final Set<Search> inVain = new HashSet<>();

  PreemptionPlanner(
      PlacementInput input,
      PassCapacity rooms,
      ZoneCapacity zones,
      Supplier<RandomizedMachineScan> order) {
    this.input = input;
    this.rooms = rooms;
    this.zones = zones;
    this.order = order;
  }

  private Search search(Job job, Optional<String> image) {
    JobSpec spec = job.spec;
    return new Search(
        EquivalenceClass.of(spec), spec.team(), spec.isService(), zones.left(job), image);
  }

  /** Whether such tasks were found to have no victims anywhere. */
  boolean isInVain(Job job) {
    return inVain.contains(search(job, Optional.empty()));
  }

  /** Such tasks have no victims anywhere. */
  void noteInVain(Job job) {
    inVain.add(search(job, Optional.empty()));
  }

  /** Books the room of victims on any machine that is allowed. */
  Optional<Choice> evict(Job job, Predicate<Machine> allowed) {
    return evict(job, Optional.empty(), allowed);
  }

  /**
   * A place without victims does not win if the image would have to be fetched there for longer
   * than the class is expected to start in, and another machine has it: a few low tasks are done
   * again, where else the start would be late for certain. A gang that runs is not ended for that.
   *
   * @param free the best place without victims
   */
  Optional<Choice> evictForImage(Job job, Machine free, Predicate<Machine> allowed) {
    JobSpec spec = job.spec;
    Optional<Duration> within = input.startWithin().apply(spec);
    if (within.isEmpty()
        || free.cachedImages.containsKey(spec.image())
        || free.type.fetchTime(spec.imageGb()).compareTo(within.get()) <= 0) {
      return Optional.empty();
    }
    Search search = search(job, Optional.of(spec.image()));
    if (inVain.contains(search)) {
      return Optional.empty();
    }
    Optional<Choice> choice = evict(job, Optional.of(spec.image()), allowed);
    if (choice.isEmpty()) {
      inVain.add(search);
    }
    return choice;
  }

  /** Looks for victims, on machines that have the image if one is given. */
  private Optional<Choice> evict(Job job, Optional<String> image, Predicate<Machine> allowed) {
    boolean guaranteed = rooms.use().isWithinGuarantee(job.spec);
    Choice best = null;
    RandomizedMachineScan machines = order.get();
    int start = machines.start();
    int met = 0;
    // As with room, the best of the first that will do: at size, seeing all would cost more than a
    // better victim saves. Ending a gang costs all of its tasks, so then the search is longer.
    int most = input.tuning().sampleSize();
    for (int i = 0; i < machines.size() && met < most; i++) {
      Machine machine = machines.get(start, i);
      if (!job.spec.allows(machine.type, machine.zone, machine.spot)
          || !allowed.test(machine)
          || (image.isPresent() && !canStartAtOnce(machine, image.get()))
          || (!guaranteed && !machine.availableAbove(job.spec.priority()).fits(job))) {
        continue;
      }
      List<TaskAttempt> victims = victimsOn(machine, job, guaranteed);
      boolean endsGang = losses(victims) > victims.size();
      if (victims.isEmpty() || (image.isPresent() && endsGang)) {
        continue;
      }
      met++;
      if (best == null || better(victims, machine, best, job)) {
        best = new Choice(machine, victims);
        most = input.tuning().sampleSize() * (endsGang ? SEARCH_TO_SPARE_GANGS : 1);
      }
    }
    if (best != null) {
      rooms.book(job, best);
    }
    return Optional.ofNullable(best);
  }

  /** Whether the machine has the image, and a kill would be carried out there at once. */
  private boolean canStartAtOnce(Machine machine, String image) {
    return machine.cachedImages.containsKey(image)
        && machine.lastReachableAt.isAfter(input.heardSince())
        && !input.now().isBefore(machine.directCommandsAfter);
  }

  /** Who would have to leave the machine; nobody if that would not make room enough. */
  private List<TaskAttempt> victimsOn(Machine machine, Job job, boolean guaranteed) {
    List<TaskAttempt> candidates = new ArrayList<>();
    for (TaskAttempt attempt : machine.attempts.values()) {
      if (!attempt.stopping
          && !rooms.isVictim(attempt)
          && !isSheltered(attempt)
          && mayEvict(job, attempt, guaranteed)) {
        candidates.add(attempt);
      }
    }
    candidates.sort(LOWEST_AND_YOUNGEST);
    Resources trial = rooms.of(machine).copy();
    List<TaskAttempt> victims = new ArrayList<>();
    for (TaskAttempt attempt : candidates) {
      if (trial.fits(job)) {
        break;
      }
      trial.add(attempt.job);
      victims.add(attempt);
    }
    return trial.fits(job) ? victims : List.of();
  }

  /**
   * Whether a task is the first of a batch job that has waited for long: stopped before it counts
   * as a start, the job would go on waiting, and the youngest are the first to be stopped.
   */
  private boolean isSheltered(TaskAttempt attempt) {
    Job job = attempt.job;
    return !job.spec.isService()
        && !job.hasStarted
        && job.doneTasks.isEmpty()
        && (job.spec.isGang() || job.attempts.size() == 1)
        && job.submittedAt.isBefore(input.now().minus(Job.LONG_WAIT))
        && attempt.runningTime(input.now()).compareTo(Job.MIN_RUN_TO_COUNT_AS_START) < 0;
  }

  private boolean mayEvict(Job job, TaskAttempt victim, boolean guaranteed) {
    JobSpec spec = victim.job.spec;
    if (spec.priority().compareTo(job.spec.priority()) < 0) {
      return true;
    }
    if (job.spec.priority() == Priority.CRITICAL && spec.priority() == Priority.CRITICAL) {
      return false; // top-band tasks do not evict one another
    }
    return guaranteed
        && !spec.team().equals(job.spec.team())
        && rooms.use().exceedsGuarantee(spec.team());
  }

  /**
   * Fewest victims, then lowest. Among equals those of the job whose turn comes last: a job is over
   * with its last task, so one task stopped of each of many jobs makes all of them late, where many
   * tasks of one job make one late.
   */
  private boolean better(List<TaskAttempt> victims, Machine machine, Choice best, Job job) {
    int losses = losses(victims);
    int bestLosses = losses(best.victims());
    if (losses != bestLosses) {
      return losses < bestLosses;
    }
    Priority highest = highest(victims);
    Priority bestHighest = highest(best.victims());
    if (highest != bestHighest) {
      return highest.compareTo(bestHighest) < 0;
    }
    boolean cached = machine.cachedImages.containsKey(job.spec.image());
    if (cached != best.machine().cachedImages.containsKey(job.spec.image())) {
      return cached;
    }
    return input.turns().compare(first(victims), first(best.victims())) > 0;
  }

  /** How many tasks end with the victims: a gang that runs loses all of its tasks with one. */
  static int losses(List<TaskAttempt> victims) {
    int losses = 0;
    for (TaskAttempt victim : victims) {
      boolean ofRunningGang =
          victim.job.spec.isGang() && victim.stage.compareTo(TaskAttempt.Stage.RUNNING) >= 0;
      losses += ofRunningGang ? victim.job.attempts.size() : 1;
    }
    return losses;
  }

  /** Of the jobs that would lose a task the one whose turn comes first. */
  private Job first(List<TaskAttempt> victims) {
    return victims.stream().map(victim -> victim.job).min(input.turns()).orElseThrow();
  }

  private static Priority highest(List<TaskAttempt> victims) {
    return victims.stream()
        .map(victim -> victim.job.spec.priority())
        .max(Comparator.naturalOrder())
        .orElse(Priority.IDLE);
  }
}
