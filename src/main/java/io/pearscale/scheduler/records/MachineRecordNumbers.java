package io.pearscale.scheduler.records;

import java.util.HashSet;
import java.util.Set;

/**
 * Gives machines the numbers by which marks of tasks name them. A number is not given again while
 * any record may name its machine by it: within a term none is given twice, and a new leader begins
 * above all numbers that it finds.
 */
final class MachineRecordNumbers {
  /** Marks have three bytes for a number, and 0 stands for none. */
  private static final int MAX_NUMBER = 0xffffff;

  private final Set<Integer> reserved = new HashSet<>();
  private int lastAllocated;

  /** A term begins, of whose records nothing is known. */
  void reset() {
    reserved.clear();
    lastAllocated = 0;
  }

  /** A stored record has that number. */
  void reserve(int number) {
    reserved.add(number);
    lastAllocated = Math.max(lastAllocated, number);
  }

  /** The next number; beyond the highest one it goes on with low ones that no record had. */
  int allocate() {
    for (int tried = 0; tried < MAX_NUMBER; tried++) {
      lastAllocated = lastAllocated >= MAX_NUMBER ? 1 : lastAllocated + 1;
      if (reserved.add(lastAllocated)) {
        return lastAllocated;
      }
    }
    throw new IllegalStateException("all numbers of machines are in use");
  }
}
