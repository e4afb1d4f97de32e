package io.pearscale.coordination;

import java.util.Locale;

/** Why a leader gives up its term. */
enum StepDownReason {
  /** An agent has seen a fencing token of a later term. */
  HIGHER_TERM_SEEN,

  /** The key-value store shows a later term. */
  OTHER_LEADER_STORED,

  /** The build must not lead, see {@link Eligibility}. */
  INCOMPATIBLE_BUILD,

  /** A peer knows of a later term. */
  PEER_HAS_HIGHER_TERM,

  /** The key-value store knows the leader's lease no more. */
  LEASE_EXPIRED,

  /** Nobody has proved for the renewal authority timeout that no other controller leads. */
  PROOF_EXPIRED;

  /** The reason as it stands in the log. */
  String logValue() {
    return name().toLowerCase(Locale.ROOT);
  }
}
