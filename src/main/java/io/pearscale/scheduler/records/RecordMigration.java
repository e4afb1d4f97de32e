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
 * Migrates the stored records to the schema level in force, a few values at a time and with lower
 * priority than all other writes. Machine records in the form of another level are rewritten, and
 * records in the previous layout are copied. The stored records alone determine the remaining work,
 * so a successor continues where this leader stopped, and the migration is idempotent.
 */
final class RecordMigration {
  /** Minimum interval between two batches, which leaves write capacity for other writes. */
  static final Duration BATCH_INTERVAL = Duration.ofSeconds(1);

  /** The maximum batch size is the maximum number of mutations in a transaction divided by this. */
  private static final int BATCH_SHARE_DIVISOR = 8;

  private static final int MIN_BATCH_SIZE = 2;

  /** The value into which a record is copied; it contains either placement or machine records. */
  record CopyTarget(boolean placementValue, int value) {}

  /** The numbers of the values to be written next. */
  record Batch(Set<Integer> machineValues, Set<Integer> placementValues) {
    private int size() {
      return machineValues.size() + placementValues.size();
    }
  }

  private final LevelGate levelGate;
  private final int maxBatchSize;
  private final PreviousLayoutRecords previousLayout;
  private final Map<Integer, Integer> levelByValue = new TreeMap<>();
  private Instant nextBatchAt = Instant.MIN;

  /**
   * Creates a migration without known values.
   *
   * @param levelGate supplies the schema level in force
   * @param maxMutations maximum number of mutations in a transaction
   * @param previousLayout the records that are not yet copied into the layout in force
   */
  RecordMigration(LevelGate levelGate, int maxMutations, PreviousLayoutRecords previousLayout) {
    this.levelGate = levelGate;
    this.maxBatchSize = Math.max(MIN_BATCH_SIZE, maxMutations / BATCH_SHARE_DIVISOR);
    this.previousLayout = previousLayout;
  }

  /** Determines the schema level of each stored value of machine records at the start of a term. */
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

  /** Records that a value of machine records was written in the form of the given level. */
  void markWritten(int value, int level) {
    if (RecordLayout.ofLevel(level) == RecordLayout.POSITIONAL) {
      levelByValue.put(value, level);
    }
  }

  /** Records that a stored value was deleted. */
  void markDeleted(String key) {
    if (key.startsWith(RecordLayout.POSITIONAL.machinePrefix())) {
      levelByValue.remove(Keys.valueNumber(key));
    }
  }

  /** Returns whether a batch or the end of the migration is due to be written now. */
  boolean isDue(Instant now) {
    return !levelGate.currentLevel().migrated() && !now.isBefore(nextBatchAt);
  }

  /**
   * Returns the values of the next batch; empty if nothing remains to be rewritten or copied.
   *
   * @param targetOfCopy returns the value into which a record is copied; empty if the record is not
   *     needed any more
   */
  Batch nextBatch(Instant now, Function<Object, Optional<CopyTarget>> targetOfCopy) {
    nextBatchAt = now.plus(BATCH_INTERVAL);
    Batch batch = new Batch(new LinkedHashSet<>(), new LinkedHashSet<>());
    previousLayout.offerUncopied(item -> addToBatch(batch, targetOfCopy.apply(item)));
    if (RecordLayout.ofLevel(levelGate.currentLevel().writtenLevel()) == RecordLayout.POSITIONAL) {
      for (Map.Entry<Integer, Integer> value : levelByValue.entrySet()) {
        if (value.getValue() != levelGate.currentLevel().writtenLevel()
            && batch.size() < maxBatchSize) {
          batch.machineValues.add(value.getKey());
        }
      }
    }
    return batch;
  }

  private boolean addToBatch(Batch batch, Optional<CopyTarget> target) {
    target.ifPresent(
        copyTarget ->
            (copyTarget.placementValue ? batch.placementValues : batch.machineValues)
                .add(copyTarget.value));
    return batch.size() < maxBatchSize;
  }

  /**
   * Returns whether all records are migrated, where the given batch is the result of the latest
   * {@link #nextBatch}.
   */
  boolean isComplete(Batch batch) {
    return batch.size() == 0 && previousLayout.isEmpty();
  }

  /** Returns the record of the schema level that marks the migration as complete. */
  JsonNode migrationCompletedRecord() {
    return levelGate.migrationCompletedRecord();
  }
}
