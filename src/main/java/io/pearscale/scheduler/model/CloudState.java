package io.pearscale.scheduler.model;

import java.time.Instant;

/**
 * State of a machine at the cloud provider and in the autoscaler: whether the provider lists it,
 * whether its deletion was requested, and since when it has been a candidate for scale in.
 *
 * <p>Owned by its {@link Machine}; written by the autoscaler and by machine retirement.
 */
public final class CloudState {
  private boolean listed;
  private Instant listedSince = Instant.MIN;
  private boolean deletionRequested;
  private Instant scaleInCandidateSince = Instant.MAX;

  /** Returns whether any machine list of the cloud provider has contained the machine. */
  public boolean isListed() {
    return listed;
  }

  /**
   * Returns when a machine list first contained the machine, or {@link Instant#MIN} if none has.
   */
  public Instant listedSince() {
    return listedSince;
  }

  /** Records that a machine list contains the machine. */
  public void recordListed(Instant now) {
    if (!listed) {
      listed = true;
      listedSince = now;
    }
  }

  /** Returns whether deletion was requested and has not failed. */
  public boolean isDeletionRequested() {
    return deletionRequested;
  }

  /** Records that deletion is being requested. */
  public void recordDeletionRequested() {
    deletionRequested = true;
  }

  /** Records that, as far as is known, the cloud provider has not deleted the machine. */
  public void recordDeletionFailed() {
    deletionRequested = false;
  }

  /**
   * Returns since when the machine has been a scale-in candidate, or {@link Instant#MAX} if it is
   * needed.
   */
  public Instant scaleInCandidateSince() {
    return scaleInCandidateSince;
  }

  /** Returns whether the machine is a scale-in candidate that is left to run empty. */
  public boolean isScaleInCandidate() {
    return !scaleInCandidateSince.equals(Instant.MAX);
  }

  /** Marks the machine as a scale-in candidate; keeps the earlier time if it is one already. */
  public void markScaleInCandidate(Instant now) {
    if (!isScaleInCandidate()) {
      scaleInCandidateSince = now;
    }
  }

  /** Records that the machine is needed. */
  public void clearScaleInCandidate() {
    scaleInCandidateSince = Instant.MAX;
  }
}
