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

/** Which steps may be taken, and how the level's record changes with them. */
class UpgradePlanTest {
  private static final SupportedLevels OLD = new SupportedLevels(0, 0);
  private static final SupportedLevels NEW = new SupportedLevels(0, 1);
  private static final Set<String> HOSTS = Set.of("a", "b", "c");
  private static final SchemaLevel RAISED = new SchemaLevel(1, 1, true);

  private static UpgradePlan plan(SchemaLevel level, Map<String, SupportedLevels> seen) {
    Map<String, MemberSupport> members = new TreeMap<>();
    seen.forEach((host, levels) -> members.put(host, new MemberSupport(levels, 1, "r")));
    return new UpgradePlan(level, HOSTS, members, Map.of());
  }

  private static final Map<String, SupportedLevels> ALL_NEW = Map.of("a", NEW, "b", NEW, "c", NEW);

  private static void refused(Outcome outcome, String reason) {
    assertTrue(assertInstanceOf(Refusal.class, outcome).reasons().contains(reason), "" + outcome);
  }

  @Test
  void theLevelRisesWhenAllWereSeenToSupportIt() {
    assertEquals(
        new LevelChange(new SchemaLevel(1, 1, false)),
        plan(SchemaLevel.UNVERSIONED, ALL_NEW).finalise(NEW, Set.of()));
  }

  @Test
  void whoIsAwayOrOldHoldsItUp() {
    UpgradePlan plan = plan(SchemaLevel.UNVERSIONED, Map.of("a", NEW, "b", OLD));
    refused(plan.finalise(NEW, Set.of()), "b supports 0, not level 1");
    refused(
        plan.finalise(NEW, Set.of()),
        "c was not seen: it is away, or its build does not say what it supports");
    refused(plan.finalise(NEW, Set.of("c")), "b supports 0, not level 1");
  }

  @Test
  void onlyWhoIsAwayCanBeVouchedFor() {
    Map<String, SupportedLevels> seen = Map.of("a", NEW, "b", NEW);
    UpgradePlan plan = plan(SchemaLevel.UNVERSIONED, seen);
    assertInstanceOf(LevelChange.class, plan.finalise(NEW, Set.of("c")));
    refused(plan.finalise(NEW, Set.of("c", "b")), "b is not away");
    refused(plan.finalise(NEW, Set.of("c", "x")), "x is no controller of this cluster");
  }

  @Test
  void oneStepAfterTheOther() {
    SupportedLevels later = new SupportedLevels(0, 2);
    Map<String, SupportedLevels> seen = Map.of("a", later, "b", later, "c", later);
    refused(
        plan(new SchemaLevel(1, 1, false), seen).finalise(later, Set.of()),
        "the records of level 1 are still migrated");
    assertEquals(
        new LevelChange(new SchemaLevel(2, 2, false)),
        plan(RAISED, seen).finalise(later, Set.of()));
    assertInstanceOf(NoChange.class, plan(RAISED, ALL_NEW).finalise(NEW, Set.of()));
  }

  @Test
  void aStepIsTakenBackAndTakenAgain() {
    SchemaLevel back = new SchemaLevel(1, 0, false, true);
    assertEquals(new LevelChange(back), plan(RAISED, ALL_NEW).rollback(NEW));
    assertEquals(
        new LevelChange(back), plan(new SchemaLevel(1, 1, false), ALL_NEW).rollback(NEW), "midway");
    assertInstanceOf(NoChange.class, plan(back, ALL_NEW).rollback(NEW));
    assertEquals(
        new LevelChange(new SchemaLevel(1, 1, false)), plan(back, ALL_NEW).finalise(NEW, Set.of()));
    assertInstanceOf(NoChange.class, plan(SchemaLevel.UNVERSIONED, ALL_NEW).rollback(NEW));
    assertEquals(new SchemaLevel(0, 0, true, true), back.migrationCompleted());
  }

  @Test
  void whatTheLevelBelowCantSayHoldsARollbackUp() {
    UpgradePlan plan =
        new UpgradePlan(
            RAISED, HOSTS, Map.of(), Map.of(Feature.MACHINE_MAINTENANCE, List.of("m-7")));
    refused(plan.rollback(NEW), "level 0 can't say that machines are in maintenance: m-7");
    SupportedLevels later = new SupportedLevels(1, 1);
    refused(plan(RAISED, Map.of("a", later)).rollback(NEW), "a supports 1, not level 0");
    refused(plan(RAISED, ALL_NEW).rollback(later), "this build supports 1");
  }

  @Test
  void theRecordKeepsWhatALaterReleaseAdded() throws MalformedMessageException {
    ObjectNode stored = MessagePack.map().put("level", 1).put("later", "x");
    ObjectNode next = SchemaLevel.parse(stored).rollingBack().toNode(stored);
    assertEquals("x", next.path("later").asText());
    assertEquals(new SchemaLevel(1, 0, false, true), SchemaLevel.parse(next));
  }

  @Test
  void contradictoryRecordsAreNoLevel() {
    assertThrows(
        MalformedMessageException.class,
        () -> SchemaLevel.parse(MessagePack.map().put("level", 0).put("written", 1)));
    assertThrows(
        MalformedMessageException.class,
        () -> MemberSupport.parse(MessagePack.map().put("lowest", 2)));
    assertThrows(
        MalformedMessageException.class,
        () -> MemberSupport.parse(MessagePack.map().put("lowest", 2).put("highest", 1)));
  }
}
