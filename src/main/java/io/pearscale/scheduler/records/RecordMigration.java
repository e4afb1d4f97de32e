package io.pearscale.scheduler.records;

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
 * Migrates the stored records to the schema level in force, a few values at a time and behind all
 * other writes: machine records in the form of another level are rewritten, and records in the
 * previous layout are copied. What is left to do follows from the stored records alone, so a
 * successor goes on where this leader ended, and the migration is idempotent.
 */
final class RecordMigration {
  /** Shortest time between two batches, which leaves the write rate to others. */
  static final Duration BATCH_INTERVAL = Duration.ofSeconds(1);

  /** A batch may take one part in so many of a transaction's mutations. */
  private static final int BATCHES_PER_TRANSACTION = 8;

  private static final int MIN_BATCH_SIZE = 2;

  /** The value into which a record is copied: of placement records, or of machine records. */
  record CopyTarget(boolean placementValue, int value) {}

  /** The numbers of the values to be written next. */
  record Batch(Set<Integer> machineValues, Set<Integer> placementValues) {
    private int size() {
      return machineValues.size() + placementValues.size();
    }
  }

  private final LevelGate gate;
  private final int maxBatchSize;
  private final PreviousLayoutRecords previousLayout;
  private final Map<Integer, Integer> levelByValue = new TreeMap<>();
  private Instant nextBatchAt = Instant.MIN;

  /**
   * Creates a migration that knows of no values.
   *
   * @param gate supplies the schema level in force
   * @param maxMutations the most mutations of a transaction
   * @param previousLayout the records that are not yet copied into the layout in force
   */
  RecordMigration(LevelGate gate, int maxMutations, PreviousLayoutRecords previousLayout) {
    this.gate = gate;
    this.maxBatchSize = Math.max(MIN_BATCH_SIZE, maxMutations / BATCHES_PER_TRANSACTION);
    this.previousLayout = previousLayout;
  }

  /** Takes stock of the stored values of machine records: a term begins. */
  void beginTerm(Map<String, JsonNode> machineValues) {
    levelByValue.clear();
    nextBatchAt = Instant.MIN;
    machineValues.forEach(
        (key, value) -> {
          if (key.startsWith(RecordLayout.POSITIONAL.machinePrefix())) {
            MachineRecordCodec.levelOf(value)
                .ifPresent(level -> levelByValue.put(Keys.valueNumber(key), level));
          }
        });
  }

  /** Notes that a value of machine records was written in the form of the level. */
  void noteWritten(int value, int level) {
    if (RecordLayout.ofLevel(level) == RecordLayout.POSITIONAL) {
      levelByValue.put(value, level);
    }
  }

  /** Notes that a stored value was deleted. */
  void noteDeleted(String key) {
    if (key.startsWith(RecordLayout.POSITIONAL.machinePrefix())) {
      levelByValue.remove(Keys.valueNumber(key));
    }
  }

  /** Whether a batch is to be written now, or the end of the migration. */
  boolean isDue(Instant now) {
    return !gate.currentLevel().migrated() && !now.isBefore(nextBatchAt);
  }

  /**
   * The values of the next batch; none when all that is left is to delete what was copied.
   *
   * @param targetOfCopy the value into which a record is copied; empty if it is not needed any more
   */
  Batch nextBatch(Instant now, Function<Object, Optional<CopyTarget>> targetOfCopy) {
    nextBatchAt = now.plus(BATCH_INTERVAL);
    Batch batch = new Batch(new LinkedHashSet<>(), new LinkedHashSet<>());
    previousLayout.offerUncopied(item -> addToBatch(batch, targetOfCopy.apply(item)));
    if (RecordLayout.ofLevel(gate.currentLevel().writtenLevel()) == RecordLayout.POSITIONAL) {
      for (Map.Entry<Integer, Integer> value : levelByValue.entrySet()) {
        if (value.getValue() != gate.currentLevel().writtenLevel() && batch.size() < maxBatchSize) {
          batch.machineValues.add(value.getKey());
        }
      }
    }
    return batch;
  }

  private boolean addToBatch(Batch batch, Optional<CopyTarget> target) {
    target.ifPresent(
        h -> (h.placementValue ? batch.placementValues : batch.machineValues).add(h.value));
    return batch.size() < maxBatchSize;
  }

  /** Whether all records are migrated, given that this batch was the next one. */
  boolean isComplete(Batch batch) {
    return batch.size() == 0 && previousLayout.isEmpty();
  }

  /** The record of the schema level that says that the migration is complete. */
  JsonNode completedLevel() {
    return gate.migrationCompletedRecord();
  }
}
