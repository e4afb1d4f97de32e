package io.pearscale.scheduler.model;

import java.time.Duration;
import java.time.Instant;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Names of machines that are known to be gone. Late heartbeats and lists that lag go on to name
 * them for a while, and must not bring them back: not as capacity, nor as a place where tasks may
 * run. How many there are follows from how fast a fleet shrinks, so they are forgotten by age and
 * not by number.
 */
final class MachineTombstones {
  /** Longer than any message was seen to be late, and than any list lags. */
  static final Duration RETENTION = Duration.ofMinutes(15);

  /** The oldest first. */
  private final Map<String, Instant> removedAt = new LinkedHashMap<>();

  /** A machine is gone. */
  void add(String name, Instant now) {
    removedAt.remove(name);
    removedAt.put(name, now);
    Instant expiry = now.minus(RETENTION);
    Iterator<Instant> oldest = removedAt.values().iterator();
    while (oldest.hasNext() && oldest.next().isBefore(expiry)) {
      oldest.remove();
    }
  }

  /** Whether a machine of this name is known to be gone. */
  boolean contains(String name) {
    return removedAt.containsKey(name);
  }
}
