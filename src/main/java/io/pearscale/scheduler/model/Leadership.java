package io.pearscale.scheduler.model;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/**
 * The leadership of this controller: its term, and until when it may act in that term. Starts of
 * tasks, renewals of agent leases and fencing tokens all depend on it.
 *
 * <p><b>Proof of leadership.</b> A proof shows that no other controller led at a given time. It is
 * dated from when the request behind it was sent. <b>Renewal authority.</b> While both the last
 * proof and the replica of the keys are younger than the renewal authority timeout, this leader may
 * renew agent leases. So once a new leader knows that it was elected, earlier leaders stop renewing
 * after at most that timeout, and after one further lease TTL no machine that has heard only from
 * them holds a lease. <b>Fencing token.</b> Each command carries a token composed of the term and,
 * in the low bits, a counter per machine. An agent refuses a token that is lower than the highest
 * it has seen.
 */
public final class Leadership {
  /** Fencing tokens hold the term above a 24-bit counter, which is separate for each machine. */
  private static final int FENCING_TOKEN_TERM_SHIFT = 24;

  /**
   * The minimum start authority timeout. A watch that returns without changes was sent 2 s earlier,
   * so starts can't require a more recent replica than this, however short the renewal authority
   * timeout is.
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

  /** Until this time a previous leader may have renewed leases. */
  private Instant previousLeadersUntil = Instant.MIN;

  /** The latest time at which no other controller is known to have led. */
  private Instant leadershipProvenAt = Instant.MIN;

  /** The replica of the keys contains all changes made up to this time. */
  private Instant replicaCaughtUpTo = Instant.MIN;

  /**
   * Creates an instance that does not lead.
   *
   * @param renewalAuthorityTimeout how long a proof authorizes lease renewals; positive
   */
  public Leadership(InstantSource clock, Duration renewalAuthorityTimeout) {
    this.clock = clock;
    this.renewalAuthorityTimeout = renewalAuthorityTimeout;
    Duration half = renewalAuthorityTimeout.dividedBy(2);
    this.startAuthorityTimeout =
        half.compareTo(MIN_START_AUTHORITY_TIMEOUT) > 0 ? half : MIN_START_AUTHORITY_TIMEOUT;
  }

  /**
   * Begins a term, in which nothing may be decided before {@link #becomeReady}.
   *
   * @param newTermRevision the revision of the term's key that the election wrote
   * @param provenAt when the election request was sent
   */
  public void beginTerm(long newTerm, long newTermRevision, Instant provenAt) {
    leading = true;
    ready = false;
    term = newTerm;
    termRevision = newTermRevision;
    leadershipProvenAt = provenAt;
    electedAt = clock.instant();
    previousLeadersUntil = electedAt.plus(renewalAuthorityTimeout);
  }

  /** Ends the term. */
  public void endTerm() {
    leading = false;
    ready = false;
  }

  /**
   * Records that all state stored by previous leaders was recovered. Only called while this
   * controller leads.
   */
  public void becomeReady() {
    ready = true;
  }

  /** Returns whether this controller leads, whether or not it is ready. */
  public boolean isLeading() {
    return leading;
  }

  /**
   * Returns whether this controller leads and has recovered the state stored by previous leaders.
   */
  public boolean isReady() {
    return ready;
  }

  /** Returns whether this controller leads in the given term. */
  public boolean leadsIn(long thatTerm) {
    return leading && term == thatTerm;
  }

  /** Returns the current term, or the last one in which this controller led. */
  public long term() {
    return term;
  }

  /**
   * Returns the revision of the term's key after this leader's last transaction; it guards the next
   * transaction.
   */
  public long termRevision() {
    return termRevision;
  }

  /**
   * Records the revision of the term's key that a transaction or a read of this leader has
   * returned.
   */
  public void recordTermRevision(long revision) {
    termRevision = revision;
  }

  /** Returns when this controller learned that it was elected. */
  public Instant electedAt() {
    return electedAt;
  }

  /** Returns the time until which a previous leader may have renewed leases. */
  Instant previousLeadersUntil() {
    return previousLeadersUntil;
  }

  /**
   * Records that previous leaders no longer renew leases, because all peers know of this term.
   *
   * @return whether this is earlier than the time known before
   */
  public boolean endPreviousLeaders() {
    Instant now = clock.instant();
    if (!now.isBefore(previousLeadersUntil)) {
      return false;
    }
    previousLeadersUntil = now;
    return true;
  }

  /**
   * Records that no other controller led at the given time. Has no effect if a later proof is
   * known.
   */
  public void recordProof(Instant time) {
    leadershipProvenAt = later(leadershipProvenAt, time);
  }

  /**
   * Records that the replica of the keys contains all changes made up to the given time. Has no
   * effect if a later time is known.
   */
  public void recordReplicaCaughtUpTo(Instant time) {
    replicaCaughtUpTo = later(replicaCaughtUpTo, time);
  }

  /**
   * Records that all controllers confirmed that no other controller led at the given time and
   * reported the cancellations of the last two renewal authority timeouts. Those cancellations
   * bring a replica up to date that was current within one renewal authority timeout before. An
   * older replica needs the key-value store, so this method then has no effect.
   */
  public void recordPeerConfirmation(Instant time) {
    if (time.isBefore(replicaCaughtUpTo.plus(renewalAuthorityTimeout))) {
      recordProof(time);
      recordReplicaCaughtUpTo(time);
    }
  }

  /** Returns whether the last proof is no older than the given age. */
  public boolean provenWithin(Duration age) {
    return !clock.instant().isAfter(leadershipProvenAt.plus(age));
  }

  /**
   * Returns whether agent leases may be renewed and commands sent. That requires knowledge no older
   * than the renewal authority timeout that no other controller leads and which jobs were
   * cancelled. A renewal of the leader's own lease shows only the first: without the second, a
   * leader whose watch is stuck would keep cancelled tasks alive.
   */
  public boolean mayRenewLeases() {
    Instant now = clock.instant();
    return leading
        && now.isBefore(leadershipProvenAt.plus(renewalAuthorityTimeout))
        && now.isBefore(replicaCaughtUpTo.plus(renewalAuthorityTimeout));
  }

  /**
   * Returns whether starts of tasks may be sent. Once a user has received confirmation that a job
   * is cancelled, none of its tasks may begin, so a start requires more recent knowledge than a
   * lease renewal. A leader that was paused, or whose requests the key-value store refuses, has to
   * update its replica first. Half of the renewal authority timeout is long enough for a leader
   * that has just taken over and receives every message late.
   */
  public boolean mayStartTasks() {
    return mayRenewLeases()
        && clock.instant().isBefore(replicaCaughtUpTo.plus(startAuthorityTimeout));
  }

  /** Returns the first fencing token of a machine in this term. */
  public long firstFencingToken() {
    return (term << FENCING_TOKEN_TERM_SHIFT) + 1;
  }

  /** Returns whether the fencing token was issued in this term. */
  public boolean isFromThisTerm(long fencingToken) {
    return termOf(fencingToken) == term;
  }

  /** Returns whether a leader of a later term issued the fencing token. */
  public boolean isFromLaterTerm(long fencingToken) {
    return termOf(fencingToken) > term;
  }

  /** Returns the term of the leader that issued the fencing token. */
  public static long termOf(long fencingToken) {
    return fencingToken >> FENCING_TOKEN_TERM_SHIFT;
  }

  private static Instant later(Instant first, Instant second) {
    return first.isAfter(second) ? first : second;
  }
}
