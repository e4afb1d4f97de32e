package io.pearscale.scheduler.model;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/**
 * The leadership of this controller: its term, and until when it may act in it. Every start of a
 * task, every renewal of an agent's lease and every fencing token rests on this.
 *
 * <p><b>Proof of leadership.</b> No other controller led when the proof was made; it counts from
 * when what it rests on was sent. <b>Renewal authority.</b> While the last proof, and the copy of
 * the keys, are younger than the renewal authority timeout, this leader may renew leases of agents.
 * So once a newer leader knows that it has won, earlier ones renew nothing after that timeout, and
 * no machine that only heard from them has a lease after one lease TTL more. <b>Fencing token.</b>
 * Each command carries one: the term, and below it a counter per machine; an agent refuses lower
 * ones than it has seen.
 */
public final class Leadership {
  /**
   * A fencing token carries the term above a counter of 24 bits, which each machine has of its own.
   */
  private static final int FENCING_TOKEN_TERM_SHIFT = 24;

  /**
   * A watch that comes back without changes was sent 2 s before, so starts can't ask for a fresher
   * copy than this, however short the renewal authority timeout.
   */
  private static final Duration MIN_START_AUTHORITY_TIMEOUT = Duration.ofSeconds(3);

  private final InstantSource clock;
  private final Duration renewalAuthorityTimeout;
  private final Duration startAuthorityTimeout;
  private boolean leading;
  private boolean ready;
  private long term;
  private long termRevision;
  private Instant electedAt = Instant.MIN;

  /** Until then a previous leader may have renewed leases. */
  private Instant previousLeadersUntil = Instant.MIN;

  /** No other controller led at that time. */
  private Instant leadershipProvenAt = Instant.MIN;

  /** The copy of the keys has all changes made by then. */
  private Instant replicaUpToDateAt = Instant.MIN;

  /**
   * Leads in no term.
   *
   * @param renewalAuthorityTimeout for how long a proof allows to renew leases; positive
   */
  public Leadership(InstantSource clock, Duration renewalAuthorityTimeout) {
    this.clock = clock;
    this.renewalAuthorityTimeout = renewalAuthorityTimeout;
    Duration half = renewalAuthorityTimeout.dividedBy(2);
    this.startAuthorityTimeout =
        half.compareTo(MIN_START_AUTHORITY_TIMEOUT) > 0 ? half : MIN_START_AUTHORITY_TIMEOUT;
  }

  /**
   * Begins a term; nothing may be decided in it before {@link #becomeReady}.
   *
   * @param newTermRevision the revision of the term's key that the election wrote
   * @param provenAt when the election was sent
   */
  public void begin(long newTerm, long newTermRevision, Instant provenAt) {
    leading = true;
    ready = false;
    term = newTerm;
    termRevision = newTermRevision;
    leadershipProvenAt = provenAt;
    electedAt = clock.instant();
    previousLeadersUntil = electedAt.plus(renewalAuthorityTimeout);
  }

  /** Ends the term. */
  public void end() {
    leading = false;
    ready = false;
  }

  /** All that previous leaders recorded has been taken over; only while this controller leads. */
  public void becomeReady() {
    ready = true;
  }

  /** Whether this controller leads, ready or not. */
  public boolean isLeading() {
    return leading;
  }

  /** Whether this controller leads and has taken over what previous leaders recorded. */
  public boolean isReady() {
    return ready;
  }

  /** Whether this controller leads in that term. */
  public boolean leadsIn(long thatTerm) {
    return leading && term == thatTerm;
  }

  /** Returns the current term, or the last one in which this controller led. */
  public long term() {
    return term;
  }

  /** The revision of the term's key after this leader's last transaction; guards the next one. */
  public long termRevision() {
    return termRevision;
  }

  /** A transaction of this leader, or a read, has shown that the term's key has that revision. */
  public void recordTermRevision(long revision) {
    termRevision = revision;
  }

  /** Returns when this controller knew that it was elected. */
  public Instant electedAt() {
    return electedAt;
  }

  /** Until then a previous leader may have renewed leases. */
  Instant previousLeadersUntil() {
    return previousLeadersUntil;
  }

  /**
   * No previous leader renews leases any more, since all peers know of this term.
   *
   * @return whether that is sooner than was known
   */
  public boolean endPreviousLeaders() {
    Instant now = clock.instant();
    if (!now.isBefore(previousLeadersUntil)) {
      return false;
    }
    previousLeadersUntil = now;
    return true;
  }

  /** It is proved that no other controller led at that time; an earlier one changes nothing. */
  public void recordProof(Instant time) {
    leadershipProvenAt = later(leadershipProvenAt, time);
  }

  /** The copy of the keys has all changes made by that time; an earlier one changes nothing. */
  public void recordReplicaUpToDate(Instant time) {
    replicaUpToDateAt = later(replicaUpToDateAt, time);
  }

  /**
   * All controllers have confirmed that no other led at that time, and named the cancellations of
   * the last two renewal authority timeouts. That makes up for a copy of the keys that was up to
   * date within one such timeout; an older one is brought up to date by the key-value store alone.
   */
  public void recordPeerConfirmation(Instant time) {
    if (time.isBefore(replicaUpToDateAt.plus(renewalAuthorityTimeout))) {
      recordProof(time);
      recordReplicaUpToDate(time);
    }
  }

  /** Whether the last proof is not older than the age. */
  public boolean provenWithin(Duration age) {
    return !clock.instant().isAfter(leadershipProvenAt.plus(age));
  }

  /**
   * Whether leases of agents may be renewed and commands sent: only while it is known that no other
   * controller leads, and which jobs were cancelled, as of a renewal authority timeout ago at most.
   * A renewal of the leader's own lease shows the former alone: a leader whose watch is stuck would
   * keep cancelled tasks alive.
   */
  public boolean mayRenewLeases() {
    Instant now = clock.instant();
    return leading
        && now.isBefore(leadershipProvenAt.plus(renewalAuthorityTimeout))
        && now.isBefore(replicaUpToDateAt.plus(renewalAuthorityTimeout));
  }

  /**
   * Whether starts of tasks may be sent. From when a user is told that a job is cancelled none of
   * its tasks may begin, so a start needs later knowledge than a lease: a leader that stood still,
   * or is refused by the key-value store, looks again first. Half of the renewal authority timeout
   * leaves time to a leader that has just taken over and receives everything late.
   */
  public boolean mayStartTasks() {
    return mayRenewLeases()
        && clock.instant().isBefore(replicaUpToDateAt.plus(startAuthorityTimeout));
  }

  /** The fencing token with which a machine is commanded first in this term. */
  public long firstFencingToken() {
    return (term << FENCING_TOKEN_TERM_SHIFT) + 1;
  }

  /** Whether the fencing token was issued in this term. */
  public boolean isFromThisTerm(long fencingToken) {
    return termOf(fencingToken) == term;
  }

  /** Whether a leader of a later term issued the fencing token. */
  public boolean isFromLaterTerm(long fencingToken) {
    return termOf(fencingToken) > term;
  }

  /** The term of the leader that issued the fencing token. */
  public static long termOf(long fencingToken) {
    return fencingToken >> FENCING_TOKEN_TERM_SHIFT;
  }

  private static Instant later(Instant first, Instant second) {
    return first.isAfter(second) ? first : second;
  }
}
