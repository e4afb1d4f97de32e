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
 * The order in which a pass decides jobs: by priority, then by what can still be over in time, then
 * by when it is due.
 */
public final class QueueOrder {
  /** An image may have to be fetched before a task runs. */
  private static final Duration FETCH_ALLOWANCE = Duration.ofSeconds(6);

  /** A job of which nothing is expected comes after those that are due within this time. */
  private static final Duration DEFAULT_COMPLETION_OBJECTIVE = Duration.ofHours(1);

  private final List<ServiceLevelObjective> objectives;
  private final JobClasses classes;

  /** Creates the order for the given service-level objectives. */
  public QueueOrder(List<ServiceLevelObjective> objectives, JobClasses classes) {
    this.objectives = objectives;
    this.classes = classes;
  }

  /** When a job should be over: its own deadline, or what its class is expected to keep. */
  private Instant dueAt(Job job) {
    if (job.spec().deadline().isPresent()) {
      return job.submittedAt().plus(job.spec().deadline().get());
    }
    Duration within = completionObjective(job).orElse(DEFAULT_COMPLETION_OBJECTIVE);
    if (job.spec().isGang()) {
      // It can't begin in part, so a time to start says when it would be over.
      Duration ifStarted =
          classes
              .startObjective(job.spec())
              .map(job.spec().estimatedDuration()::plus)
              .orElse(within);
      within = ifStarted.compareTo(within) < 0 ? ifStarted : within;
    }
    return job.submittedAt().plus(within);
  }

  private Optional<Duration> completionObjective(Job job) {
    return objectives.stream()
        .filter(o -> o.kind().equals("finished") && o.jobClass().equals(job.spec().jobClass()))
        .map(ServiceLevelObjective::target)
        .findFirst();
  }

  /**
   * Whose turn it is, among jobs of one priority: first what can still be over in time, then what
   * is due first.
   */
  record Rank(int lateness, Instant due) implements Comparable<Rank> {
    @Override
    public int compareTo(Rank other) {
      int byLateness = Integer.compare(lateness, other.lateness);
      return byLateness != 0 ? byLateness : due.compareTo(other.due);
    }
  }

  /** The jobs' turns as of now, each worked out when it is first asked for. */
  public Function<Job, Rank> ranks(Instant now) {
    Map<Job, Rank> known = new HashMap<>();
    return job -> known.computeIfAbsent(job, k -> rank(k, now));
  }

  private Rank rank(Job job, Instant now) {
    Instant due = dueAt(job);
    Instant end = now.plus(job.spec().estimatedDuration());
    Duration allowed = Duration.between(job.submittedAt(), due);
    int lateness =
        job.spec().isService() || !end.isAfter(due)
            ? 0
            : end.isAfter(job.submittedAt().plus(allowed.multipliedBy(3).dividedBy(2))) ? 2 : 1;
    return new Rank(
        lateness, job.spec().isService() ? job.submittedAt() : dueAtByRemainingWork(job, due));
  }

  /** Waiting jobs, in the order in which they are decided. */
  public List<Job> sorted(Collection<Job> queue, Function<Job, Rank> ranks, Instant now) {
    record Ranked(Job job, int band, Rank turn) {}
    List<Ranked> ranked = new ArrayList<>();
    for (Job j : queue) {
      if (!now.isBefore(j.failures().retryNotBefore())
          && !(j.failures().failsEverywhere() && !j.attempts().isEmpty())) {
        Rank rank = ranks.apply(j);
        boolean overdue = isFirstStartOverdue(j, now);
        // In the top band nothing goes before the order of the design; below it, what has waited
        // for long without a single task running gets one of them started first.
        int band = j.spec().priority() == Priority.CRITICAL ? 0 : overdue ? 1 : 2;
        ranked.add(new Ranked(j, band, overdue ? new Rank(0, rank.due) : rank));
      }
    }
    ranked.sort(
        Comparator.comparingInt((Ranked r) -> r.band)
            .thenComparing(r -> r.job.spec().priority(), Comparator.reverseOrder())
            .thenComparing(r -> r.turn)
            .thenComparing(r -> r.job.spec().id()));
    List<Job> result = new ArrayList<>();
    ranked.forEach(r -> result.add(r.job));
    return result;
  }

  /** Whether no task of a batch job has begun in a time in which its users expect that. */
  static boolean isFirstStartOverdue(Job job, Instant now) {
    return !job.spec().isService()
        && !job.hasStarted()
        && !job.hasDoneTasks()
        && now.isAfter(job.submittedAt().plus(Job.STARVATION_THRESHOLD))
        && job.attempts().isEmpty();
  }

  /**
   * When a job's turn is, among others like it. Jobs that are expected to be over within a time
   * that does not depend on their size come the earlier the less is left of them: so more of them
   * are over in time than if each got a part. A large one comes later, but its turn comes.
   */
  private Instant dueAtByRemainingWork(Job job, Instant due) {
    if (job.spec().deadline().isPresent()
        || job.spec().isService()
        || !classes.hasKnownSizes(job.spec().jobClass())) {
      return due;
    }
    Duration allowed = Duration.between(job.submittedAt(), due);
    double left = job.spec().tasks() - job.doneCount();
    double part =
        Math.min(1, 0.2 + left / Math.max(1, classes.largeJobTasks(job.spec().jobClass())));
    return job.submittedAt().plusMillis((long) (allowed.toMillis() * part));
  }

  /**
   * Whether the job can't wait for capacity to become free by itself. Work with a deadline stops
   * others only when waiting longer would put the deadline at risk, since what it stops is done
   * again.
   */
  static boolean mayPreempt(Job job, Instant now) {
    if (job.spec().isService() || job.spec().deadline().isEmpty()) {
      return true;
    }
    // Estimates are often wrong by half, and an image may have to be fetched first.
    Duration needed =
        job.spec().estimatedDuration().multipliedBy(3).dividedBy(2).plus(FETCH_ALLOWANCE);
    return now.plus(needed).isAfter(job.submittedAt().plus(job.spec().deadline().get()));
  }
}
