package io.pearscale.scheduler.records;

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
  private final Map<String, Set<Object>> uncopiedByKey = new TreeMap<>();
  private final Map<Object, List<String>> keysByItem = new HashMap<>();

  /** Forgets all values. */
  void clear() {
    uncopiedByKey.clear();
    keysByItem.clear();
  }

  /** A value is stored that says something of these; none if nothing of it is alive. */
  void add(String key, Collection<?> items) {
    Set<Object> uncopied = uncopiedByKey.computeIfAbsent(key, k -> new LinkedHashSet<>());
    for (Object item : items) {
      uncopied.add(item);
      keysByItem.computeIfAbsent(item, i -> new ArrayList<>()).add(key);
    }
  }

  /** What is known of it stands in the present layout, or it is gone. */
  void noteCopied(Object item) {
    List<String> keys = keysByItem.remove(item);
    if (keys != null) {
      keys.forEach(key -> uncopiedByKey.getOrDefault(key, new HashSet<>()).remove(item));
    }
  }

  /** The value was removed. */
  void noteDeleted(String key) {
    uncopiedByKey.remove(key);
  }

  /** Whether no value is left. */
  boolean isEmpty() {
    return uncopiedByKey.isEmpty();
  }

  /** Hands out what has yet to be copied, value by value, until the taker has enough. */
  void offerUncopied(BatchSink sink) {
    for (Set<Object> items : uncopiedByKey.values()) {
      for (Object item : items) {
        if (!sink.accept(item)) {
          return;
        }
      }
    }
  }

  /** Takes what is to be copied next. */
  interface BatchSink {
    /** Takes it; false when there is no room for more. */
    boolean accept(Object item);
  }

  /** Tells of the values that may be removed now. */
  void forEachDeletable(Consumer<String> action) {
    boolean placementValuesLeft =
        uncopiedByKey.keySet().stream().anyMatch(k -> RecordLayout.ofPlacementKey(k).isPresent());
    uncopiedByKey.forEach(
        (key, items) -> {
          boolean isMachineValue = RecordLayout.ofMachineKey(key).isPresent();
          if (items.isEmpty() && !(isMachineValue && placementValuesLeft)) {
            action.accept(key);
          }
        });
  }
}
