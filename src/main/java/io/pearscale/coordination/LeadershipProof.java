package io.pearscale.coordination;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/**
 * The latest proof that no other controller led: a successful renewal of the leader's lease, or a
 * confirmation by all controllers ({@link PeerConfirmations}). The age of a proof is measured from
 * the time at which the underlying request was <em>sent</em>. A proof expires after the renewal
 * authority timeout.
 */
final class LeadershipProof {
  /** Age of the proof above which a leader asks all controllers for a confirmation. */
  private static final Duration CONFIRMATION_TIMEOUT = Duration.ofMillis(1200);

  /** Margin added to the expiry timer, so that the proof has expired when the timer fires. */
  private static final Duration EXPIRY_MARGIN = Duration.ofMillis(5);

  private static final Duration MIN_EXPIRY_DELAY = Duration.ofMillis(1);

  private final InstantSource clock;
  private final Duration renewalAuthorityTimeout;
  private Instant provenAt = Instant.MIN;

  /** Creates an expired proof. */
  LeadershipProof(InstantSource clock, Duration renewalAuthorityTimeout) {
    this.clock = clock;
    this.renewalAuthorityTimeout = renewalAuthorityTimeout;
  }

  /**
   * Starts the proof at the current time, at which an election is sent. The reads that precede an
   * election prove nothing until the election is applied. It is applied after it is sent, so the
   * time of sending is a safe lower bound.
   */
  void beginElection() {
    provenAt = clock.instant();
  }

  /** Extends the proof to the given time; a time before the current proof has no effect. */
  void extendTo(Instant time) {
    if (time.isAfter(provenAt)) {
      provenAt = time;
    }
  }

  /** Returns the latest time at which no other controller is proven to have led. */
  Instant provenAt() {
    return provenAt;
  }

  /**
   * Returns whether the leader should ask all controllers for a confirmation because no lease
   * renewal has succeeded recently.
   */
  boolean needsConfirmation(Instant now) {
    return Duration.between(provenAt, now).compareTo(CONFIRMATION_TIMEOUT) > 0;
  }

  /** Returns whether the proof is too old for the leader to renew agents' leases. */
  boolean isExpired() {
    return !clock.instant().isBefore(expiresAt());
  }

  /** Returns the delay after which the proof has expired, unless it is extended before then. */
  Duration expiryDelay() {
    Duration remaining = Duration.between(clock.instant(), expiresAt()).plus(EXPIRY_MARGIN);
    return remaining.isNegative() ? MIN_EXPIRY_DELAY : remaining;
  }

  private Instant expiresAt() {
    return provenAt.plus(renewalAuthorityTimeout);
  }
}
