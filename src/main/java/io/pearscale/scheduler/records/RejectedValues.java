package io.pearscale.scheduler.records;

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
final class RejectedValues {
  private static final Logger LOG = LoggerFactory.getLogger(RejectedValues.class);
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
   * @param valueLengths how long the values in it are
   * @param maxValueBytes what the service takes for certain
   */
  void noteRejection(Map<String, Integer> valueLengths, int maxValueBytes) {
    valueLengths.forEach(
        (key, length) -> {
          if (length > maxValueBytes && keys.add(key)) {
            LOG.warn("event=value_refused key={} bytes={} longest={}", key, length, maxValueBytes);
          }
        });
  }
}
