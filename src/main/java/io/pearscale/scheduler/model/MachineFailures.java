package io.pearscale.scheduler.model;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Task failures on one machine, whether they indicate that the machine is faulty, and the resulting
 * restrictions.
 *
 * <p>Owned by its {@link Machine}; written by fault attribution.
 */
public final class MachineFailures {
  /**
   * The number of jobs with failures on the machine that indicates a faulty machine, even if those
   * jobs fail on every machine.
   */
  private static final int MIN_FAILING_JOBS_TO_BLAME_MACHINE = 5;

  /** Failures since a task last completed on this machine, by the failure history of the job. */
  private final Map<JobFailureHistory, Integer> failuresByJob = new HashMap<>();

  private boolean quarantined;
  private Instant avoidUntil = Instant.MIN;

  /** Returns whether the machine is considered faulty: it receives no tasks and is released. */
  public boolean isQuarantined() {
    return quarantined;
  }

  /**
   * Returns the time before which the machine receives no tasks, or {@link Instant#MIN} if there is
   * no such restriction.
   */
  public Instant avoidUntil() {
    return avoidUntil;
  }

  /** Records that a task of the job failed on this machine. */
  public void recordFailure(JobFailureHistory job) {
    failuresByJob.merge(job, 1, Integer::sum);
  }

  /**
   * Records that a task completed on this machine, which shows that the machine did not cause the
   * earlier failures.
   */
  public void recordSuccess() {
    failuresByJob.clear();
  }

  /** Marks the machine as faulty. */
  public void quarantine() {
    quarantined = true;
  }

  /** Sets the time before which the machine receives no tasks. */
  public void avoidUntil(Instant time) {
    avoidUntil = time;
  }

  /** Returns the number of task failures, excluding those of jobs that fail on every machine. */
  public int count() {
    int count = 0;
    for (Map.Entry<JobFailureHistory, Integer> failure : failuresByJob.entrySet()) {
      count += failure.getKey().failsEverywhere() ? 0 : failure.getValue();
    }
    return count;
  }

  /**
   * Returns whether the failures indicate a faulty machine. That is the case after two failures of
   * jobs that have succeeded before, after failures of two jobs that are not known to fail on every
   * machine, or after failures of many jobs of any kind.
   */
  public boolean indicateFaultyMachine() {
    int failuresOfProvenJobs = 0;
    int suspectJobs = 0;
    for (Map.Entry<JobFailureHistory, Integer> failure : failuresByJob.entrySet()) {
      failuresOfProvenJobs += failure.getKey().hasSucceeded() ? failure.getValue() : 0;
      suspectJobs += failure.getKey().failsEverywhere() ? 0 : 1;
    }
    return failuresOfProvenJobs >= 2
        || suspectJobs >= 2
        || failuresByJob.size() >= MIN_FAILING_JOBS_TO_BLAME_MACHINE;
  }
}
