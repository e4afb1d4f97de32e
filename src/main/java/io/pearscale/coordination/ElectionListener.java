package io.pearscale.coordination;

import io.pearscale.protocol.PeerMessage.LiveJobs;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Receives the outcome of elections, and what keeps this controller's leadership valid. */
public interface ElectionListener {
  /**
   * This controller leads from now on.
   *
   * @param termRevision the revision of the term's key that the election wrote
   * @param provenAt when the election was sent: no other controller led at that time
   */
  void elected(long term, long termRevision, Instant provenAt);

  /** The key-value store has confirmed that this controller still led when it was asked. */
  void leadershipProven(Instant provenAt);

  /**
   * All controllers have confirmed that none of them led in a later term at that time.
   *
   * @param cancelledJobs the jobs whose cancellation they acknowledged to users lately
   * @param liveJobs the jobs that were live, from each peer that loaded the keys later than our
   *     copy ends: its previous process may have acknowledged cancellations that it does not know
   */
  void confirmedByPeers(Instant provenAt, Set<String> cancelledJobs, List<LiveJobs> liveJobs);

  /**
   * All peers have reported since the election that they know of it. Whoever reports so leads in no
   * earlier term: it has stepped down before, or is a later incarnation of a process that ended.
   */
  void electionAcknowledged();

  /** All controllers are to be asked for their confirmation under that nonce. */
  void requestConfirmations(long nonce);

  /** This controller does not lead any more. */
  void leadershipLost(long term);

  /** The leader as far as known; empty while there is none. */
  void leaderChanged(long term, Optional<String> leader);
}
