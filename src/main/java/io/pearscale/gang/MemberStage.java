package io.pearscale.gang;

/** What is known of one task of a gang's attempt. */
public enum MemberStage {
  /** Its machine is decided, nothing was sent. */
  PLANNED,
  /** Its start was sent, and no message has shown it. */
  SENT,
  /** It waits for its image. */
  FETCHING,
  /** It has its image and waits for the others. */
  WAITING,
  /** It runs, so all others have begun to run as well. */
  RUNNING,
  /** It saves its progress. */
  CHECKPOINTING;

  /** Whether the attempt has begun to run. */
  boolean hasBegun() {
    return this == RUNNING || this == CHECKPOINTING;
  }
}
