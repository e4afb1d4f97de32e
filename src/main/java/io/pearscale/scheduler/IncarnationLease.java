package io.pearscale.scheduler;

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
final class IncarnationLease {
  /** What the lease was last counted from. */
  enum Basis {
    /** Nothing was heard of the worker, and nobody can have started anything there. */
    NONE,
    /** A former leader may have renewed it until then. */
    FORMER_LEADERS,
    /** The session was seen for the first time: it began then at the latest. */
    SESSION_SEEN,
    /** A report was answered. */
    ANSWER
  }

  /** Of a worker that has shown no session which may still be believed. */
  private static final long NONE = -1;

  private long leastSession;
  private long shownSession = NONE;
  private long shownSequence;
  private Instant from = Instant.MIN;
  private Basis basis = Basis.NONE;

  /** A stored record names the session: what is older is not believed. */
  void recorded(long session) {
    leastSession = session;
  }

  /** Former leaders may renew the lease until then. */
  void formerLeadersRenewUntil(Instant until) {
    if (until.isAfter(from)) {
      from = until;
      basis = Basis.FORMER_LEADERS;
    }
  }

  /** Former leaders renew nothing any more. */
  void formerLeadersEnded(Instant now) {
    if (from.isAfter(now)) {
      from = now;
    }
  }

  /** Whether the message is later than all that were taken in, and of a session to be believed. */
  boolean isNews(Heartbeat message) {
    return shownSession == NONE
        ? message.incarnation() >= leastSession
        : message.isNewerThan(shownSession, shownSequence);
  }

  /**
   * Takes in a message that {@link #isNews}.
   *
   * @return whether it shows a session that was not seen before, which counts its lease from now
   */
  boolean shown(Heartbeat message, Instant now) {
    boolean sessionIsNew = shownSession == NONE || message.incarnation() > shownSession;
    shownSession = message.incarnation();
    shownSequence = message.sequence();
    if (sessionIsNew && now.isAfter(from)) {
      from = now;
      basis = Basis.SESSION_SEEN;
    }
    return sessionIsNew;
  }

  /** A report of the present session is answered: its lease may last for its time from now. */
  void answered(Instant now) {
    from = now;
    basis = Basis.ANSWER;
  }

  /**
   * Whether nothing that was started in the present session, or in one before, can be alive.
   *
   * @param bound a lease, with what clocks may differ by
   */
  boolean isOver(Instant now, Duration bound) {
    return basis != Basis.NONE && now.isAfter(from.plus(bound));
  }

  /** Whether the lease was renewed so lately that the worker still has it. */
  boolean isHeld(Instant now, Duration lease) {
    return basis != Basis.NONE && now.isBefore(from.plus(lease));
  }

  /** The present session is proven to be over; the worker has yet to show a later one. */
  void end() {
    leastSession = session() + 1;
    shownSession = NONE;
  }

  /** The session that commands name: the one shown, or else the least that may be believed. */
  long session() {
    return shownSession == NONE ? leastSession : shownSession;
  }

  /** The sequence of the last message; none when no session is shown. */
  long sequence() {
    return shownSession == NONE ? NONE : shownSequence;
  }

  /** What the lease was last counted from. */
  Basis basis() {
    return basis;
  }

  /** How long ago the lease was last counted from; negative while former leaders may renew it. */
  Duration age(Instant now) {
    return basis == Basis.NONE ? Duration.ZERO : Duration.between(from, now);
  }
}
