package io.pearscale.coordination;

import io.pearscale.protocol.PeerMessage.LiveJobs;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Receives the outcome of elections and the proofs that keep the leadership of this controller
 * valid.
 */
public interface ElectionListener {
  /**
   * This controller was elected leader.
   *
   * @param termRevision the revision of the term's key that the election wrote
   * @param provenAt the time at which the election was sent; no other controller led at that time
   */
  void elected(long term, long termRevision, Instant provenAt);

  /**
   * The key-value store confirmed that this controller was still the leader at the given time, when
   * the lease renewal was requested.
   */
  void leadershipProven(Instant provenAt);

  /**
   * All controllers confirmed that none of them led in a later term at the given time.
   *
   * @param cancelledJobs the jobs whose cancellation the controllers recently acknowledged to users
   * @param liveJobs the live jobs of each peer that loaded the stored keys at a revision after the
   *     one of this controller's replica: the previous process of that peer may have acknowledged
   *     cancellations that the peer does not know
   */
  void confirmedByPeers(Instant provenAt, Set<String> cancelledJobs, List<LiveJobs> liveJobs);

  /**
   * All peers have reported since the election that they know of it. A peer that reports this does
   * not lead in an earlier term: it has stepped down, or it is a later incarnation of a process
   * that has ended.
   */
  void electionAcknowledged();

  /** Asks all controllers, including this one, for a confirmation with the given nonce. */
  void requestConfirmations(long nonce);

  /** This controller lost its leadership of the given term. */
  void leadershipLost(long term);

  /** The known leader changed; empty if no leader is known. */
  void leaderChanged(long term, Optional<String> leader);
}
