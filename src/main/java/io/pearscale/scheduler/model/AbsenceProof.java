package io.pearscale.scheduler.model;

/**
 * Proof that a task attempt is not on a machine and that no late command can start it there. Until
 * such a proof exists, the leader counts the attempt as being on the machine and does not start the
 * task elsewhere.
 */
public enum AbsenceProof {
  /** The attempt was planned, but no start command was sent. */
  NOT_SENT,
  /** The agent refused the start command, or the call that carried the command was not sent. */
  NOT_EXECUTED,
  /** A message from the machine reports that the attempt has ended. */
  ENDED,
  /**
   * A message from the machine does not list the attempt and shows a higher fencing token than any
   * start command for the attempt carried.
   */
  NOT_REPORTED,
  /**
   * A message from a later incarnation than the one that the start command named does not list the
   * attempt.
   */
  LATER_INCARNATION,
  /** The machine's lease has expired. */
  LEASE_EXPIRED,
  /** The cloud provider has deleted the machine. */
  MACHINE_DELETED
}
