package io.pearscale.scheduler.placement;

import io.pearscale.protocol.Priority;
import io.pearscale.protocol.Settings.ServiceLevelObjective;
import io.pearscale.scheduler.model.Job;
import io.pearscale.scheduler.model.JobClasses;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/**
 * The order in which a pass schedules jobs: by priority, then by whether a job can still finish in
 * time, then by due time.
 */
public final class QueueOrder {
  /** Time allowed for fetching an image before a task runs. */
  private static final Duration FETCH_ALLOWANCE = Duration.ofSeconds(6);

  /** Objective of jobs without one; they rank after jobs that are due within this time. */
  private static final Duration DEFAULT_COMPLETION_OBJECTIVE = Duration.ofHours(1);

  private final List<ServiceLevelObjective> objectives;
  private final JobClasses classes;

  /** Creates the order for the given service-level objectives. */
  public QueueOrder(List<ServiceLevelObjective> objectives, JobClasses classes) {
    this.objectives = objectives;
    this.classes = classes;
  }

  /** Returns when a job should finish, by its own deadline or by the objectives of its class. */
  private Instant dueAt(Job job) {
    if (job.spec().deadline().isPresent()) {
      return job.submittedAt().plus(job.spec().deadline().get());
    }
    Duration target = completionObjective(job).orElse(DEFAULT_COMPLETION_OBJECTIVE);
    if (job.spec().isGang()) {
      // All tasks of a gang start together, so a start objective also implies a completion time.
      Duration targetFromStart =
          classes
              .startObjective(job.spec())
              .map(job.spec().estimatedDuration()::plus)
              .orElse(target);
      target = targetFromStart.compareTo(target) < 0 ? targetFromStart : target;
    }
    return job.submittedAt().plus(target);
  }

  private Optional<Duration> completionObjective(Job job) {
    return objectives.stream()
        .filter(o -> o.kind().equals("finished") && o.jobClass().equals(job.spec().jobClass()))
        .map(ServiceLevelObjective::target)
        .findFirst();
  }

  /**
   * The rank of a job among jobs of the same priority.
   *
   * @param lateness 0 if the job can still finish in time, 1 if it will be late, 2 if it will be
   *     very late; lower values come first
   * @param due the time that orders jobs of the same lateness; the earliest comes first
   */
  record Rank(int lateness, Instant due) implements Comparable<Rank> {
    @Override
    public int compareTo(Rank other) {
      int byLateness = Integer.compare(lateness, other.lateness);
      return byLateness != 0 ? byLateness : due.compareTo(other.due);
    }
  }

  /** Returns a function that computes the current rank of a job and caches it. */
  public Function<Job, Rank> ranks(Instant now) {
    Map<Job, Rank> rankByJob = new HashMap<>();
    return job -> rankByJob.computeIfAbsent(job, k -> rank(k, now));
  }

  private Rank rank(Job job, Instant now) {
    Instant due = dueAt(job);
    Instant expectedEnd = now.plus(job.spec().estimatedDuration());
    Duration allowed = Duration.between(job.submittedAt(), due);
    int lateness =
        job.spec().isService() || !expectedEnd.isAfter(due)
            ? 0
            : expectedEnd.isAfter(job.submittedAt().plus(allowed.multipliedBy(3).dividedBy(2)))
                ? 2
                : 1;
    return new Rank(
        lateness, job.spec().isService() ? job.submittedAt() : dueAtByRemainingWork(job, due));
  }

  /** Returns the jobs of the queue that may be scheduled now, in scheduling order. */
  public List<Job> sorted(Collection<Job> queue, Function<Job, Rank> ranks, Instant now) {
    record Ranked(Job job, int tier, Rank rank) {}
    List<Ranked> ranked = new ArrayList<>();
    for (Job job : queue) {
      if (!now.isBefore(job.failures().retryNotBefore())
          && !(job.failures().failsEverywhere() && !job.attempts().isEmpty())) {
        Rank rank = ranks.apply(job);
        boolean overdue = isFirstStartOverdue(job, now);
        // Jobs of the highest priority always come first. Below them, a job that has waited for a
        // long time without a running task gets its first task before others. Within its tier, such
        // a job ranks as if it could still finish in time.
        int tier = job.spec().priority() == Priority.CRITICAL ? 0 : overdue ? 1 : 2;
        ranked.add(new Ranked(job, tier, overdue ? new Rank(0, rank.due) : rank));
      }
    }
    ranked.sort(
        Comparator.comparingInt((Ranked r) -> r.tier)
            .thenComparing(r -> r.job.spec().priority(), Comparator.reverseOrder())
            .thenComparing(r -> r.rank)
            .thenComparing(r -> r.job.spec().id()));
    List<Job> result = new ArrayList<>();
    ranked.forEach(r -> result.add(r.job));
    return result;
  }

  /**
   * Returns whether a batch job has waited longer than users expect for its first task to start.
   */
  static boolean isFirstStartOverdue(Job job, Instant now) {
    return !job.spec().isService()
        && !job.hasStarted()
        && !job.hasDoneTasks()
        && now.isAfter(job.submittedAt().plus(Job.STARVATION_THRESHOLD))
        && job.attempts().isEmpty();
  }

  /**
   * Returns the due time by which a job is ranked. If the completion objective does not depend on
   * the size of a job, jobs with less remaining work get an earlier time. More jobs then finish in
   * time than if all of them shared the capacity. A large job is ranked later, but its time is
   * bounded by its due time, so it is not starved.
   */
  private Instant dueAtByRemainingWork(Job job, Instant due) {
    if (job.spec().deadline().isPresent()
        || job.spec().isService()
        || !classes.hasKnownSizes(job.spec().jobClass())) {
      return due;
    }
    Duration allowed = Duration.between(job.submittedAt(), due);
    double remainingTasks = job.spec().tasks() - job.doneCount();
    double fraction =
        Math.min(
            1, 0.2 + remainingTasks / Math.max(1, classes.largeJobTasks(job.spec().jobClass())));
    return job.submittedAt().plusMillis((long) (allowed.toMillis() * fraction));
  }

  /**
   * Returns whether the job may preempt others instead of waiting for capacity. A batch job with a
   * deadline preempts only when further waiting would put the deadline at risk, since preempted
   * tasks have to be run again.
   */
  static boolean mayPreempt(Job job, Instant now) {
    if (job.spec().isService() || job.spec().deadline().isEmpty()) {
      return true;
    }
    // Estimates are often off by half, and an image may have to be fetched first.
    Duration needed =
        job.spec().estimatedDuration().multipliedBy(3).dividedBy(2).plus(FETCH_ALLOWANCE);
    return now.plus(needed).isAfter(job.submittedAt().plus(job.spec().deadline().get()));
  }
}
