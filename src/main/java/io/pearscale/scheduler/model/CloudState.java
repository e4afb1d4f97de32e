package io.pearscale.scheduler.model;

import java.time.Instant;

/**
 * A machine as the cloud and the autoscaler see it: whether it is listed, whether its deletion was
 * asked for, and since when it could be released.
 *
 * <p>Owned by its {@link Machine}; written by the autoscaler and by machine retirement.
 */
public final class CloudState {
  private boolean listed;
  private Instant listedSince = Instant.MIN;
  private boolean deletionRequested;
  private Instant scaleInCandidateSince = Instant.MAX;

  /** Whether a list of the cloud has ever named the machine. */
  public boolean isListed() {
    return listed;
  }

  /** When a list of the cloud first named the machine; MIN while none did. */
  public Instant listedSince() {
    return listedSince;
  }

  /** A list of the cloud names the machine. */
  public void recordListed(Instant now) {
    if (!listed) {
      listed = true;
      listedSince = now;
    }
  }

  /** Whether the cloud was asked to delete the machine and has not refused. */
  public boolean isDeletionRequested() {
    return deletionRequested;
  }

  /** The cloud is being asked to delete the machine. */
  public void recordDeletionRequested() {
    deletionRequested = true;
  }

  /** The cloud has not deleted the machine, as far as known. */
  public void recordDeletionFailed() {
    deletionRequested = false;
  }

  /** Since when the machine could be released; MAX while it is needed. */
  public Instant scaleInCandidateSince() {
    return scaleInCandidateSince;
  }

  /** Whether the machine could be released, and is left to run empty. */
  public boolean isScaleInCandidate() {
    return !scaleInCandidateSince.equals(Instant.MAX);
  }

  /** The machine could be released from now on, unless that was so before. */
  public void markScaleInCandidate(Instant now) {
    if (!isScaleInCandidate()) {
      scaleInCandidateSince = now;
    }
  }

  /** The machine is needed. */
  public void clearScaleInCandidate() {
    scaleInCandidateSince = Instant.MAX;
  }
}
