package io.pearscale.coordination;

/**
 * The number of the current campaign, or of the current time as follower or leader. Answers and
 * timers carry the round that they belong to, and are void once another one has begun.
 */
final class ElectionRound {
  private int current;

  /** Begins a round; whatever belongs to an earlier one is void. */
  int next() {
    return ++current;
  }

  /** The round that lasts now. */
  int current() {
    return current;
  }

  /** Whether that round still lasts. */
  boolean isCurrent(int round) {
    return round == current;
  }
}
