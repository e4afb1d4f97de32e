package io.pearscale.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pearscale.sim.ProcessDrill.CommandResult;
import io.pearscale.upgrade.SchemaLevel;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Upgrades and rolls back with real processes and the CLI. One controller has an older build: it is
 * down when the schema level is raised, must not take part when it restarts, and takes part again
 * after the rollback. Jobs are submitted throughout, and each must reach its final state.
 */
class UpgradeDrillTest {
  private static final int ROUNDS = Integer.getInteger("pearscale.upgradeRounds", 2);
  private static final int PORT = 19500;
  private static final int EXIT_REFUSED = 4;
  private static final SchemaLevel LEVEL_1_MIGRATED = new SchemaLevel(1, 1, true);
  private static final SchemaLevel LEVEL_1_HELD = new SchemaLevel(1, 1, true, /* held= */ true);
  private static final SchemaLevel LEVEL_2_MIGRATED = new SchemaLevel(2, 2, true);
  private static final SchemaLevel LEVEL_0_HELD = new SchemaLevel(0, 0, true, /* held= */ true);
  private static final String NEW_BUILD_OPERATIONS = "(announce-support-s 5)";
  private static final String OLD_BUILD_OPERATIONS = NEW_BUILD_OPERATIONS + "\n(highest-level 0)";
  private static final String SCENARIO =
      """
      nodes 3
      workers report=1 lease=16 cancel=36
      zones a b
      type small cpus=8 mem=64 boot=2
      machines small a ordinary 3
      machines small b ordinary 3
      team t
      """;

  @TempDir Path folder;
  private ProcessDrill drill;

  private void submit(String kind) {
    drill.submit(kind, "tasks=3", "cpus=1", "run=4");
  }

  /**
   * Returns whether the stored schema level equals the given one, including its migration state.
   */
  private boolean storedLevelIs(SchemaLevel level) {
    return drill.cluster.store.level().equals(level);
  }

  private int announcedMembers() {
    return drill.cluster.store.entriesWithPrefix("c/member/").size();
  }

  private boolean logContains(int node, String text) throws IOException {
    return Files.readString(drill.loopback.logFile(node)).contains(text);
  }

  @Test
  void raiseRejoinAndRollBackWithAnOlderBuild() throws Exception {
    try (ProcessDrill started = new ProcessDrill(SCENARIO, PORT, folder)) {
      drill = started;
      drill.start(0, OLD_BUILD_OPERATIONS);
      drill.start(1, NEW_BUILD_OPERATIONS);
      drill.start(2, NEW_BUILD_OPERATIONS);
      drill.loopback.startClock();
      submit("service");
      drill.waitUntil(
          "all controllers announce their build",
          () -> announcedMembers() == LoopbackCluster.NODES);
      for (int round = 0; round < ROUNDS; round++) {
        runRound();
      }
      drill.waitUntil(
          "all jobs end",
          () -> drill.cluster.users.values().stream().allMatch(this::hasFinalState));
      assertEquals(List.of(), drill.loopback.call(() -> List.copyOf(drill.cluster.violations)));
    }
  }

  private boolean hasFinalState(SimUser user) {
    return user.spec.isService()
        ? user.stage.equals("running")
            && drill.cluster.starts.get(user.spec.id()) == user.spec.tasks()
        : user.stage.equals("done");
  }

  /**
   * Of two concurrent finalise commands exactly one raises the level, and only by one. On a busy
   * machine the second process may start only after the migration that the first one began is
   * complete; it then raises the level by the next step, which is rolled back here.
   *
   * @return the level that is in force once all records are migrated; held only after the rollback
   */
  private SchemaLevel finaliseConcurrently() throws Exception {
    CompletableFuture<CommandResult> first =
        CompletableFuture.supplyAsync(
            () -> {
              try {
                return drill.runCommand("upgrade", "finalise", "--absent", "hive-0");
              } catch (Exception e) {
                throw new IllegalStateException(e);
              }
            });
    CommandResult second = drill.runCommand("upgrade", "finalise", "--absent", "hive-0");
    String outputs = second + "\n" + first.join();
    if (raisedOneAfterTheOther(second, first.join())) {
      drill.waitUntil("level 2 with all records", () -> storedLevelIs(LEVEL_2_MIGRATED));
      CommandResult rollback = drill.runCommand("upgrade", "rollback");
      assertEquals(0, rollback.code(), outputs + rollback.text());
      return LEVEL_1_HELD;
    }
    assertTrue(second.text().contains("done:") ^ first.join().text().contains("done:"), outputs);
    assertEquals(1, drill.loopback.call(() -> drill.cluster.store.level().level()), outputs);
    return LEVEL_1_MIGRATED;
  }

  /** Returns whether one command raised the level to 1 and the other one from 1 to 2. */
  private static boolean raisedOneAfterTheOther(CommandResult one, CommandResult other) {
    return (raisedTo(1, one) && raisedTo(2, other)) || (raisedTo(2, one) && raisedTo(1, other));
  }

  private static boolean raisedTo(int level, CommandResult result) {
    return result.text().contains("done: {\"level\":" + level + ",");
  }

  private void runRound() throws Exception {
    submit("batch");
    CommandResult refused = drill.runCommand("upgrade", "finalise");
    assertEquals(EXIT_REFUSED, refused.code(), refused.text());
    assertTrue(refused.text().contains("hive-0 supports 0, not level 1"), refused.text());

    drill.loopback.kill(0);
    drill.waitUntil("the older build's member record expires", () -> announcedMembers() == 2);
    CommandResult missingMember = drill.runCommand("upgrade", "finalise");
    assertEquals(EXIT_REFUSED, missingMember.code(), missingMember.text());
    assertTrue(missingMember.text().contains("hive-0 was not seen"), missingMember.text());
    submit("batch");
    SchemaLevel finalised = finaliseConcurrently();
    drill.waitUntil("level 1 with all records", () -> storedLevelIs(finalised));

    drill.start(0, OLD_BUILD_OPERATIONS);
    submit("batch");
    for (int i = 0; i < 100 && !logContains(0, "event=incompatible_build"); i++) {
      TimeUnit.MILLISECONDS.sleep(100);
    }
    assertTrue(
        logContains(0, "event=incompatible_build"),
        () -> "the older build did not stay out:\n" + drill.logs());
    assertEquals(2, drill.loopback.call(this::announcedMembers));

    CommandResult rollback = drill.runCommand("upgrade", "rollback");
    assertEquals(0, rollback.code(), rollback.text());
    submit("batch");
    drill.waitUntil("level 0 with all records", () -> storedLevelIs(LEVEL_0_HELD));
    drill.waitUntil(
        "the older build takes part", () -> announcedMembers() == LoopbackCluster.NODES);
    CommandResult status = drill.runCommand("upgrade", "status");
    assertEquals(0, status.code(), status.text());
    assertTrue(status.text().contains("level in force   0"), status.text());
    Files.writeString(drill.loopback.logFile(0), "");
  }
}
