package io.pearscale.scheduler.records;

import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Predicate;

/** Stored values that hold nothing any more, and are to be removed. */
final class ObsoleteValues {
  private final Set<String> keys = new LinkedHashSet<>();

  /** Forgets all. */
  void clear() {
    keys.clear();
  }

  /** The value is to be removed. */
  void add(String key) {
    keys.add(key);
  }

  /** The value is removed, or written again. */
  void remove(String key) {
    keys.remove(key);
  }

  /** Whether there is nothing to remove. */
  boolean isEmpty() {
    return keys.isEmpty();
  }

  /** Adds the stored values that are unused. */
  void collect(StoredValues stored, Predicate<String> isObsolete) {
    stored.placementValues().keySet().stream().filter(isObsolete).forEach(keys::add);
    stored.machineValues().keySet().stream().filter(isObsolete).forEach(keys::add);
  }

  /**
   * Has as many values removed as the transaction has room for.
   *
   * @param isObsolete whether the value is still without use; otherwise it stays
   */
  void addDeletions(LeaderTransaction transaction, Predicate<String> isObsolete) {
    keys.removeIf(isObsolete.negate());
    for (String key : keys) {
      if (!transaction.hasCapacityForDeletion()) {
        return;
      }
      transaction.addDeletion(key);
    }
  }
}
