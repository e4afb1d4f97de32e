package io.pearscale.scheduler;

import java.time.Duration;
import java.time.Instant;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Names of machines that are known to be gone. Late reports and lists that lag go on to name them
 * for a while, and must not bring them back: not as room, nor as a place where tasks may run. How
 * many there are follows from how fast a fleet shrinks, so they are forgotten by age and not by
 * number.
 */
final class MachineTombstones {
  /** Longer than any message was seen to be late, and than any list lags. */
  static final Duration KEPT = Duration.ofMinutes(15);

  /** The oldest first. */
  private final Map<String, Instant> names = new LinkedHashMap<>();

  /** A machine is gone. */
  void note(String name, Instant now) {
    names.remove(name);
    names.put(name, now);
    Instant limit = now.minus(KEPT);
    Iterator<Instant> oldest = names.values().iterator();
    while (oldest.hasNext() && oldest.next().isBefore(limit)) {
      oldest.remove();
    }
  }

  /** Whether a machine of this name is known to be gone. */
  boolean contains(String name) {
    return names.containsKey(name);
  }
}
