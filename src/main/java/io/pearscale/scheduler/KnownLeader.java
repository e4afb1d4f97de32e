package io.pearscale.scheduler;

import java.util.Optional;

/** The highest term that this controller knows and, if known, the leader of that term. */
final class KnownLeader {
  private long term;
  private Optional<String> leader = Optional.empty();

  /** Records the term and the leader that the election reported. */
  void update(long newTerm, Optional<String> newLeader) {
    term = newTerm;
    leader = newLeader;
  }

  /** Returns the highest known term; 0 if none is known. */
  long term() {
    return term;
  }

  /** Returns the leader; empty if none is known. */
  Optional<String> leader() {
    return leader;
  }
}
