package io.pearscale.scheduler;

/**
 * Numbers of attempts, which no two leaders may ever share: the term stands above the count. A
 * fleet of 4,000 machines with short tasks starts thousands a second and uses up 24 bits within
 * hours, after which the numbers would run into those of the next term; 32 bits last for weeks at
 * ten thousand a second.
 */
final class AttemptNumbers {
  private static final int TERM_SHIFT = 32;
  private static final long MOST = (1L << TERM_SHIFT) - 1;

  private long term;
  private long count;

  /** Begins a term. */
  void begin(long newTerm) {
    term = newTerm;
    count = 0;
  }

  /** A number that was not used before. */
  long next() {
    if (count == MOST) {
      throw new IllegalStateException("all attempts of term " + term + " are used up");
    }
    return (term << TERM_SHIFT) + ++count;
  }
}
