package io.pearscale.scheduler.model;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/**
 * What the scheduler knows of its controller's leadership: the term, and until when it may act in
 * it. Every start, every renewal of a worker's lease and every token rests on this.
 */
public final class Leadership {
  /** A token carries the term above a count of 24 bits for each machine. */
  private static final int FENCING_TOKEN_TERM_SHIFT = 24;

  /** A watch that comes back without news was sent 2 s before: a shorter hold asks for no less. */
  private static final Duration QUIET_WATCH_AGE = Duration.ofSeconds(3);

  private final InstantSource clock;
  private final Duration renewalAuthorityTimeout;
  private final Duration startAuthorityTimeout;
  private boolean leading;
  private boolean ready;
  private long term;
  private long termRevision;
  private Instant electedAt = Instant.MIN;
  private Instant previousLeadersUntil = Instant.MIN;
  private Instant leadershipProvenAt = Instant.MIN;
  private Instant replicaAsOf = Instant.MIN;

  /** Leadership that a proof extends by the hold. */
  public Leadership(InstantSource clock, Duration renewalAuthorityTimeout) {
    this.clock = clock;
    this.renewalAuthorityTimeout = renewalAuthorityTimeout;
    Duration half = renewalAuthorityTimeout.dividedBy(2);
    this.startAuthorityTimeout = half.compareTo(QUIET_WATCH_AGE) > 0 ? half : QUIET_WATCH_AGE;
  }

  /** Begins a term; nothing may be decided in it before {@link #becomeReady}. */
  public void begin(long newTerm, long newTermRevision, Instant proof) {
    leading = true;
    ready = false;
    term = newTerm;
    termRevision = newTermRevision;
    leadershipProvenAt = proof;
    electedAt = clock.instant();
    previousLeadersUntil = electedAt.plus(renewalAuthorityTimeout);
  }

  /** Ends the term. */
  public void end() {
    leading = false;
    ready = false;
  }

  /** All that the predecessors recorded has been taken over. */
  public void becomeReady() {
    ready = true;
  }

  /** Whether this controller leads, ready or not. */
  public boolean isLeading() {
    return leading;
  }

  /** Whether it leads and has taken over what its predecessors recorded. */
  public boolean isReady() {
    return ready;
  }

  /** Whether it leads in that term. */
  public boolean leadsIn(long thatTerm) {
    return leading && term == thatTerm;
  }

  /** Returns the current term, or the last one in which this controller led. */
  public long term() {
    return term;
  }

  /** The stamp of the term's key after this leader's last transaction. */
  public long termRevision() {
    return termRevision;
  }

  /** The term's key has that stamp now. */
  public void recordTermRevision(long revision) {
    termRevision = revision;
  }

  /** Returns when this controller knew that it was elected. */
  public Instant electedAt() {
    return electedAt;
  }

  /** Until then a former leader may have renewed leases. */
  Instant previousLeadersUntil() {
    return previousLeadersUntil;
  }

  /**
   * No former leader renews leases any more.
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

  /** It is proven that no other controller led at that time. */
  public void recordProof(Instant time) {
    leadershipProvenAt = later(leadershipProvenAt, time);
  }

  /** All changes of the stored keys that were made by then are known. */
  public void recordReplicaAsOf(Instant time) {
    replicaAsOf = later(replicaAsOf, time);
  }

  /**
   * The peers say that no other led at that time, and have named what was cancelled in the last two
   * holds. That makes good a copy that has been as new as the state service within one hold; an
   * older one is made good by the state service alone.
   */
  public void recordPeerConfirmation(Instant time) {
    if (time.isBefore(replicaAsOf.plus(renewalAuthorityTimeout))) {
      recordProof(time);
      recordReplicaAsOf(time);
    }
  }

  /** Whether the last proof is younger than the age. */
  public boolean provenWithin(Duration age) {
    return !clock.instant().isAfter(leadershipProvenAt.plus(age));
  }

  /**
   * Whether leases may be renewed and commands sent: only while it is known that no other leads,
   * and of which jobs were cancelled, as of at most hold ago. A renewal of the grant shows the
   * former alone: a leader whose watch is stuck would keep cancelled tasks alive.
   */
  public boolean mayRenewLeases() {
    Instant now = clock.instant();
    return leading
        && now.isBefore(leadershipProvenAt.plus(renewalAuthorityTimeout))
        && now.isBefore(replicaAsOf.plus(renewalAuthorityTimeout));
  }

  /**
   * Whether starts may be sent. From when a user is told that a job is cancelled none of its tasks
   * may begin, so a start needs later knowledge than a lease: whoever stood still, or is refused by
   * the state service, looks again first. Half of the hold leaves time to a leader that has just
   * taken over and hears everything late.
   */
  public boolean mayStartTasks() {
    return mayRenewLeases() && clock.instant().isBefore(replicaAsOf.plus(startAuthorityTimeout));
  }

  /** The token with which a machine is commanded first in this term. */
  public long firstFencingToken() {
    return (term << FENCING_TOKEN_TERM_SHIFT) + 1;
  }

  /** Whether the token was given in this term. */
  public boolean isFromThisTerm(long fencingToken) {
    return termOf(fencingToken) == term;
  }

  /** Whether a leader of a later term gave the token. */
  public boolean isFromLaterTerm(long fencingToken) {
    return termOf(fencingToken) > term;
  }

  /** The term of the leader that gave the token. */
  public static long termOf(long fencingToken) {
    return fencingToken >> FENCING_TOKEN_TERM_SHIFT;
  }

  private static Instant later(Instant first, Instant second) {
    return first.isAfter(second) ? first : second;
  }
}
