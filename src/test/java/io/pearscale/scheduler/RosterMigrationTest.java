package io.pearscale.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.pearscale.storage.Maintenance;
import io.pearscale.storage.Roster;
import io.pearscale.transport.MessagePack;
import io.pearscale.upgrade.LevelGate;
import io.pearscale.upgrade.SupportedLevels;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Which values a migration has yet to rewrite. */
class RosterMigrationTest {
  private static final int CHANGES = 16;
  private final LevelGate gate = new LevelGate(SupportedLevels.OF_THIS_BUILD);
  private final RosterMigration migration = new RosterMigration(gate, CHANGES);
  private Instant now = Instant.EPOCH;

  private void level(int level, int written) {
    JsonNode record =
        MessagePack.map().put("level", level).put("written", written).put("migrated", false);
    gate.update(Optional.of(record), 5);
  }

  private static JsonNode value(int level) {
    Roster.Entry entry =
        new Roster.Entry(0, "m", "a:1", "t", "z", false, 1, false, Maintenance.NONE);
    return Roster.encode(List.of(entry), level);
  }

  private List<Integer> next() {
    now = now.plus(RosterMigration.SPACING);
    return migration.nextBatch(now);
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
    migration.removed(7);
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
}
