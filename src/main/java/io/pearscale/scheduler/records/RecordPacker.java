package io.pearscale.scheduler.records;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Packs records into shared values of the key-value store, whose rate limit counts writes and not
 * bytes. Each item keeps its slot, which is a value and a position in that value, until the item is
 * removed. A changed item is written together with all other items of its value, so new items are
 * preferably assigned to values that are already due to be written.
 *
 * @param <T> the type of the items, each of which has one record
 */
public final class RecordPacker<T> {
  /** Maximum number of items in a value. */
  static final int SLOTS_PER_VALUE = 64;

  /** The location of an item's record: the number of the value, and the position in it from 0. */
  record Slot(int value, int position) {}

  private static final class PackedValue<T> {
    final TreeMap<Integer, T> items = new TreeMap<>();
    int bytes;
  }

  private final int maxValueBytes;
  private final TreeMap<Integer, PackedValue<T>> values = new TreeMap<>();
  private final Map<T, Slot> slots = new HashMap<>();
  private final Map<T, Integer> itemBytes = new HashMap<>();
  private final Set<Integer> urgentValues = new LinkedHashSet<>();
  private final Map<Integer, Instant> deadlines = new LinkedHashMap<>();

  /**
   * Creates a packer for values of at most the given number of bytes, according to the declared
   * sizes of the items. A larger item is packed alone into a value.
   */
  public RecordPacker(int maxValueBytes) {
    this.maxValueBytes = maxValueBytes;
  }

  private PackedValue<T> packedValue(int number) {
    return values.computeIfAbsent(number, n -> new PackedValue<>());
  }

  private boolean fits(int value, int bytes) {
    PackedValue<T> packed = packedValue(value);
    return packed.items.size() < SLOTS_PER_VALUE
        && (packed.items.isEmpty() || packed.bytes + bytes <= maxValueBytes);
  }

  /** Adds an item in the slot that a previous leader assigned to it. */
  void adopt(T item, int bytes, int value, int position) {
    PackedValue<T> packed = packedValue(value);
    packed.items.put(position, item);
    packed.bytes += bytes;
    slots.put(item, new Slot(value, position));
    itemBytes.put(item, bytes);
  }

  /** Adds an item to a value, in any free position. */
  public void adopt(T item, int bytes, int value) {
    adopt(item, bytes, value, freePosition(value));
  }

  private int freePosition(int value) {
    int position = 0;
    while (packedValue(value).items.containsKey(position)) {
      position++;
    }
    return position;
  }

  /** Assigns a slot to an item, unless it has one. */
  public void assignSlot(T item, int bytes) {
    if (slots.containsKey(item)) {
      return;
    }
    int value = -1;
    for (int candidate : urgentValues) {
      if (fits(candidate, bytes)) {
        value = candidate;
        break;
      }
    }
    for (int candidate = 0; value < 0; candidate++) {
      value = fits(candidate, bytes) ? candidate : -1;
    }
    adopt(item, bytes, value);
  }

  /** Returns the slot of an item; empty if none was assigned. */
  Optional<Slot> slotOf(T item) {
    return Optional.ofNullable(slots.get(item));
  }

  /**
   * Removes an item. The stored value still contains its record until the value is written for
   * another reason.
   */
  public void remove(T item) {
    Slot slot = slots.remove(item);
    if (slot != null) {
      PackedValue<T> packed = packedValue(slot.value);
      packed.items.remove(slot.position);
      packed.bytes -= itemBytes.remove(item);
    }
  }

  /** Marks the item's value to be written with the next transaction. */
  public void markDue(T item) {
    slotOf(item).ifPresent(slot -> markDue(slot.value));
  }

  /** Marks a value to be written with the next transaction. */
  public void markDue(int value) {
    urgentValues.add(value);
    deadlines.remove(value);
  }

  /** Marks the item's value to be written once the deadline has passed, if not earlier. */
  void markDue(T item, Instant deadline) {
    slotOf(item).ifPresent(slot -> markDue(slot.value, deadline));
  }

  /** Marks a value to be written once the deadline has passed, if not earlier. */
  void markDue(int value, Instant deadline) {
    if (!urgentValues.contains(value)) {
      deadlines.merge(value, deadline, (a, b) -> a.isBefore(b) ? a : b);
    }
  }

  /**
   * Returns the values to be written with the next transaction, in the order in which they became
   * due.
   */
  public List<Integer> urgentValues() {
    return List.copyOf(urgentValues);
  }

  /** Returns the values whose deadline has passed. */
  List<Integer> overdueValues(Instant now) {
    List<Integer> overdue = new ArrayList<>();
    deadlines.forEach(
        (value, deadline) -> {
          if (!now.isBefore(deadline)) {
            overdue.add(value);
          }
        });
    return overdue;
  }

  /**
   * Marks a value as sent. If the write is not known to be applied, the caller calls {@link
   * #markDue} again.
   */
  public void markSent(int value) {
    urgentValues.remove(value);
    deadlines.remove(value);
  }

  /** Returns the items of a value, by position. */
  public Map<Integer, T> itemsByPosition(int value) {
    return packedValue(value).items;
  }

  /** Returns the items of the given values. */
  List<T> itemsIn(Collection<Integer> valueNumbers) {
    List<T> all = new ArrayList<>();
    valueNumbers.forEach(value -> all.addAll(packedValue(value).items.values()));
    return all;
  }

  /** Returns all items, ordered by value. */
  List<T> allItems() {
    return itemsIn(List.copyOf(values.keySet()));
  }

  /** Returns whether the value has no items. */
  boolean isEmpty(int value) {
    return packedValue(value).items.isEmpty();
  }
}
