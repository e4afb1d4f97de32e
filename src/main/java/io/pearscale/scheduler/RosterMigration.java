package io.pearscale.scheduler;

import com.fasterxml.jackson.databind.JsonNode;
import io.pearscale.storage.Keys;
import io.pearscale.storage.Roster;
import io.pearscale.upgrade.LevelGate;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Rewrites values of the roster that have the form of another level than the one that is written, a
 * few at a time, behind all other writes. What is left to do follows from the records themselves,
 * so a successor goes on where this leader ended, and doing it twice changes nothing.
 */
final class RosterMigration {
  /** Between two batches, the rate of writes is left to others. */
  static final Duration SPACING = Duration.ofSeconds(1);

  /** A batch takes this part of what a transaction may carry. */
  private static final int PART_OF_TRANSACTION = 8;

  private final LevelGate gate;
  private final int batch;
  private final Map<Integer, Integer> levels = new TreeMap<>();
  private Instant next = Instant.MIN;

  /**
   * Makes a migration that knows of no values.
   *
   * @param gate says which level is written
   */
  RosterMigration(LevelGate gate, int mostChanges) {
    this.gate = gate;
    this.batch = Math.max(1, mostChanges / PART_OF_TRANSACTION);
  }

  /** A term begins with these values. */
  void begin(Map<String, JsonNode> roster) {
    levels.clear();
    next = Instant.MIN;
    roster.forEach(
        (key, value) ->
            Roster.levelOf(value).ifPresent(level -> levels.put(Keys.number(key), level)));
  }

  /** The value was written in the form of the level. */
  void written(int value, int level) {
    levels.put(value, level);
  }

  /** The value was removed. */
  void removed(int value) {
    levels.remove(value);
  }

  /** Whether a batch is to be written now, or the end of the migration. */
  boolean isDue(Instant now) {
    return !gate.inForce().migrated() && !now.isBefore(next);
  }

  /** The values of the next batch; none when all have the form that is written. */
  List<Integer> nextBatch(Instant now) {
    next = now.plus(SPACING);
    List<Integer> values = new ArrayList<>();
    for (Map.Entry<Integer, Integer> value : levels.entrySet()) {
      if (value.getValue() != gate.inForce().written() && values.size() < batch) {
        values.add(value.getKey());
      }
    }
    return values;
  }

  /** The record of the level, now that no batch is left. */
  JsonNode completedLevel() {
    return gate.completed();
  }
}
