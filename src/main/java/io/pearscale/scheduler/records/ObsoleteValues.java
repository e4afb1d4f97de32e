package io.pearscale.scheduler.records;

import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Predicate;

/** The keys of stored values that contain no needed record and are to be deleted. */
final class ObsoleteValues {
  private final Set<String> keys = new LinkedHashSet<>();

  /** Removes all keys. */
  void clear() {
    keys.clear();
  }

  /** Adds a value to be deleted. */
  void add(String key) {
    keys.add(key);
  }

  /** Removes a value that was deleted or is written again. */
  void remove(String key) {
    keys.remove(key);
  }

  /** Returns whether there is nothing to delete. */
  boolean isEmpty() {
    return keys.isEmpty();
  }

  /** Adds the stored values that are obsolete. */
  void collect(StoredValues stored, Predicate<String> isObsolete) {
    stored.placementValues().keySet().stream().filter(isObsolete).forEach(keys::add);
    stored.machineValues().keySet().stream().filter(isObsolete).forEach(keys::add);
  }

  /**
   * Adds as many deletions as the transaction has capacity for.
   *
   * @param isObsolete returns whether a value is still obsolete; other values stay stored, and
   *     their keys are removed from this set
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
