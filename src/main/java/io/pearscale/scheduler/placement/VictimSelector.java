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

/** Says which attempts would have to leave a machine for a task, and which must not be stopped. */
final class VictimSelector {
  /** Lowest first; among equals the youngest, which has the least to lose. */
  private static final Comparator<TaskAttempt> LOWEST_AND_YOUNGEST =
      Comparator.comparing((TaskAttempt attempt) -> attempt.spec().priority())
          .thenComparing(TaskAttempt::stageSince, Comparator.reverseOrder());

  private final PassContext context;
  private final PassCapacity capacity;

  VictimSelector(PassContext context, PassCapacity capacity) {
    this.context = context;
    this.capacity = capacity;
  }

  /**
   * Who would have to leave the machine; nobody if that would not free enough capacity.
   *
   * @param guaranteed whether the task is within what its team is guaranteed
   */
  List<TaskAttempt> victimsOn(Machine machine, Job job, boolean guaranteed) {
    List<TaskAttempt> candidates = new ArrayList<>();
    for (TaskAttempt attempt : machine.attempts().values()) {
      if (!attempt.stopping()
          && !capacity.isVictim(attempt)
          && !isSheltered(attempt)
          && mayPreempt(job.spec(), attempt.spec(), guaranteed)) {
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
      trial.add(attempt.spec());
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
        && job.submittedAt().isBefore(context.now().minus(Job.STARVATION_THRESHOLD))
        && attempt.runningTime(context.now()).compareTo(Job.MIN_RUN_TO_COUNT_AS_START) < 0;
  }

  private boolean mayPreempt(JobSpec preemptor, JobSpec victim, boolean guaranteed) {
    if (victim.priority().compareTo(preemptor.priority()) < 0) {
      return true;
    }
    if (preemptor.priority() == Priority.CRITICAL && victim.priority() == Priority.CRITICAL) {
      return false; // top-band tasks do not preempt one another
    }
    return guaranteed
        && !victim.team().equals(preemptor.team())
        && capacity.quotaUsage().exceedsGuarantee(victim.team());
  }
}
