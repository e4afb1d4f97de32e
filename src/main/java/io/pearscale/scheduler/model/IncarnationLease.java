package io.pearscale.scheduler.model;

import io.pearscale.protocol.Heartbeat;
import java.time.Duration;
import java.time.Instant;

/**
 * The incarnations of one agent, and until when anything in them can be alive.
 *
 * <p>An agent whose lease expires forgets its tasks and begins its next incarnation, whose lease
 * runs from its beginning without any response. Two facts are kept apart: the incarnation that a
 * message of the agent has shown (<em>observed</em>), and the least one of which messages may still
 * be believed (<em>acceptable</em>), which follows from a stored record or from an expired lease.
 * Only a message makes an incarnation an observed one, and that counts the incarnation's lease: so
 * nothing is started in an incarnation whose lease is not counted.
 *
 * <p>Owned by its {@link Machine}. Written while messages of the agent are handled, and when the
 * lease has expired.
 */
public final class IncarnationLease {
  /** What the lease was last counted from. */
  enum Basis {
    /** The agent has not been heard of, and nobody can have started anything there. */
    NONE,
    /** A previous leader may have renewed it until then. */
    PREVIOUS_LEADERS,
    /** The incarnation was observed for the first time: it began then at the latest. */
    INCARNATION_OBSERVED,
    /** A heartbeat was answered. */
    HEARTBEAT_RESPONSE
  }

  /** Stands for the incarnation of an agent that has shown none which is acceptable. */
  private static final long NO_INCARNATION = -1;

  private long minimumAcceptableIncarnation;
  private long observedIncarnation = NO_INCARNATION;
  private long observedSequence;
  private Instant leaseStart = Instant.MIN;
  private Basis basis = Basis.NONE;

  /** A stored record names the incarnation: older ones are not acceptable. */
  public void setMinimumIncarnation(long incarnation) {
    minimumAcceptableIncarnation = incarnation;
  }

  /** Previous leaders may have renewed, or may yet renew, the lease until then. */
  void extendForPreviousLeaders(Instant until) {
    if (until.isAfter(leaseStart)) {
      leaseStart = until;
      basis = Basis.PREVIOUS_LEADERS;
    }
  }

  /** Previous leaders renew no leases any more. */
  public void previousLeadersEnded(Instant now) {
    if (leaseStart.isAfter(now)) {
      leaseStart = now;
    }
  }

  /** Whether the message is later than all that were observed, and of an acceptable incarnation. */
  public boolean isNewer(Heartbeat message) {
    return observedIncarnation == NO_INCARNATION
        ? message.incarnation() >= minimumAcceptableIncarnation
        : message.isNewerThan(observedIncarnation, observedSequence);
  }

  /**
   * Takes in a message that {@link #isNewer}.
   *
   * @return whether it shows an incarnation for the first time, whose lease counts from now
   */
  public boolean observe(Heartbeat message, Instant now) {
    boolean incarnationIsNew =
        observedIncarnation == NO_INCARNATION || message.incarnation() > observedIncarnation;
    observedIncarnation = message.incarnation();
    observedSequence = message.sequence();
    if (incarnationIsNew && now.isAfter(leaseStart)) {
      leaseStart = now;
      basis = Basis.INCARNATION_OBSERVED;
    }
    return incarnationIsNew;
  }

  /** A heartbeat of the present incarnation is answered: its lease may last its time from now. */
  public void renew(Instant now) {
    leaseStart = now;
    basis = Basis.HEARTBEAT_RESPONSE;
  }

  /**
   * Whether nothing that was started in the present incarnation, or in one before, can be alive.
   *
   * @param expiryBound the lease's time, with what clocks may differ by
   */
  public boolean isExpired(Instant now, Duration expiryBound) {
    return basis != Basis.NONE && now.isAfter(leaseStart.plus(expiryBound));
  }

  /**
   * Whether the lease was renewed so lately that the agent still has it.
   *
   * @param leaseTtl the lease's time
   */
  public boolean isHeld(Instant now, Duration leaseTtl) {
    return basis != Basis.NONE && now.isBefore(leaseStart.plus(leaseTtl));
  }

  /** The present incarnation is proven to be over; the agent has yet to show a later one. */
  public void endIncarnation() {
    minimumAcceptableIncarnation = incarnation() + 1;
    observedIncarnation = NO_INCARNATION;
  }

  /** The incarnation that commands name: the observed one, or else the least acceptable. */
  public long incarnation() {
    return observedIncarnation == NO_INCARNATION
        ? minimumAcceptableIncarnation
        : observedIncarnation;
  }

  /** The sequence of the last message; -1 when no incarnation is observed. */
  long sequence() {
    return observedIncarnation == NO_INCARNATION ? NO_INCARNATION : observedSequence;
  }

  /** What the lease was last counted from. */
  Basis basis() {
    return basis;
  }

  /** The time since the lease was last counted; negative while previous leaders may renew it. */
  Duration age(Instant now) {
    return basis == Basis.NONE ? Duration.ZERO : Duration.between(leaseStart, now);
  }
}
