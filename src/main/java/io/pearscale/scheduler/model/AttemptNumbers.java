package io.pearscale.scheduler.model;

/**
 * Numbers of attempts, which no two leaders may ever share: the term stands above the count. A
 * fleet of 4,000 machines with short tasks starts thousands a second and uses up 24 bits within
 * hours, after which the numbers would run into those of the next term; 40 bits last for years at
 * ten thousand a second, and leave room for millions of terms.
 */
public final class AttemptNumbers {
  private static final int TERM_SHIFT = 40;
  private static final long MAX_ATTEMPTS_PER_TERM = (1L << TERM_SHIFT) - 1;

  private long term;
  private long attemptsInTerm;

  /** Begins a term. */
  public void beginTerm(long newTerm) {
    term = newTerm;
    attemptsInTerm = 0;
  }

  /** A number that was not used before. */
  public long next() {
    if (attemptsInTerm == MAX_ATTEMPTS_PER_TERM) {
      throw new IllegalStateException("all attempts of term " + term + " are used up");
    }
    return (term << TERM_SHIFT) + ++attemptsInTerm;
  }
}
