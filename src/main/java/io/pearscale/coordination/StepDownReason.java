package io.pearscale.coordination;

import java.util.Locale;

/** The reason why a leader steps down. */
enum StepDownReason {
  /** An agent reported a fencing token of a later term. */
  HIGHER_TERM_SEEN,

  /** The key-value store contains a later term. */
  OTHER_LEADER_STORED,

  /** This controller may not lead; see {@link Eligibility}. */
  INCOMPATIBLE_BUILD,

  /** A peer knows of a later term. */
  PEER_HAS_HIGHER_TERM,

  /** The leader's lease no longer exists in the key-value store. */
  LEASE_EXPIRED,

  /** No proof that no other controller leads was obtained for the renewal authority timeout. */
  PROOF_EXPIRED;

  /** Returns the reason in the form used in log lines. */
  String logValue() {
    return name().toLowerCase(Locale.ROOT);
  }
}
