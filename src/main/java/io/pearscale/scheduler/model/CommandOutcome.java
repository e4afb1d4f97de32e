package io.pearscale.scheduler.model;

/** The outcome of a direct call that carries commands to an agent. */
public enum CommandOutcome {
  /** The agent executed the commands and answered. */
  EXECUTED,
  /** The agent refused the commands: it has seen a higher token or is in another incarnation. */
  REFUSED,
  /** The call never left this process. */
  NOT_SENT,
  /** No usable answer arrived; the commands may have been executed or may still be. */
  UNKNOWN
}
