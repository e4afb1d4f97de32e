package io.pearscale.scheduler;

import io.pearscale.storage.RecordLayout;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Stored values of the layout that is not written any more, and what of them has yet to be copied.
 * A value may be removed once all that it says of something alive stands in the present layout; the
 * roster only after all marks, which name machines by it.
 */
final class PreviousLayoutRecords {
  private final Map<String, Set<Object>> waiting = new TreeMap<>();
  private final Map<Object, List<String>> keysOf = new HashMap<>();

  /** Forgets all values. */
  void clear() {
    waiting.clear();
    keysOf.clear();
  }

  /** A value is stored that says something of these; none if nothing of it is alive. */
  void add(String key, Collection<?> items) {
    Set<Object> copies = waiting.computeIfAbsent(key, k -> new LinkedHashSet<>());
    for (Object item : items) {
      copies.add(item);
      keysOf.computeIfAbsent(item, i -> new ArrayList<>()).add(key);
    }
  }

  /** What is known of it stands in the present layout, or it is gone. */
  void copied(Object item) {
    List<String> keys = keysOf.remove(item);
    if (keys != null) {
      keys.forEach(key -> waiting.getOrDefault(key, new HashSet<>()).remove(item));
    }
  }

  /** The value was removed. */
  void removed(String key) {
    waiting.remove(key);
  }

  /** Whether no value is left. */
  boolean isEmpty() {
    return waiting.isEmpty();
  }

  /** Hands out what has yet to be copied, value by value, until the taker has enough. */
  void offer(Taker taker) {
    for (Set<Object> items : waiting.values()) {
      for (Object item : items) {
        if (!taker.take(item)) {
          return;
        }
      }
    }
  }

  /** Takes what is to be copied next. */
  interface Taker {
    /** Takes it; false when there is no room for more. */
    boolean take(Object item);
  }

  /** Tells of the values that may be removed now. */
  void removable(Consumer<String> take) {
    boolean marksLeft =
        waiting.keySet().stream().anyMatch(k -> RecordLayout.ofPlacementKey(k).isPresent());
    waiting.forEach(
        (key, items) -> {
          boolean isRoster = RecordLayout.ofMachineKey(key).isPresent();
          if (items.isEmpty() && !(isRoster && marksLeft)) {
            take.accept(key);
          }
        });
  }
}
