package io.pearscale.protocol;

/** The reason that an agent reports for a task that ended or was not started. */
public enum EndCause {
  /**
   * The task completed. Its result is stored, and starting it again ends immediately with this
   * cause.
   */
  COMPLETED,
  /** The process of the task failed. */
  FAILED,
  /** A stop command ended the task. */
  STOPPED,
  /** The task of a gang waited too long for the other members, or another member was lost. */
  GANG_BROKEN,
  /** The agent refused the start because it does not know the job or task. */
  UNKNOWN_TASK,
  /**
   * The agent refused the start because the machine has too few resources or runs another attempt.
   */
  START_REFUSED;

  /** Returns the cause with the given wire name. Unknown names map to {@link #START_REFUSED}. */
  public static EndCause fromWireName(String wireName) {
    return switch (wireName) {
      case "done" -> COMPLETED;
      case "error" -> FAILED;
      case "stopped" -> STOPPED;
      case "alone", "mates_gone" -> GANG_BROKEN;
      case "no_such" -> UNKNOWN_TASK;
      default -> START_REFUSED;
    };
  }
}
