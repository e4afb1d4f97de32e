package io.pearscale.gang;

/** The stage of one task of a gang attempt, as known to the leader. */
public enum MemberStage {
  /** A machine is assigned, but no start command was sent. */
  PLANNED,
  /** A start command was sent, but no heartbeat has reported the task. */
  SENT,
  /** The agent is fetching the image. */
  FETCHING,
  /** The task has its image and waits for the other tasks. */
  WAITING,
  /** The task runs; a task runs only after all tasks of the gang are ready. */
  RUNNING,
  /** The task was stopped and is taking a checkpoint. */
  CHECKPOINTING;

  /** Returns whether the attempt has started to run. */
  boolean hasStartedRunning() {
    return this == RUNNING || this == CHECKPOINTING;
  }
}
