package io.pearscale.scheduler.model;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class AttemptNumbersTest {
  /**
   * About as many attempts as 4,000 machines with short tasks start in two hours. More than 24 bits
   * are needed to count them.
   */
  private static final int ATTEMPTS_IN_TWO_HOURS = 1 << 25;

  @Test
  void numbersOfALongTermDoNotOverlapTheNextTerm() {
    AttemptNumbers numbers = new AttemptNumbers();
    numbers.beginTerm(6);
    long last = 0;
    for (int i = 0; i < ATTEMPTS_IN_TWO_HOURS; i++) {
      long next = numbers.next();
      assertTrue(next > last);
      last = next;
    }
    numbers.beginTerm(7);
    assertTrue(numbers.next() > last);
  }
}
