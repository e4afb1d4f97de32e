package io.pearscale.coordination;

/**
 * Number of the current campaign, or of the current period as follower or leader. Replies and
 * timers carry the round in which they were requested, and are ignored after another round has
 * begun.
 */
final class ElectionRound {
  private int current;

  /** Begins a new round, which invalidates all replies and timers of earlier rounds. */
  int next() {
    return ++current;
  }

  /** Returns the current round. */
  int current() {
    return current;
  }

  /** Returns whether the given round is the current one. */
  boolean isCurrent(int round) {
    return round == current;
  }
}
