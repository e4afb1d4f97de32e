package io.pearscale.scheduler;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/**
 * What the scheduler knows of its controller's leadership: the term, and until when it may act in
 * it. Every start, every renewal of a worker's lease and every token rests on this.
 */
final class Leadership {
  /** A token carries the term above a count of 24 bits for each machine. */
  private static final int TOKEN_TERM_SHIFT = 24;

  /** A watch that comes back without news was sent 2 s before: a shorter hold asks for no less. */
  private static final Duration WATCH_AGE = Duration.ofSeconds(3);

  private final InstantSource clock;
  private final Duration hold;
  private final Duration startKnowledge;
  private boolean leading;
  private boolean ready;
  private long term;
  private long termStamp;
  private Instant wonAt = Instant.MIN;
  private Instant formerLeadersUntil = Instant.MIN;
  private Instant provenAt = Instant.MIN;
  private Instant copyAsOf = Instant.MIN;

  /** Leadership that a proof extends by the hold. */
  Leadership(InstantSource clock, Duration hold) {
    this.clock = clock;
    this.hold = hold;
    Duration half = hold.dividedBy(2);
    this.startKnowledge = half.compareTo(WATCH_AGE) > 0 ? half : WATCH_AGE;
  }

  /** Begins a term; nothing may be decided in it before {@link #becomeReady}. */
  void begin(long newTerm, long newTermStamp, Instant proof) {
    leading = true;
    ready = false;
    term = newTerm;
    termStamp = newTermStamp;
    provenAt = proof;
    wonAt = clock.instant();
    formerLeadersUntil = wonAt.plus(hold);
  }

  /** Ends the term. */
  void end() {
    leading = false;
    ready = false;
  }

  /** All that the predecessors recorded has been taken over. */
  void becomeReady() {
    ready = true;
  }

  /** Whether this controller leads, ready or not. */
  boolean leading() {
    return leading;
  }

  /** Whether it leads and has taken over what its predecessors recorded. */
  boolean ready() {
    return ready;
  }

  /** Whether it leads in that term. */
  boolean leadsIn(long thatTerm) {
    return leading && term == thatTerm;
  }

  long term() {
    return term;
  }

  /** The stamp of the term's key after this leader's last transaction. */
  long termStamp() {
    return termStamp;
  }

  /** The term's key has that stamp now. */
  void termStampIs(long stamp) {
    termStamp = stamp;
  }

  Instant wonAt() {
    return wonAt;
  }

  /** Until then a former leader may have renewed leases. */
  Instant formerLeadersUntil() {
    return formerLeadersUntil;
  }

  /**
   * No former leader renews leases any more.
   *
   * @return whether that is sooner than was known
   */
  boolean formerLeadersEnded() {
    Instant now = clock.instant();
    if (!now.isBefore(formerLeadersUntil)) {
      return false;
    }
    formerLeadersUntil = now;
    return true;
  }

  /** It is proven that no other controller led at that time. */
  void provenAt(Instant time) {
    provenAt = later(provenAt, time);
  }

  /** All changes of the stored keys that were made by then are known. */
  void copyIsAsNewAs(Instant time) {
    copyAsOf = later(copyAsOf, time);
  }

  /**
   * The peers say that no other led at that time, and have named what was cancelled in the last two
   * holds. That makes good a copy that has been as new as the state service within one hold; an
   * older one is made good by the state service alone.
   */
  void confirmedByPeers(Instant time) {
    if (time.isBefore(copyAsOf.plus(hold))) {
      provenAt(time);
      copyIsAsNewAs(time);
    }
  }

  /** Whether the last proof is younger than the age. */
  boolean provenWithin(Duration age) {
    return !clock.instant().isAfter(provenAt.plus(age));
  }

  /**
   * Whether leases may be renewed and commands sent: only while it is known that no other leads,
   * and of which jobs were cancelled, as of at most hold ago. A renewal of the grant shows the
   * former alone: a leader whose watch is stuck would keep cancelled tasks alive.
   */
  boolean mayRenew() {
    Instant now = clock.instant();
    return leading && now.isBefore(provenAt.plus(hold)) && now.isBefore(copyAsOf.plus(hold));
  }

  /**
   * Whether starts may be sent. From when a user is told that a job is cancelled none of its tasks
   * may begin, so a start needs later knowledge than a lease: whoever stood still, or is refused by
   * the state service, looks again first. Half of the hold leaves time to a leader that has just
   * taken over and hears everything late.
   */
  boolean mayStart() {
    return mayRenew() && clock.instant().isBefore(copyAsOf.plus(startKnowledge));
  }

  /** The token with which a machine is commanded first in this term. */
  long firstToken() {
    return (term << TOKEN_TERM_SHIFT) + 1;
  }

  /** Whether the token was given in this term. */
  boolean isOfThisTerm(long token) {
    return termOf(token) == term;
  }

  /** Whether a leader of a later term gave the token. */
  boolean isOfLaterTerm(long token) {
    return termOf(token) > term;
  }

  /** The term of the leader that gave the token. */
  static long termOf(long token) {
    return token >> TOKEN_TERM_SHIFT;
  }

  private static Instant later(Instant a, Instant b) {
    return a.isAfter(b) ? a : b;
  }
}
