package io.pearscale.scheduler.records;

import java.util.HashSet;
import java.util.Set;

/**
 * Allocates the numbers by which placement records of the numbered layout refer to machines.
 *
 * <p>Invariant: a number is not reused while any record may refer to its machine by that number. No
 * number is allocated twice within a term, and a new leader starts above the highest stored number.
 */
final class MachineRecordNumbers {
  /** The highest number: placement records store it in three bytes, and 0 means no machine. */
  private static final int MAX_NUMBER = 0xffffff;

  private final Set<Integer> reserved = new HashSet<>();
  private int lastAllocated;

  /** Releases all numbers at the start of a term. */
  void reset() {
    reserved.clear();
    lastAllocated = 0;
  }

  /** Reserves the number of a stored record. */
  void reserve(int number) {
    reserved.add(number);
    lastAllocated = Math.max(lastAllocated, number);
  }

  /** Allocates the next number; after the highest one, continues with the lowest free numbers. */
  int allocate() {
    for (int tried = 0; tried < MAX_NUMBER; tried++) {
      lastAllocated = lastAllocated >= MAX_NUMBER ? 1 : lastAllocated + 1;
      if (reserved.add(lastAllocated)) {
        return lastAllocated;
      }
    }
    throw new IllegalStateException("all machine record numbers from 1 to 16777215 are in use");
  }
}
