package io.pearscale.scheduler;

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
final class RecordPacker<T> {
  /** Places in a value. */
  static final int PLACES = 64;

  /** Where an item lives. */
  record Home(int shard, int place) {}

  private static final class Shard<T> {
    final TreeMap<Integer, T> items = new TreeMap<>();
    int bytes;
  }

  private final int room;
  private final TreeMap<Integer, Shard<T>> shards = new TreeMap<>();
  private final Map<T, Home> homes = new HashMap<>();
  private final Map<T, Integer> sizes = new HashMap<>();
  private final Set<Integer> urgent = new LinkedHashSet<>();
  private final Map<Integer, Instant> later = new LinkedHashMap<>();

  /** Values may grow up to so many bytes. */
  RecordPacker(int room) {
    this.room = room;
  }

  private Shard<T> shard(int number) {
    return shards.computeIfAbsent(number, n -> new Shard<>());
  }

  private boolean fits(int number, int bytes) {
    Shard<T> s = shard(number);
    return s.items.size() < PLACES && (s.items.isEmpty() || s.bytes + bytes <= room);
  }

  /** Takes an item in where a former leader had put it. */
  void adopt(T item, int bytes, int shard, int place) {
    Shard<T> s = shard(shard);
    s.items.put(place, item);
    s.bytes += bytes;
    homes.put(item, new Home(shard, place));
    sizes.put(item, bytes);
  }

  /** As above, when the place does not matter. */
  void adopt(T item, int bytes, int shard) {
    adopt(item, bytes, shard, freePlace(shard));
  }

  private int freePlace(int shard) {
    int place = 0;
    while (shard(shard).items.containsKey(place)) {
      place++;
    }
    return place;
  }

  /** Gives an item a home, unless it has one. */
  void put(T item, int bytes) {
    if (homes.containsKey(item)) {
      return;
    }
    int number = -1;
    for (int n : urgent) {
      if (fits(n, bytes)) {
        number = n;
        break;
      }
    }
    for (int n = 0; number < 0; n++) {
      number = fits(n, bytes) ? n : -1;
    }
    adopt(item, bytes, number);
  }

  Optional<Home> home(T item) {
    return Optional.ofNullable(homes.get(item));
  }

  /** Lets go of an item; its value shows it until it is written for another reason. */
  void remove(T item) {
    Home h = homes.remove(item);
    if (h != null) {
      Shard<T> s = shard(h.shard);
      s.items.remove(h.place);
      s.bytes -= sizes.remove(item);
    }
  }

  /** The item's value is to be written now. */
  void due(T item) {
    home(item).ifPresent(h -> due(h.shard));
  }

  void due(int shard) {
    urgent.add(shard);
    later.remove(shard);
  }

  /** The item's value is to be written at that time at the latest. */
  void due(T item, Instant when) {
    home(item).ifPresent(h -> due(h.shard, when));
  }

  /** The value is to be written at that time at the latest. */
  void due(int shard, Instant when) {
    if (!urgent.contains(shard)) {
      later.merge(shard, when, (a, b) -> a.isBefore(b) ? a : b);
    }
  }

  /** Values to be written now. */
  List<Integer> urgent() {
    return List.copyOf(urgent);
  }

  /** Values whose time has come. */
  List<Integer> overdue(Instant now) {
    List<Integer> result = new ArrayList<>();
    later.forEach(
        (n, when) -> {
          if (!now.isBefore(when)) {
            result.add(n);
          }
        });
    return result;
  }

  /** The value is on its way; whoever finds that it did not arrive says so by {@link #due}. */
  void sent(int shard) {
    urgent.remove(shard);
    later.remove(shard);
  }

  /** What lives in a value, by place. */
  Map<Integer, T> items(int shard) {
    return shard(shard).items;
  }

  /** All that lives in those values. */
  List<T> itemsOf(Collection<Integer> numbers) {
    List<T> all = new ArrayList<>();
    numbers.forEach(number -> all.addAll(shard(number).items.values()));
    return all;
  }

  /** All that has a home, value by value. */
  List<T> all() {
    return itemsOf(List.copyOf(shards.keySet()));
  }

  /** Whether nothing lives in the value. */
  boolean isEmpty(int shard) {
    return shard(shard).items.isEmpty();
  }
}
