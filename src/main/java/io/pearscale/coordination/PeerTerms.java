package io.pearscale.coordination;

import java.util.HashSet;
import java.util.Set;

/** What the peers have announced of the terms that they know. */
final class PeerTerms {
  private final Set<String> peers;
  private long highest;

  /** Peers that know of the term that this controller leads in. */
  private final Set<String> acknowledgedPeers = new HashSet<>();

  /** No peer has announced anything yet. */
  PeerTerms(Set<String> peers) {
    this.peers = peers;
  }

  /** A peer has announced the highest term that it knows. */
  void recordAnnouncedTerm(long term) {
    highest = Math.max(highest, term);
  }

  /** The highest term that any peer has announced; 0 before the first announcement. */
  long highest() {
    return highest;
  }

  /** This controller leads in a new term, which no peer knows as yet. */
  void beginTerm() {
    acknowledgedPeers.clear();
  }

  /**
   * A peer knows of the term that this controller leads in.
   *
   * @return whether that is news, and all peers know now
   */
  boolean acknowledge(String peer) {
    return acknowledgedPeers.add(peer) && acknowledgedPeers.containsAll(peers);
  }
}
