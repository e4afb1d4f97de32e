package io.pearscale.scheduler.placement;

import io.pearscale.protocol.JobSpec;
import io.pearscale.protocol.Priority;
import io.pearscale.scheduler.model.Job;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.Resources;
import io.pearscale.scheduler.model.TaskAttempt;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Selects the attempts to preempt on a machine, and excludes those that must not be stopped. */
final class VictimSelector {
  /** Lowest priority first, then the youngest attempt, which loses the least work. */
  private static final Comparator<TaskAttempt> LOWEST_PRIORITY_THEN_YOUNGEST =
      Comparator.comparing((TaskAttempt attempt) -> attempt.spec().priority())
          .thenComparing(TaskAttempt::stageSince, Comparator.reverseOrder());

  private final PassContext context;
  private final PassCapacity capacity;

  VictimSelector(PassContext context, PassCapacity capacity) {
    this.context = context;
    this.capacity = capacity;
  }

  /**
   * Returns the attempts to stop on the machine for a task of the job; empty if stopping all
   * candidates would not free enough capacity.
   *
   * @param guaranteed whether the task is within the guaranteed quota of its team
   */
  List<TaskAttempt> victimsOn(Machine machine, Job job, boolean guaranteed) {
    List<TaskAttempt> candidates = new ArrayList<>();
    for (TaskAttempt attempt : machine.attempts().values()) {
      if (!attempt.stopping()
          && !capacity.isVictim(attempt)
          && !isProtected(attempt)
          && mayPreempt(job.spec(), attempt.spec(), guaranteed)) {
        candidates.add(attempt);
      }
    }
    candidates.sort(LOWEST_PRIORITY_THEN_YOUNGEST);
    Resources availableAfterPreemption = capacity.availableOn(machine).copy();
    List<TaskAttempt> victims = new ArrayList<>();
    for (TaskAttempt attempt : candidates) {
      if (availableAfterPreemption.fits(job.spec())) {
        break;
      }
      availableAfterPreemption.add(attempt.spec());
      victims.add(attempt);
    }
    return availableAfterPreemption.fits(job.spec()) ? victims : List.of();
  }

  /**
   * Returns whether the attempt is the first of a batch job that has waited for a long time. Such
   * an attempt is protected until it has run long enough to count as a start. Otherwise the job
   * could keep waiting, since the youngest attempts are preempted first.
   */
  private boolean isProtected(TaskAttempt attempt) {
    Job job = attempt.job();
    return !job.spec().isService()
        && !job.hasStarted()
        && !job.hasDoneTasks()
        && (job.spec().isGang() || job.attempts().size() == 1)
        && job.submittedAt().isBefore(context.now().minus(Job.STARVATION_THRESHOLD))
        && attempt.runningTime(context.now()).compareTo(Job.MIN_RUN_TO_COUNT_AS_START) < 0;
  }

  private boolean mayPreempt(JobSpec preemptor, JobSpec victim, boolean guaranteed) {
    if (victim.priority().compareTo(preemptor.priority()) < 0) {
      return true;
    }
    if (preemptor.priority() == Priority.CRITICAL && victim.priority() == Priority.CRITICAL) {
      return false; // Tasks of the highest priority do not preempt each other.
    }
    return guaranteed
        && !victim.team().equals(preemptor.team())
        && capacity.quotaUsage().exceedsGuarantee(victim.team());
  }
}
