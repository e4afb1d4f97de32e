package io.pearscale.scheduler;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Values that the state service does not take, since it takes only shorter ones than it did when
 * they were stored. They stay as they are until another layout has copied them; what is to change
 * in them waits, and nothing else does.
 */
final class RefusedValues {
  private static final Logger LOG = LoggerFactory.getLogger(RefusedValues.class);
  private final Set<String> keys = new HashSet<>();

  /** Forgets all. */
  void clear() {
    keys.clear();
  }

  /** Whether the value of the key may go into a transaction. */
  boolean mayWrite(String key) {
    return !keys.contains(key);
  }

  /**
   * A transaction was refused as a whole.
   *
   * @param sizes how long the values in it are
   * @param longest what the service takes for certain
   */
  void note(Map<String, Integer> sizes, int longest) {
    sizes.forEach(
        (key, size) -> {
          if (size > longest && keys.add(key)) {
            LOG.warn("event=value_refused key={} bytes={} longest={}", key, size, longest);
          }
        });
  }
}
