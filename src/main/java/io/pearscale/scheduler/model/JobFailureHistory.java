package io.pearscale.scheduler.model;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.Set;

/**
 * Tracks on which machines a job's tasks failed and whether any task succeeded, to decide whether
 * the tasks can run at all. A job that was submitted with a mistake fails on healthy machines, and
 * those failures must not be attributed to the machines.
 *
 * <p>Owned by its {@link Job}; written by fault attribution.
 */
public final class JobFailureHistory {
  /**
   * The number of machines on which a job must fail before the failures are attributed to the job.
   */
  private static final int MIN_FAILED_MACHINES_TO_BLAME_JOB = 3;

  private static final Duration MAX_BACKOFF = Duration.ofSeconds(60);
  private static final long INITIAL_BACKOFF_S = 4;
  private static final int MAX_BACKOFF_DOUBLINGS = 4;

  private final boolean service;
  private final Set<String> machinesFailedOn = new HashSet<>();
  private Instant retryNotBefore = Instant.MIN;
  private int retries;
  private boolean taskSucceeded;
  private boolean hasStarted;

  JobFailureHistory(boolean service) {
    this.service = service;
  }

  /**
   * Returns whether the job's tasks are known to be able to run: a task is done, or a replica ran
   * long enough to count as started.
   */
  public boolean hasSucceeded() {
    return taskSucceeded || (service && hasStarted);
  }

  /**
   * Returns whether the job appears to have been submitted with a mistake: its tasks failed on
   * several machines, and none has succeeded.
   */
  public boolean failsEverywhere() {
    return !hasSucceeded() && machinesFailedOn.size() >= MIN_FAILED_MACHINES_TO_BLAME_JOB;
  }

  /** Returns whether any task of the job ran long enough to count as started. */
  boolean hasStarted() {
    return hasStarted;
  }

  /** Records that a task of the job ran long enough to count as started. */
  void recordStart() {
    hasStarted = true;
  }

  /** Returns the names of the machines on which tasks of the job failed. */
  public Collection<String> machinesFailedOn() {
    return Collections.unmodifiableSet(machinesFailedOn);
  }

  /**
   * Returns the time before which no task of the job is started, or {@link Instant#MIN} if there is
   * no such restriction.
   */
  public Instant retryNotBefore() {
    return retryNotBefore;
  }

  /** Records that a task of the job failed on the named machine. */
  public void recordFailure(String machine) {
    machinesFailedOn.add(machine);
  }

  /**
   * Records that a task of the job is done.
   *
   * @return whether this is the job's first success. From then on, the job's failures on other
   *     machines indicate faults of those machines
   */
  public boolean recordSuccess() {
    if (taskSucceeded) {
      return false;
    }
    taskSucceeded = true;
    retryNotBefore = Instant.MIN;
    return true;
  }

  /** Delays the next retry with exponential backoff, unless a retry is already delayed. */
  public void backOff(Instant now) {
    if (!now.isBefore(retryNotBefore)) {
      long seconds = INITIAL_BACKOFF_S << Math.min(MAX_BACKOFF_DOUBLINGS, retries++);
      retryNotBefore = now.plusSeconds(Math.min(MAX_BACKOFF.toSeconds(), seconds));
    }
  }

  /** Delays the next retry until the given time. */
  public void retryNotBefore(Instant time) {
    retryNotBefore = time;
  }
}
