package io.pearscale.scheduler.model;

import io.pearscale.protocol.Heartbeat;
import java.time.Duration;
import java.time.Instant;

/**
 * The incarnations of one agent, and the lease that bounds how long tasks in them can run.
 *
 * <p>Invariant: the lease counts from the latest time at which it may have been renewed or may have
 * begun. Every event can only move that time later. The one exception is {@link
 * #endPreviousLeaders}, which requires a {@link RenewalEndProof}: what this leader itself answers
 * proves nothing about the responses of previous leaders.
 *
 * <p>An agent whose lease expires discards its tasks and begins its next incarnation. The lease of
 * that incarnation starts when the incarnation begins, before any heartbeat response. This class
 * distinguishes the incarnation that a message has reported (<em>observed</em>) from the lowest
 * incarnation whose messages are accepted (<em>acceptable</em>), which follows from a stored record
 * or an expired lease. Only a message makes an incarnation observed, and the lease is counted from
 * that message on. So nothing is started in an incarnation whose lease is not counted.
 *
 * <p>Owned by its {@link Machine}; written while messages of the agent are handled and when the
 * lease has expired.
 */
public final class IncarnationLease {
  /** The event from which the lease counts. */
  enum Basis {
    /** No message was received from the agent, and no controller can have started a task there. */
    NONE,
    /** A previous leader may have renewed the lease until that time. */
    PREVIOUS_LEADERS,
    /** The incarnation was observed for the first time; it began no later than that. */
    INCARNATION_OBSERVED,
    /** The leader answered a heartbeat. */
    HEARTBEAT_RESPONSE
  }

  /** The observed incarnation of an agent that has reported no acceptable one. */
  private static final long NO_INCARNATION = -1;

  private long minimumAcceptableIncarnation;
  private long observedIncarnation = NO_INCARNATION;
  private long observedSequence;
  private Instant leaseStart = Instant.MIN;
  private Basis basis = Basis.NONE;

  /** Sets the lowest acceptable incarnation to the one that a stored record names. */
  public void setMinimumIncarnation(long incarnation) {
    minimumAcceptableIncarnation = incarnation;
  }

  /**
   * Extends the lease to the time until which previous leaders may renew it, or may have renewed
   * it.
   */
  void extendForPreviousLeaders(Instant until) {
    extendTo(until, Basis.PREVIOUS_LEADERS);
  }

  /**
   * Ends the renewals by previous leaders that the lease counts after the given time.
   *
   * @param now the time from which on previous leaders certainly do not renew the lease
   * @return how much earlier the lease now counts; zero if it counted no later renewals
   */
  Duration endPreviousLeaders(Instant now) {
    if (!leaseStart.isAfter(now)) {
      return Duration.ZERO;
    }
    Duration earlierBy = Duration.between(now, leaseStart);
    leaseStart = now;
    return earlierBy;
  }

  private void extendTo(Instant start, Basis newBasis) {
    if (!start.isBefore(leaseStart)) {
      leaseStart = start;
      basis = newBasis;
    }
  }

  /**
   * Returns whether the message is newer than all observed messages and belongs to an acceptable
   * incarnation.
   */
  public boolean isNewer(Heartbeat message) {
    return observedIncarnation == NO_INCARNATION
        ? message.incarnation() >= minimumAcceptableIncarnation
        : message.isNewerThan(observedIncarnation, observedSequence);
  }

  /**
   * Records a message for which {@link #isNewer} returns true.
   *
   * @return whether the message is the first of its incarnation, whose lease began no later than
   *     now
   */
  public boolean observe(Heartbeat message, Instant now) {
    boolean incarnationIsNew =
        observedIncarnation == NO_INCARNATION || message.incarnation() > observedIncarnation;
    observedIncarnation = message.incarnation();
    observedSequence = message.sequence();
    if (incarnationIsNew) {
      extendTo(now, Basis.INCARNATION_OBSERVED);
    }
    return incarnationIsNew;
  }

  /**
   * Renews the lease from now, because a heartbeat of the current incarnation is being answered. It
   * still counts from a later time if previous leaders may renew it until then: the heartbeat may
   * be a late copy, or the response may be lost.
   */
  public void renew(Instant now) {
    extendTo(now, Basis.HEARTBEAT_RESPONSE);
  }

  /**
   * Returns whether every task started in the current or an earlier incarnation has certainly
   * ended.
   *
   * @param expiryBound the lease TTL plus an allowance for clock drift
   */
  public boolean isExpired(Instant now, Duration expiryBound) {
    return basis != Basis.NONE && now.isAfter(leaseStart.plus(expiryBound));
  }

  /**
   * Returns whether the lease was renewed recently enough that the agent still holds it.
   *
   * @param leaseTtl the lease TTL
   */
  public boolean isHeld(Instant now, Duration leaseTtl) {
    return basis != Basis.NONE && now.isBefore(leaseStart.plus(leaseTtl));
  }

  /**
   * Records that the current incarnation has certainly ended. The agent has not yet reported a
   * later one.
   */
  public void endIncarnation() {
    minimumAcceptableIncarnation = incarnation() + 1;
    observedIncarnation = NO_INCARNATION;
  }

  /**
   * Returns the incarnation that commands name: the observed one, or the lowest acceptable one if
   * none is observed.
   */
  public long incarnation() {
    return observedIncarnation == NO_INCARNATION
        ? minimumAcceptableIncarnation
        : observedIncarnation;
  }

  /** Returns the sequence of the last message, or -1 if no incarnation is observed. */
  long sequence() {
    return observedIncarnation == NO_INCARNATION ? NO_INCARNATION : observedSequence;
  }

  /** Returns the event from which the lease counts. */
  Basis basis() {
    return basis;
  }

  /**
   * Returns the time since the lease counts; negative while it counts renewals that previous
   * leaders may still make.
   */
  Duration age(Instant now) {
    return basis == Basis.NONE ? Duration.ZERO : Duration.between(leaseStart, now);
  }
}
