package io.pearscale.scheduler;

import com.fasterxml.jackson.databind.JsonNode;
import io.pearscale.storage.Keys;
import io.pearscale.storage.MachineRecordCodec;
import io.pearscale.storage.RecordLayout;
import io.pearscale.upgrade.LevelGate;
import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * Brings the records into the form that is written, a few values at a time, behind all other
 * writes: values of the roster that have the form of another level are rewritten, and what stands
 * in the other layout is copied. What is left to do follows from the records themselves, so a
 * successor goes on where this leader ended, and doing it twice changes nothing.
 */
final class RecordMigration {
  /** Between two batches, the rate of writes is left to others. */
  static final Duration SPACING = Duration.ofSeconds(1);

  /** A batch takes this part of what a transaction may carry, and so much at least. */
  private static final int PART_OF_TRANSACTION = 8;

  private static final int SMALLEST_BATCH = 2;

  /** In which value something is to stand: of marks, or of the roster. */
  record Home(boolean ofMarks, int value) {}

  /** The values to be written next. */
  record Batch(Set<Integer> rosters, Set<Integer> marks) {
    private int size() {
      return rosters.size() + marks.size();
    }
  }

  private final LevelGate gate;
  private final int most;
  private final PreviousLayoutRecords former;
  private final Map<Integer, Integer> levels = new TreeMap<>();
  private Instant next = Instant.MIN;

  /**
   * Makes a migration that knows of no values.
   *
   * @param gate says which level is written
   * @param former what stands in the other layout
   */
  RecordMigration(LevelGate gate, int mostChanges, PreviousLayoutRecords former) {
    this.gate = gate;
    this.most = Math.max(SMALLEST_BATCH, mostChanges / PART_OF_TRANSACTION);
    this.former = former;
  }

  /** A term begins with these values. */
  void begin(Map<String, JsonNode> roster) {
    levels.clear();
    next = Instant.MIN;
    roster.forEach(
        (key, value) -> {
          if (key.startsWith(RecordLayout.POSITIONAL.machinePrefix())) {
            MachineRecordCodec.levelOf(value)
                .ifPresent(level -> levels.put(Keys.valueNumber(key), level));
          }
        });
  }

  /** The value was written in the form of the level. */
  void written(int value, int level) {
    if (RecordLayout.ofLevel(level) == RecordLayout.POSITIONAL) {
      levels.put(value, level);
    }
  }

  /** The key was removed. */
  void removed(String key) {
    if (key.startsWith(RecordLayout.POSITIONAL.machinePrefix())) {
      levels.remove(Keys.valueNumber(key));
    }
  }

  /** Whether a batch is to be written now, or the end of the migration. */
  boolean isDue(Instant now) {
    return !gate.inForce().migrated() && !now.isBefore(next);
  }

  /**
   * The values of the next batch; none when all that is left is to remove what was copied.
   *
   * @param homeOfCopy in which value a copy is to stand; empty when nothing of it is alive
   */
  Batch nextBatch(Instant now, Function<Object, Optional<Home>> homeOfCopy) {
    next = now.plus(SPACING);
    Batch batch = new Batch(new LinkedHashSet<>(), new LinkedHashSet<>());
    former.offer(item -> take(batch, homeOfCopy.apply(item)));
    if (RecordLayout.ofLevel(gate.inForce().writtenLevel()) == RecordLayout.POSITIONAL) {
      for (Map.Entry<Integer, Integer> value : levels.entrySet()) {
        if (value.getValue() != gate.inForce().writtenLevel() && batch.size() < most) {
          batch.rosters.add(value.getKey());
        }
      }
    }
    return batch;
  }

  private boolean take(Batch batch, Optional<Home> home) {
    home.ifPresent(h -> (h.ofMarks ? batch.marks : batch.rosters).add(h.value));
    return batch.size() < most;
  }

  /** Whether all records have the form that is written, when a batch has turned out like this. */
  boolean isOver(Batch batch) {
    return batch.size() == 0 && former.isEmpty();
  }

  /** The record of the level, now that no batch is left. */
  JsonNode completedLevel() {
    return gate.migrationCompletedRecord();
  }
}
