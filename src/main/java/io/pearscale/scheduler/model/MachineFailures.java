package io.pearscale.scheduler.model;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Tasks that failed on one machine, whether they point at the machine, and what follows.
 *
 * <p>Owned by its {@link Machine}; written by fault attribution.
 */
public final class MachineFailures {
  /** Of jobs that fail wherever they are tried, so many at once point at the machine. */
  private static final int MIN_FAILING_JOBS_TO_BLAME_MACHINE = 5;

  /** Failures since a task was last done here, by the job's history. */
  private final Map<JobFailureHistory, Integer> failuresByJob = new HashMap<>();

  private boolean quarantined;
  private Instant avoidUntil = Instant.MIN;

  /** Whether the machine is taken to be faulty: it gets no tasks and is given back. */
  public boolean isQuarantined() {
    return quarantined;
  }

  /** The machine gets no tasks before; MIN where nothing stands against them. */
  public Instant avoidUntil() {
    return avoidUntil;
  }

  /** A task of the job failed here. */
  public void recordFailure(JobFailureHistory job) {
    failuresByJob.merge(job, 1, Integer::sum);
  }

  /** A task was done here: what failed before did not fail for the machine. */
  public void recordSuccess() {
    failuresByJob.clear();
  }

  /** The machine is taken to be faulty. */
  public void quarantine() {
    quarantined = true;
  }

  /** The machine gets no tasks before that time. */
  public void avoidUntil(Instant time) {
    avoidUntil = time;
  }

  /** How often tasks failed here, apart from those of jobs that fail everywhere. */
  public int count() {
    int count = 0;
    for (Map.Entry<JobFailureHistory, Integer> failure : failuresByJob.entrySet()) {
      count += failure.getKey().failsEverywhere() ? 0 : failure.getValue();
    }
    return count;
  }

  /**
   * Whether what failed here points at the machine: twice a job that has succeeded, or two jobs of
   * which it is not known that they fail everywhere. Of those that do, it takes many at once.
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
