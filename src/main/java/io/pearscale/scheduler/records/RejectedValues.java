package io.pearscale.scheduler.records;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The values that the store rejects as too long because its limit is lower than when they were
 * first written. They stay stored unchanged until their records are copied into another layout.
 * Changes of their records wait until then; other writes do not wait.
 */
final class RejectedValues {
  private static final Logger LOG = LoggerFactory.getLogger(RejectedValues.class);
  private final Set<String> keys = new HashSet<>();

  /** Removes all rejections. */
  void clear() {
    keys.clear();
  }

  /** Returns whether the key's value may be put into a transaction. */
  boolean mayWrite(String key) {
    return !keys.contains(key);
  }

  /**
   * Records the values that are too long in a transaction that was rejected as a whole.
   *
   * @param valueLengths length in bytes of each value in it, by key
   * @param maxValueBytes length in bytes that the store is certain to accept
   */
  void recordRejection(Map<String, Integer> valueLengths, int maxValueBytes) {
    valueLengths.forEach(
        (key, length) -> {
          if (length > maxValueBytes && keys.add(key)) {
            LOG.warn(
                "event=value_rejected key={} bytes={} max_bytes={}", key, length, maxValueBytes);
          }
        });
  }
}
