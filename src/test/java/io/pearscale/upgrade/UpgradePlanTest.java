package io.pearscale.upgrade;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.protocol.MalformedMessageException;
import io.pearscale.transport.MessagePack;
import io.pearscale.upgrade.UpgradePlan.LevelChange;
import io.pearscale.upgrade.UpgradePlan.NoChange;
import io.pearscale.upgrade.UpgradePlan.Outcome;
import io.pearscale.upgrade.UpgradePlan.Refusal;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Tests which upgrade steps are allowed, and how they change the stored schema level. */
class UpgradePlanTest {
  private static final SupportedLevels LEVEL_0_ONLY = new SupportedLevels(0, 0);
  private static final SupportedLevels LEVELS_0_TO_1 = new SupportedLevels(0, 1);
  private static final Set<String> CONTROLLER_NAMES = Set.of("a", "b", "c");
  private static final SchemaLevel MIGRATED_TO_LEVEL_1 = new SchemaLevel(1, 1, true);

  private static UpgradePlan plan(
      SchemaLevel level, Map<String, SupportedLevels> levelsByController) {
    Map<String, ControllerSupport> supportByController = new TreeMap<>();
    levelsByController.forEach(
        (controllerName, levels) ->
            supportByController.put(controllerName, new ControllerSupport(levels, 1, "r")));
    return new UpgradePlan(level, CONTROLLER_NAMES, supportByController, Map.of());
  }

  private static final Map<String, SupportedLevels> ALL_SUPPORT_LEVEL_1 =
      Map.of("a", LEVELS_0_TO_1, "b", LEVELS_0_TO_1, "c", LEVELS_0_TO_1);

  private static void assertRefused(Outcome outcome, String reason) {
    assertTrue(assertInstanceOf(Refusal.class, outcome).reasons().contains(reason), "" + outcome);
  }

  @Test
  void levelIsRaisedWhenAllControllersSupportIt() {
    assertEquals(
        new LevelChange(new SchemaLevel(1, 1, false)),
        plan(SchemaLevel.UNVERSIONED, ALL_SUPPORT_LEVEL_1).finalise(LEVELS_0_TO_1, Set.of()));
  }

  @Test
  void absentOrOldControllerBlocksTheUpgrade() {
    UpgradePlan plan = plan(SchemaLevel.UNVERSIONED, Map.of("a", LEVELS_0_TO_1, "b", LEVEL_0_ONLY));
    assertRefused(plan.finalise(LEVELS_0_TO_1, Set.of()), "b supports 0, not level 1");
    assertRefused(
        plan.finalise(LEVELS_0_TO_1, Set.of()),
        "c was not seen: it is away, or its build does not say what it supports");
    assertRefused(plan.finalise(LEVELS_0_TO_1, Set.of("c")), "b supports 0, not level 1");
  }

  @Test
  void onlyAbsentControllersCanBeConfirmedAbsent() {
    Map<String, SupportedLevels> levelsByController =
        Map.of("a", LEVELS_0_TO_1, "b", LEVELS_0_TO_1);
    UpgradePlan plan = plan(SchemaLevel.UNVERSIONED, levelsByController);
    assertInstanceOf(LevelChange.class, plan.finalise(LEVELS_0_TO_1, Set.of("c")));
    assertRefused(plan.finalise(LEVELS_0_TO_1, Set.of("c", "b")), "b is not away");
    assertRefused(
        plan.finalise(LEVELS_0_TO_1, Set.of("c", "x")), "x is no controller of this cluster");
  }

  @Test
  void levelIsRaisedOnlyAfterMigration() {
    SupportedLevels laterBuild = new SupportedLevels(0, 2);
    Map<String, SupportedLevels> levelsByController =
        Map.of("a", laterBuild, "b", laterBuild, "c", laterBuild);
    assertRefused(
        plan(new SchemaLevel(1, 1, false), levelsByController).finalise(laterBuild, Set.of()),
        "the records of level 1 are still migrated");
    assertEquals(
        new LevelChange(new SchemaLevel(2, 2, false)),
        plan(MIGRATED_TO_LEVEL_1, levelsByController).finalise(laterBuild, Set.of()));
    assertInstanceOf(
        NoChange.class,
        plan(MIGRATED_TO_LEVEL_1, ALL_SUPPORT_LEVEL_1).finalise(LEVELS_0_TO_1, Set.of()));
  }

  @Test
  void rollbackCanBeFollowedByAnUpgrade() {
    SchemaLevel rollingBack = new SchemaLevel(1, 0, false, true);
    assertEquals(
        new LevelChange(rollingBack),
        plan(MIGRATED_TO_LEVEL_1, ALL_SUPPORT_LEVEL_1).rollback(LEVELS_0_TO_1));
    assertEquals(
        new LevelChange(rollingBack),
        plan(new SchemaLevel(1, 1, false), ALL_SUPPORT_LEVEL_1).rollback(LEVELS_0_TO_1),
        "during the migration");
    assertInstanceOf(
        NoChange.class, plan(rollingBack, ALL_SUPPORT_LEVEL_1).rollback(LEVELS_0_TO_1));
    assertEquals(
        new LevelChange(new SchemaLevel(1, 1, false)),
        plan(rollingBack, ALL_SUPPORT_LEVEL_1).finalise(LEVELS_0_TO_1, Set.of()));
    assertInstanceOf(
        NoChange.class, plan(SchemaLevel.UNVERSIONED, ALL_SUPPORT_LEVEL_1).rollback(LEVELS_0_TO_1));
    assertEquals(new SchemaLevel(0, 0, true, true), rollingBack.migrationCompleted());
  }

  @Test
  void incompatibleRecordsBlockARollback() {
    UpgradePlan plan =
        new UpgradePlan(
            MIGRATED_TO_LEVEL_1,
            CONTROLLER_NAMES,
            Map.of(),
            Map.of(Feature.MACHINE_MAINTENANCE, List.of("m-7")));
    assertRefused(
        plan.rollback(LEVELS_0_TO_1), "level 0 can't say that machines are in maintenance: m-7");
    SupportedLevels laterBuild = new SupportedLevels(1, 1);
    assertRefused(
        plan(MIGRATED_TO_LEVEL_1, Map.of("a", laterBuild)).rollback(LEVELS_0_TO_1),
        "a supports 1, not level 0");
    assertRefused(
        plan(MIGRATED_TO_LEVEL_1, ALL_SUPPORT_LEVEL_1).rollback(laterBuild),
        "this build supports 1");
  }

  @Test
  void unknownFieldsOfTheRecordAreKept() throws MalformedMessageException {
    ObjectNode stored = MessagePack.map().put("level", 1).put("later", "x");
    ObjectNode next = SchemaLevel.parse(stored).rollingBack().toNode(stored);
    assertEquals("x", next.path("later").asText());
    assertEquals(new SchemaLevel(1, 0, false, true), SchemaLevel.parse(next));
  }

  @Test
  void contradictoryRecordsAreRejected() {
    assertThrows(
        MalformedMessageException.class,
        () -> SchemaLevel.parse(MessagePack.map().put("level", 0).put("written", 1)));
    assertThrows(
        MalformedMessageException.class,
        () -> ControllerSupport.parse(MessagePack.map().put("lowest", 2)));
    assertThrows(
        MalformedMessageException.class,
        () -> ControllerSupport.parse(MessagePack.map().put("lowest", 2).put("highest", 1)));
  }
}
