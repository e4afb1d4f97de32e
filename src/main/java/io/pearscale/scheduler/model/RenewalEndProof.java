package io.pearscale.scheduler.model;

/**
 * Proof that previous leaders no longer renew the lease of an agent. Until such a proof exists, or
 * the renewal authority timeout has passed since the election, the lease counts as renewed by a
 * previous leader, which may be partitioned from this leader together with the agent.
 */
public enum RenewalEndProof {
  /**
   * A message from the agent shows a fencing token of this term. From then on the agent discards
   * the responses of previous leaders, which carry lower tokens.
   */
  TOKEN_OF_THIS_TERM,
  /**
   * All peers have acknowledged this term. A controller that leads steps down before it does so,
   * and afterwards answers only heartbeats that it had received before.
   */
  ELECTION_ACKNOWLEDGED
}
