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
 * Items that share values of the state service, which counts writes and not bytes. Each item has a
 * home, a value and a place in it, for as long as it is kept; what has changed is written with all
 * else that lives in the same value. New items go where a write is due anyway.
 *
 * @param <T> what is kept
 */
public final class RecordPacker<T> {
  /** Places in a value. */
  static final int SLOTS_PER_VALUE = 64;

  /** Where an item lives. */
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

  /** Values may grow up to so many bytes. */
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

  /** Takes an item in where a former leader had put it. */
  void adopt(T item, int bytes, int value, int position) {
    PackedValue<T> packed = packedValue(value);
    packed.items.put(position, item);
    packed.bytes += bytes;
    slots.put(item, new Slot(value, position));
    itemBytes.put(item, bytes);
  }

  /** As above, when the place does not matter. */
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

  /** Gives an item a home, unless it has one. */
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

  Optional<Slot> slotOf(T item) {
    return Optional.ofNullable(slots.get(item));
  }

  /** Lets go of an item; its value shows it until it is written for another reason. */
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

  /** The item's value is to be written at that time at the latest. */
  void markDue(T item, Instant deadline) {
    slotOf(item).ifPresent(slot -> markDue(slot.value, deadline));
  }

  /** The value is to be written at that time at the latest. */
  void markDue(int value, Instant deadline) {
    if (!urgentValues.contains(value)) {
      deadlines.merge(value, deadline, (a, b) -> a.isBefore(b) ? a : b);
    }
  }

  /** Values to be written now. */
  public List<Integer> urgentValues() {
    return List.copyOf(urgentValues);
  }

  /** Values whose time has come. */
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

  /** The value is on its way; whoever finds that it did not arrive says so by {@link #markDue}. */
  public void markSent(int value) {
    urgentValues.remove(value);
    deadlines.remove(value);
  }

  /** What lives in a value, by place. */
  public Map<Integer, T> itemsByPosition(int value) {
    return packedValue(value).items;
  }

  /** All that lives in those values. */
  List<T> itemsIn(Collection<Integer> valueNumbers) {
    List<T> all = new ArrayList<>();
    valueNumbers.forEach(value -> all.addAll(packedValue(value).items.values()));
    return all;
  }

  /** All that has a home, value by value. */
  List<T> allItems() {
    return itemsIn(List.copyOf(values.keySet()));
  }

  /** Whether nothing lives in the value. */
  boolean isEmpty(int value) {
    return packedValue(value).items.isEmpty();
  }
}
