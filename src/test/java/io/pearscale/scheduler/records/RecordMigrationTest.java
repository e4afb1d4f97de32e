package io.pearscale.scheduler.records;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.pearscale.storage.MachineRecordCodec;
import io.pearscale.storage.Maintenance;
import io.pearscale.transport.MessagePack;
import io.pearscale.upgrade.LevelGate;
import io.pearscale.upgrade.SupportedLevels;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Checks which values a migration selects for its next batch. */
class RecordMigrationTest {
  private static final int MAX_MUTATIONS = 16;
  private final LevelGate gate = new LevelGate(new SupportedLevels(0, 2));
  private final PreviousLayoutRecords previousLayout = new PreviousLayoutRecords();
  private final RecordMigration migration =
      new RecordMigration(gate, MAX_MUTATIONS, previousLayout);
  private Instant now = Instant.EPOCH;

  private void storeLevel(int level, int writtenLevel) {
    JsonNode record =
        MessagePack.map().put("level", level).put("written", writtenLevel).put("migrated", false);
    gate.update(Optional.of(record), 5);
  }

  private static JsonNode machineValue(int level) {
    MachineRecordCodec.MachineRecord machineRecord =
        new MachineRecordCodec.MachineRecord(
            0, "m", "a:1", "t", "z", false, 1, false, Maintenance.IN_SERVICE);
    return MachineRecordCodec.encode(List.of(machineRecord), level);
  }

  /** Maps an item, which is the number of the value to copy it into; "removed" has no target. */
  private Optional<RecordMigration.CopyTarget> targetOfCopy(Object item) {
    return item.equals("removed")
        ? Optional.empty()
        : Optional.of(new RecordMigration.CopyTarget(false, (Integer) item));
  }

  private List<Integer> nextMachineValues() {
    now = now.plus(RecordMigration.BATCH_INTERVAL);
    RecordMigration.Batch batch = migration.nextBatch(now, this::targetOfCopy);
    assertEquals(Set.of(), batch.placementValues());
    return List.copyOf(batch.machineValues());
  }

  @Test
  void nothingIsDueWithoutLevelChange() {
    assertFalse(migration.isDue(now));
  }

  @Test
  void rewritesValuesInBatchesUntilNoneIsLeft() {
    storeLevel(1, 1);
    migration.beginTerm(
        Map.of(
            "c/roster/0",
            machineValue(0),
            "c/roster/3",
            machineValue(0),
            "c/roster/4",
            machineValue(1),
            "c/roster/7",
            machineValue(0),
            "c/roster/9",
            MessagePack.map().set("m", MessagePack.map())));
    assertTrue(migration.isDue(now));
    assertEquals(List.of(0, 3), nextMachineValues());
    assertFalse(migration.isDue(now), "the next batch waits for the batch interval");
    migration.markWritten(0, 1);
    assertEquals(List.of(3, 7), nextMachineValues());
    migration.markWritten(3, 1);
    migration.markDeleted("c/roster/7");
    assertEquals(List.of(), nextMachineValues());
  }

  @Test
  void migratesValueWhoseWriteIsAppliedAfterLevelChange() {
    migration.beginTerm(Map.of("c/roster/0", machineValue(0)));
    storeLevel(1, 1);
    migration.markWritten(0, 0);
    assertEquals(List.of(0), nextMachineValues());
    migration.markWritten(0, 1);
    storeLevel(1, 0);
    assertEquals(List.of(0), nextMachineValues());
  }

  @Test
  void copiesPreviousLayoutInBatchesBeforeDeletingItsValues() {
    storeLevel(2, 2);
    migration.beginTerm(Map.of("c/roster/0", machineValue(0)));
    previousLayout.add("c/marks/0", List.of("removed"));
    previousLayout.add("c/roster/0", List.of(3, 4));
    previousLayout.add("c/roster/1", List.of(4, 5));
    assertEquals(List.of(3, 4), nextMachineValues());
    previousLayout.markCopied(3);
    previousLayout.markCopied(4);
    assertEquals(List.of(5), nextMachineValues());
    previousLayout.markCopied(5);
    previousLayout.markCopied("removed");
    RecordMigration.Batch emptyBatch = migration.nextBatch(now.plusSeconds(9), this::targetOfCopy);
    assertFalse(
        migration.isComplete(emptyBatch), "the values of the previous layout are still stored");
    List<String> deletable = new ArrayList<>();
    previousLayout.forEachDeletable(deletable::add);
    assertEquals(List.of("c/marks/0"), deletable, "placement records refer to machine records");
    previousLayout.markDeleted("c/marks/0");
    previousLayout.forEachDeletable(deletable::add);
    assertEquals(List.of("c/marks/0", "c/roster/0", "c/roster/1"), deletable);
    previousLayout.markDeleted("c/roster/0");
    previousLayout.markDeleted("c/roster/1");
    assertTrue(migration.isComplete(emptyBatch));
  }
}
