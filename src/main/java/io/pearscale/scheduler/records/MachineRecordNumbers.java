package io.pearscale.scheduler.records;

import java.util.HashSet;
import java.util.Set;

/**
 * Allocates the numbers by which placement records of the numbered layout refer to machines.
 *
 * <p>Invariant: a number is not allocated again while any record may refer to its machine by it.
 * Within a term none is allocated twice, and a new leader begins above all that it finds.
 */
final class MachineRecordNumbers {
  /** The highest number: placement records have three bytes for it, and 0 stands for none. */
  private static final int MAX_NUMBER = 0xffffff;

  private final Set<Integer> reserved = new HashSet<>();
  private int lastAllocated;

  /** Forgets all numbers: a term begins. */
  void reset() {
    reserved.clear();
    lastAllocated = 0;
  }

  /** Reserves a number that a stored record has. */
  void reserve(int number) {
    reserved.add(number);
    lastAllocated = Math.max(lastAllocated, number);
  }

  /** Allocates the next number; beyond the highest it goes on with low ones that are free. */
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
