package io.pearscale.scheduler;

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

/** Which values a migration has yet to rewrite. */
class RecordMigrationTest {
  private static final int CHANGES = 16;
  private final LevelGate gate = new LevelGate(new SupportedLevels(0, 2));
  private final PreviousLayoutRecords former = new PreviousLayoutRecords();
  private final RecordMigration migration = new RecordMigration(gate, CHANGES, former);
  private Instant now = Instant.EPOCH;

  private void level(int level, int written) {
    JsonNode record =
        MessagePack.map().put("level", level).put("written", written).put("migrated", false);
    gate.update(Optional.of(record), 5);
  }

  private static JsonNode value(int level) {
    MachineRecordCodec.MachineRecord entry =
        new MachineRecordCodec.MachineRecord(
            0, "m", "a:1", "t", "z", false, 1, false, Maintenance.IN_SERVICE);
    return MachineRecordCodec.encode(List.of(entry), level);
  }

  /** Items are named after the value in which their copy is to stand. */
  private Optional<RecordMigration.Home> homeOfCopy(Object item) {
    return item.equals("gone")
        ? Optional.empty()
        : Optional.of(new RecordMigration.Home(false, (Integer) item));
  }

  private List<Integer> next() {
    now = now.plus(RecordMigration.SPACING);
    RecordMigration.Batch batch = migration.nextBatch(now, this::homeOfCopy);
    assertEquals(Set.of(), batch.marks());
    return List.copyOf(batch.rosters());
  }

  @Test
  void nothingIsDueWhereNoStepIsUnderWay() {
    assertFalse(migration.isDue(now));
  }

  @Test
  void aFewValuesAtATimeUntilNoneIsLeft() {
    level(1, 1);
    migration.begin(
        Map.of(
            "c/roster/0",
            value(0),
            "c/roster/3",
            value(0),
            "c/roster/4",
            value(1),
            "c/roster/7",
            value(0),
            "c/roster/9",
            MessagePack.map().set("m", MessagePack.map())));
    assertTrue(migration.isDue(now));
    assertEquals(List.of(0, 3), next());
    assertFalse(migration.isDue(now), "the rate is left to others");
    migration.written(0, 1);
    assertEquals(List.of(3, 7), next());
    migration.written(3, 1);
    migration.removed("c/roster/7");
    assertEquals(List.of(), next());
  }

  @Test
  void aValueWrittenBeforeASwitchAndAnsweredAfterItIsMigrated() {
    migration.begin(Map.of("c/roster/0", value(0)));
    level(1, 1);
    migration.written(0, 0);
    assertEquals(List.of(0), next());
    migration.written(0, 1);
    level(1, 0);
    assertEquals(List.of(0), next());
  }

  @Test
  void whatStandsInTheOtherLayoutIsCopiedValueByValue() {
    level(2, 2);
    migration.begin(Map.of("c/roster/0", value(0)));
    former.add("c/marks/0", List.of("gone"));
    former.add("c/roster/0", List.of(3, 4));
    former.add("c/roster/1", List.of(4, 5));
    assertEquals(List.of(3, 4), next());
    former.copied(3);
    former.copied(4);
    assertEquals(List.of(5), next());
    former.copied(5);
    former.copied("gone");
    RecordMigration.Batch nothing = migration.nextBatch(now.plusSeconds(9), this::homeOfCopy);
    assertFalse(migration.isOver(nothing), "the former values are still stored");
    List<String> removable = new ArrayList<>();
    former.removable(removable::add);
    assertEquals(List.of("c/marks/0"), removable, "marks name machines by the roster");
    former.removed("c/marks/0");
    former.removable(removable::add);
    assertEquals(List.of("c/marks/0", "c/roster/0", "c/roster/1"), removable);
    former.removed("c/roster/0");
    former.removed("c/roster/1");
    assertTrue(migration.isOver(nothing));
  }
}
