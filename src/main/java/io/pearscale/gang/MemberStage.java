package io.pearscale.gang;

/** What is known of one task of a gang's attempt. */
public enum MemberStage {
  /** Its machine is decided, no start command was sent. */
  PLANNED,
  /** Its start command was sent, and no heartbeat has shown it. */
  SENT,
  /** Its image is being fetched. */
  FETCHING,
  /** It has its image and waits for the others. */
  WAITING,
  /** It runs, which a task does only once all others are ready to. */
  RUNNING,
  /** It was stopped and takes a checkpoint. */
  CHECKPOINTING;

  /** Whether the attempt has begun to run. */
  boolean hasStartedRunning() {
    return this == RUNNING || this == CHECKPOINTING;
  }
}
