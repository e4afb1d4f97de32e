package io.pearscale.scheduler.model;

/**
 * Generates attempt numbers that are unique across terms: the high bits hold the term and the low
 * 40 bits a counter. A fleet of 4,000 machines with short tasks starts thousands of attempts per
 * second and would exhaust a counter of 24 bits within hours, so that its numbers would collide
 * with those of the next term. 40 bits last for years at ten thousand attempts per second and leave
 * enough bits for millions of terms.
 */
public final class AttemptNumbers {
  private static final int TERM_SHIFT = 40;
  private static final long MAX_ATTEMPTS_PER_TERM = (1L << TERM_SHIFT) - 1;

  private long term;
  private long attemptsInTerm;

  /** Begins a term and resets the counter. */
  public void beginTerm(long newTerm) {
    term = newTerm;
    attemptsInTerm = 0;
  }

  /** Returns the next unused number. */
  public long next() {
    if (attemptsInTerm == MAX_ATTEMPTS_PER_TERM) {
      throw new IllegalStateException(
          "term " + term + " has no attempt numbers left: all 2^40 - 1 have been used");
    }
    return (term << TERM_SHIFT) + ++attemptsInTerm;
  }
}
