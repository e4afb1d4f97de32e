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
 * The stored values of the layout that is not written any more, and the records in them that are
 * not yet copied into the layout in force.
 *
 * <p>Invariant: a value is deleted only after every record in it that is still needed is durable in
 * the layout in force. Values of machine records are deleted only after all values of placement
 * records, which refer to them.
 */
final class PreviousLayoutRecords {
  private final Map<String, Set<Object>> uncopiedByKey = new TreeMap<>();
  private final Map<Object, List<String>> keysByItem = new HashMap<>();

  /** Removes all values. */
  void clear() {
    uncopiedByKey.clear();
    keysByItem.clear();
  }

  /** Adds a stored value with the items of its records that are to be copied, if any. */
  void add(String key, Collection<?> items) {
    Set<Object> uncopied = uncopiedByKey.computeIfAbsent(key, k -> new LinkedHashSet<>());
    for (Object item : items) {
      uncopied.add(item);
      keysByItem.computeIfAbsent(item, i -> new ArrayList<>()).add(key);
    }
  }

  /** Marks the item's record as durable in the layout in force or as not needed any more. */
  void markCopied(Object item) {
    List<String> keys = keysByItem.remove(item);
    if (keys != null) {
      keys.forEach(key -> uncopiedByKey.getOrDefault(key, new HashSet<>()).remove(item));
    }
  }

  /** Removes a value that was deleted. */
  void markDeleted(String key) {
    uncopiedByKey.remove(key);
  }

  /** Returns whether no value is left. */
  boolean isEmpty() {
    return uncopiedByKey.isEmpty();
  }

  /**
   * Passes the items that are not yet copied to the sink, one value at a time, until the sink is
   * full.
   */
  void offerUncopied(BatchSink sink) {
    for (Set<Object> items : uncopiedByKey.values()) {
      for (Object item : items) {
        if (!sink.accept(item)) {
          return;
        }
      }
    }
  }

  /** Receives the items to be copied next. */
  interface BatchSink {
    /** Accepts an item; returns false once the batch is full. */
    boolean accept(Object item);
  }

  /** Passes the keys of the values that may be deleted now to the action. */
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
