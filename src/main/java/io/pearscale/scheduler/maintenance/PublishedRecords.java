package io.pearscale.scheduler.maintenance;

import com.fasterxml.jackson.databind.JsonNode;
import io.pearscale.scheduler.records.LeaderTransaction;
import io.pearscale.scheduler.records.TransactionContributor;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The status values that the leader publishes for operators' commands. No decisions depend on them,
 * so they are written after all other records, only when changed, and at a low rate.
 */
final class PublishedRecords implements TransactionContributor {
  /** Minimum time between two writes. */
  static final Duration WRITE_INTERVAL = Duration.ofSeconds(5);

  private static final Logger LOG = LoggerFactory.getLogger(PublishedRecords.class);

  private final InstantSource clock;
  private final int maxValueBytes;
  private final Map<String, JsonNode> latest = new LinkedHashMap<>();
  private final Map<String, JsonNode> lastWritten = new HashMap<>();
  private final Map<LeaderTransaction, Map<String, JsonNode>> inFlight = new HashMap<>();
  private Instant nextWriteAt = Instant.MIN;

  /** Creates a publisher of values of at most {@code maxValueBytes} bytes. */
  PublishedRecords(InstantSource clock, int maxValueBytes) {
    this.clock = clock;
    this.maxValueBytes = maxValueBytes;
  }

  /** Publishes a value, unless it is too long: the store would reject the whole transaction. */
  void publish(String key, JsonNode value) {
    int length = value.toString().length();
    if (length <= maxValueBytes) {
      latest.put(key, value);
    } else {
      LOG.warn("event=status_too_long key={} length={}", key, length);
    }
  }

  /** Stops publishing values whose keys match. */
  void withdraw(Predicate<String> keys) {
    latest.keySet().removeIf(keys);
    lastWritten.keySet().removeIf(keys);
  }

  /** Discards all values when a term begins or ends. */
  void clear() {
    latest.clear();
    lastWritten.clear();
    inFlight.clear();
  }

  private List<String> changedKeys() {
    List<String> keys = new ArrayList<>();
    latest.forEach(
        (key, value) -> {
          if (!value.equals(lastWritten.get(key))) {
            keys.add(key);
          }
        });
    return keys;
  }

  @Override
  public boolean isDue() {
    return !clock.instant().isBefore(nextWriteAt) && !changedKeys().isEmpty();
  }

  @Override
  public void contribute(LeaderTransaction transaction) {
    if (!isDue()) {
      return;
    }
    nextWriteAt = clock.instant().plus(WRITE_INTERVAL);
    Map<String, JsonNode> included = new HashMap<>();
    for (String key : changedKeys()) {
      if (transaction.hasCapacity()) {
        JsonNode value = latest.get(key);
        transaction.addUntrackedValue(key, value, value.toString().length());
        included.put(key, value);
      }
    }
    inFlight.put(transaction, included);
  }

  @Override
  public void onApplied(LeaderTransaction transaction) {
    lastWritten.putAll(inFlight.getOrDefault(transaction, Map.of()));
    inFlight.remove(transaction);
  }

  @Override
  public void onNotApplied(LeaderTransaction transaction) {
    inFlight.remove(transaction);
  }
}
