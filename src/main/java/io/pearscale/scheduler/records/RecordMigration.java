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
 * Brings the records into the form that is written, a few values at a time, behind all other
 * writes: values of the roster that have the form of another level are rewritten, and what stands
 * in the other layout is copied. What is left to do follows from the records themselves, so a
 * successor goes on where this leader ended, and doing it twice changes nothing.
 */
final class RecordMigration {
  /** Between two batches, the rate of writes is left to others. */
  static final Duration BATCH_INTERVAL = Duration.ofSeconds(1);

  /** A batch takes this part of what a transaction may carry, and so much at least. */
  private static final int BATCHES_PER_TRANSACTION = 8;

  private static final int MIN_BATCH_SIZE = 2;

  /** In which value something is to stand: of marks, or of the roster. */
  record CopyTarget(boolean placementValue, int value) {}

  /** The values to be written next. */
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
   * Makes a migration that knows of no values.
   *
   * @param gate says which level is written
   * @param previousLayout what stands in the other layout
   */
  RecordMigration(LevelGate gate, int maxMutations, PreviousLayoutRecords previousLayout) {
    this.gate = gate;
    this.maxBatchSize = Math.max(MIN_BATCH_SIZE, maxMutations / BATCHES_PER_TRANSACTION);
    this.previousLayout = previousLayout;
  }

  /** A term begins with these values. */
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

  /** The value was written in the form of the level. */
  void noteWritten(int value, int level) {
    if (RecordLayout.ofLevel(level) == RecordLayout.POSITIONAL) {
      levelByValue.put(value, level);
    }
  }

  /** The key was removed. */
  void noteDeleted(String key) {
    if (key.startsWith(RecordLayout.POSITIONAL.machinePrefix())) {
      levelByValue.remove(Keys.valueNumber(key));
    }
  }

  /** Whether a batch is to be written now, or the end of the migration. */
  boolean isDue(Instant now) {
    return !gate.inForce().migrated() && !now.isBefore(nextBatchAt);
  }

  /**
   * The values of the next batch; none when all that is left is to remove what was copied.
   *
   * @param targetOfCopy in which value a copy is to stand; empty when nothing of it is alive
   */
  Batch nextBatch(Instant now, Function<Object, Optional<CopyTarget>> targetOfCopy) {
    nextBatchAt = now.plus(BATCH_INTERVAL);
    Batch batch = new Batch(new LinkedHashSet<>(), new LinkedHashSet<>());
    previousLayout.offerUncopied(item -> addToBatch(batch, targetOfCopy.apply(item)));
    if (RecordLayout.ofLevel(gate.inForce().writtenLevel()) == RecordLayout.POSITIONAL) {
      for (Map.Entry<Integer, Integer> value : levelByValue.entrySet()) {
        if (value.getValue() != gate.inForce().writtenLevel() && batch.size() < maxBatchSize) {
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

  /** Whether all records have the form that is written, when a batch has turned out like this. */
  boolean isComplete(Batch batch) {
    return batch.size() == 0 && previousLayout.isEmpty();
  }

  /** The record of the level, now that no batch is left. */
  JsonNode completedLevel() {
    return gate.migrationCompletedRecord();
  }
}
