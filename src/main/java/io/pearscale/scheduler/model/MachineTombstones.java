package io.pearscale.scheduler.model;

import java.time.Duration;
import java.time.Instant;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Names of deleted machines. Delayed heartbeats and stale machine lists still name them for a
 * while. Such a message must not restore a machine, neither as capacity nor as a place where tasks
 * may be. The number of names depends on how fast the fleet shrinks, so they expire by age rather
 * than by count.
 */
final class MachineTombstones {
  /** Longer than the largest observed message delay and the largest lag of a machine list. */
  static final Duration RETENTION = Duration.ofMinutes(15);

  /** Deletion times by machine name, oldest first. */
  private final Map<String, Instant> deletedAt = new LinkedHashMap<>();

  /** Adds a deleted machine and removes expired names. */
  void add(String name, Instant now) {
    deletedAt.remove(name);
    deletedAt.put(name, now);
    Instant expiry = now.minus(RETENTION);
    Iterator<Instant> oldest = deletedAt.values().iterator();
    while (oldest.hasNext() && oldest.next().isBefore(expiry)) {
      oldest.remove();
    }
  }

  /** Returns whether the machine with this name is known to be deleted. */
  boolean contains(String name) {
    return deletedAt.containsKey(name);
  }
}
