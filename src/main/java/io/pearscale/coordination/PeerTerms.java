package io.pearscale.coordination;

import java.util.HashSet;
import java.util.Set;

/** The terms that peers have announced. */
final class PeerTerms {
  private final Set<String> peers;
  private long highest;

  /** Peers that know of the term in which this controller leads. */
  private final Set<String> acknowledgedPeers = new HashSet<>();

  /** Creates an instance that knows of no announcements. */
  PeerTerms(Set<String> peers) {
    this.peers = peers;
  }

  /** Records the highest term that a peer knows. */
  void recordAnnouncedTerm(long term) {
    highest = Math.max(highest, term);
  }

  /** Returns the highest term that any peer has announced; 0 before the first announcement. */
  long highest() {
    return highest;
  }

  /** Discards the acknowledgements of earlier terms because this controller leads in a new term. */
  void beginTerm() {
    acknowledgedPeers.clear();
  }

  /**
   * Records that a peer knows of the term in which this controller leads.
   *
   * @return whether this is the first acknowledgement by that peer and completes the
   *     acknowledgements of all peers
   */
  boolean acknowledge(String peer) {
    return acknowledgedPeers.add(peer) && acknowledgedPeers.containsAll(peers);
  }
}
