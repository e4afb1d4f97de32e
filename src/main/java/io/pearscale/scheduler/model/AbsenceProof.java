package io.pearscale.scheduler.model;

/**
 * Why a task is known not to be on a machine, nor to come there by a late command. Until there is
 * one of these proofs a task counts as being on its machine, and is not started elsewhere.
 */
public enum AbsenceProof {
  /** It was decided, but no command was sent. */
  NOT_SENT,
  /** The agent refused the command that would have started it. */
  NOT_EXECUTED,
  /** A message of the machine shows that the attempt has ended. */
  ENDED,
  /** A message lacks it, and it was there before or the machine has seen a higher token. */
  NOT_REPORTED,
  /** A message of a later incarnation than the start's lacks it. */
  LATER_INCARNATION,
  /** The machine's lease has expired. */
  LEASE_EXPIRED,
  /** The cloud has deleted the machine. */
  MACHINE_DELETED
}
