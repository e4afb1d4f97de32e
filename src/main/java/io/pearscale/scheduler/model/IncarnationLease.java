package io.pearscale.scheduler.model;

import io.pearscale.protocol.Heartbeat;
import java.time.Duration;
import java.time.Instant;

/**
 * The sessions of one worker, and until when anything in them can be alive.
 *
 * <p>A worker that loses its lease forgets its tasks and begins the next session, whose lease runs
 * from its beginning without any answer. Two facts about sessions are kept apart: the one that a
 * message of the worker has <em>shown</em>, and the least one that may still be <em>believed</em>,
 * which is concluded from a stored record or from a lease that ran out. Only a message can make a
 * session a shown one, and it counts that session's lease: so nothing can be started in a session
 * whose lease is not counted.
 */
public final class IncarnationLease {
  /** What the lease was last counted from. */
  enum Basis {
    /** Nothing was heard of the worker, and nobody can have started anything there. */
    NONE,
    /** A former leader may have renewed it until then. */
    PREVIOUS_LEADERS,
    /** The session was seen for the first time: it began then at the latest. */
    INCARNATION_OBSERVED,
    /** A report was answered. */
    HEARTBEAT_RESPONSE
  }

  /** Of a worker that has shown no session which may still be believed. */
  private static final long NO_INCARNATION = -1;

  private long leastAcceptableIncarnation;
  private long observedIncarnation = NO_INCARNATION;
  private long observedSequence;
  private Instant countedFrom = Instant.MIN;
  private Basis basis = Basis.NONE;

  /** A stored record names the session: what is older is not believed. */
  public void acceptFromRecorded(long incarnation) {
    leastAcceptableIncarnation = incarnation;
  }

  /** Former leaders may renew the lease until then. */
  void previousLeadersRenewUntil(Instant until) {
    if (until.isAfter(countedFrom)) {
      countedFrom = until;
      basis = Basis.PREVIOUS_LEADERS;
    }
  }

  /** Former leaders renew nothing any more. */
  public void previousLeadersEnded(Instant now) {
    if (countedFrom.isAfter(now)) {
      countedFrom = now;
    }
  }

  /** Whether the message is later than all that were taken in, and of a session to be believed. */
  public boolean isNewer(Heartbeat message) {
    return observedIncarnation == NO_INCARNATION
        ? message.incarnation() >= leastAcceptableIncarnation
        : message.isNewerThan(observedIncarnation, observedSequence);
  }

  /**
   * Takes in a message that {@link #isNewer}.
   *
   * @return whether it shows a session that was not seen before, which counts its lease from now
   */
  public boolean observe(Heartbeat message, Instant now) {
    boolean incarnationIsNew =
        observedIncarnation == NO_INCARNATION || message.incarnation() > observedIncarnation;
    observedIncarnation = message.incarnation();
    observedSequence = message.sequence();
    if (incarnationIsNew && now.isAfter(countedFrom)) {
      countedFrom = now;
      basis = Basis.INCARNATION_OBSERVED;
    }
    return incarnationIsNew;
  }

  /** A report of the present session is answered: its lease may last for its time from now. */
  public void renew(Instant now) {
    countedFrom = now;
    basis = Basis.HEARTBEAT_RESPONSE;
  }

  /**
   * Whether nothing that was started in the present session, or in one before, can be alive.
   *
   * @param bound a lease, with what clocks may differ by
   */
  public boolean isExpired(Instant now, Duration bound) {
    return basis != Basis.NONE && now.isAfter(countedFrom.plus(bound));
  }

  /** Whether the lease was renewed so lately that the worker still has it. */
  public boolean isHeld(Instant now, Duration lease) {
    return basis != Basis.NONE && now.isBefore(countedFrom.plus(lease));
  }

  /** The present session is proven to be over; the worker has yet to show a later one. */
  public void endIncarnation() {
    leastAcceptableIncarnation = incarnation() + 1;
    observedIncarnation = NO_INCARNATION;
  }

  /** The session that commands name: the one shown, or else the least that may be believed. */
  public long incarnation() {
    return observedIncarnation == NO_INCARNATION ? leastAcceptableIncarnation : observedIncarnation;
  }

  /** The sequence of the last message; none when no session is shown. */
  long sequence() {
    return observedIncarnation == NO_INCARNATION ? NO_INCARNATION : observedSequence;
  }

  /** What the lease was last counted from. */
  Basis basis() {
    return basis;
  }

  /** How long ago the lease was last counted from; negative while former leaders may renew it. */
  Duration age(Instant now) {
    return basis == Basis.NONE ? Duration.ZERO : Duration.between(countedFrom, now);
  }
}
