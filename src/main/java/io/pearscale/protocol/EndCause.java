package io.pearscale.protocol;

/** Why a task has ended, or was not started, as its agent reports it. */
public enum EndCause {
  /** It completed; its result is kept, and another start of it ends at once with the same cause. */
  COMPLETED,
  /** Its process failed. */
  FAILED,
  /** A stop command ended it. */
  STOPPED,
  /** Of a gang: it waited for the other members for too long, or one of them is gone. */
  GANG_BROKEN,
  /** Its start was refused: the agent knows of no such job or task. */
  UNKNOWN_TASK,
  /** Its start was refused for what is on the machine: too few resources, or another attempt. */
  START_REFUSED;

  /** The cause with that name on the wire. Names that are not known count as a refused start. */
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
