package io.pearscale.scheduler;

import java.util.HashSet;
import java.util.Set;

/**
 * Gives machines the numbers by which marks of tasks name them. A number is not given again while
 * any record may name its machine by it: within a term none is given twice, and a new leader begins
 * above all numbers that it finds.
 */
final class MachineNumbers {
  /** Marks have three bytes for a number, and 0 stands for none. */
  private static final int MOST = 0xffffff;

  private final Set<Integer> found = new HashSet<>();
  private int last;

  /** A term begins, of whose records nothing is known. */
  void begin() {
    found.clear();
    last = 0;
  }

  /** A stored record has that number. */
  void note(int number) {
    found.add(number);
    last = Math.max(last, number);
  }

  /** The next number; beyond the highest one it goes on with low ones that no record had. */
  int next() {
    for (int tried = 0; tried < MOST; tried++) {
      last = last >= MOST ? 1 : last + 1;
      if (found.add(last)) {
        return last;
      }
    }
    throw new IllegalStateException("all numbers of machines are in use");
  }
}
