package io.pearscale.coordination;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/**
 * The last proof that no other controller led: a successful renewal of the leader's lease, or the
 * confirmation of all controllers ({@link PeerConfirmations}). A proof counts from when what it
 * rests on was <em>sent</em>, and expires after the renewal authority timeout.
 */
final class LeadershipProof {
  /** A leader whose proof is older than this asks all controllers for a confirmation. */
  private static final Duration CONFIRMATION_TIMEOUT = Duration.ofMillis(1200);

  /** Added to the delay of a timer that is to find the proof expired. */
  private static final Duration EXPIRY_MARGIN = Duration.ofMillis(5);

  private static final Duration MIN_EXPIRY_DELAY = Duration.ofMillis(1);

  private final InstantSource clock;
  private final Duration renewalAuthorityTimeout;
  private Instant provenAt = Instant.MIN;

  /** Nothing is proved yet. */
  LeadershipProof(InstantSource clock, Duration renewalAuthorityTimeout) {
    this.clock = clock;
    this.renewalAuthorityTimeout = renewalAuthorityTimeout;
  }

  /**
   * An election is sent now. What was read for it proves nothing before it is applied, and it is
   * applied after it was sent: the time of sending is a safe lower bound.
   */
  void beginElection() {
    provenAt = clock.instant();
  }

  /** Leadership was proved as of that time; an earlier one than known changes nothing. */
  void extendTo(Instant time) {
    if (time.isAfter(provenAt)) {
      provenAt = time;
    }
  }

  /** No other controller led at that time. */
  Instant provenAt() {
    return provenAt;
  }

  /** Whether all controllers are to be asked, since renewals of the lease stay out. */
  boolean needsConfirmation(Instant now) {
    return Duration.between(provenAt, now).compareTo(CONFIRMATION_TIMEOUT) > 0;
  }

  /** Whether the proof is too old for a leader to renew leases of agents by it. */
  boolean isExpired() {
    return !clock.instant().isBefore(expiresAt());
  }

  /** After this delay the proof has expired, unless it is extended until then. */
  Duration expiryDelay() {
    Duration remaining = Duration.between(clock.instant(), expiresAt()).plus(EXPIRY_MARGIN);
    return remaining.isNegative() ? MIN_EXPIRY_DELAY : remaining;
  }

  private Instant expiresAt() {
    return provenAt.plus(renewalAuthorityTimeout);
  }
}
