package io.pearscale.scheduler.model;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.Set;

/**
 * Whether a job's tasks can run at all, from where they failed and whether one ever ran well. A job
 * that was submitted with a mistake fails on healthy machines, which must not be blamed for it.
 *
 * <p>Owned by its {@link Job}; written by fault attribution.
 */
public final class JobFailureHistory {
  /** On so many machines a job must fail before it is thought to be its own fault. */
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

  /** Whether it is known that its tasks can run: one was done, or a replica ran for a while. */
  public boolean hasSucceeded() {
    return taskSucceeded || (service && hasStarted);
  }

  /** Whether it seems to have been submitted with a mistake: it failed wherever it was tried. */
  public boolean failsEverywhere() {
    return !hasSucceeded() && machinesFailedOn.size() >= MIN_FAILED_MACHINES_TO_BLAME_JOB;
  }

  /** Whether any of its tasks ran for long enough to count as a start. */
  boolean hasStarted() {
    return hasStarted;
  }

  /** One of its tasks has run for long enough to count as a start. */
  void recordStart() {
    hasStarted = true;
  }

  /** The names of the machines on which its tasks failed. */
  public Collection<String> machinesFailedOn() {
    return Collections.unmodifiableSet(machinesFailedOn);
  }

  /** Its tasks are not started before; MIN where nothing stands against it. */
  public Instant retryNotBefore() {
    return retryNotBefore;
  }

  /** One of its tasks failed on the machine of that name. */
  public void recordFailure(String machine) {
    machinesFailedOn.add(machine);
  }

  /**
   * One of its tasks was done.
   *
   * @return whether it is the first: from now on, failures elsewhere point at machines
   */
  public boolean recordSuccess() {
    if (taskSucceeded) {
      return false;
    }
    taskSucceeded = true;
    retryNotBefore = Instant.MIN;
    return true;
  }

  /** Puts the next try off, by more each time, unless it is put off already. */
  public void backOff(Instant now) {
    if (!now.isBefore(retryNotBefore)) {
      long seconds = INITIAL_BACKOFF_S << Math.min(MAX_BACKOFF_DOUBLINGS, retries++);
      retryNotBefore = now.plusSeconds(Math.min(MAX_BACKOFF.toSeconds(), seconds));
    }
  }

  /** Puts the next try off until that time. */
  public void retryNotBefore(Instant time) {
    retryNotBefore = time;
  }
}
