package io.pearscale.scheduler;

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
  void find(StoredValues stored, Predicate<String> isUnused) {
    stored.marks().keySet().stream().filter(isUnused).forEach(keys::add);
    stored.roster().keySet().stream().filter(isUnused).forEach(keys::add);
  }

  /**
   * Has as many values removed as the transaction has room for.
   *
   * @param isUnused whether the value is still without use; otherwise it stays
   */
  void fill(LeaderTransaction transaction, Predicate<String> isUnused) {
    keys.removeIf(isUnused.negate());
    for (String key : keys) {
      if (!transaction.hasRoomForRemoval()) {
        return;
      }
      transaction.addRemoval(key);
    }
  }
}
