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
 * An upgrade and its rollback with real processes and the operators' own commands, with an older
 * build among the controllers: it is away when the level is raised, rejoins, and takes part again
 * after the rollback. Users submit jobs all the time, and each gets one final answer.
 */
class UpgradeDrillTest {
  private static final int ROUNDS = Integer.getInteger("pearscale.upgradeRounds", 2);
  private static final int PORT = 19500;
  private static final int EXIT_REFUSED = 4;
  private static final SchemaLevel RAISED = new SchemaLevel(1, 1, true);
  private static final SchemaLevel TAKEN_BACK = new SchemaLevel(0, 0, true, /* held= */ true);
  private static final String NEW_BUILD = "(announce-support-s 5)";
  private static final String OLD_BUILD = NEW_BUILD + "\n(highest-level 0)";
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

  /** All records have the level's forms. */
  private boolean isInForce(SchemaLevel level) {
    return drill.world.store.level().equals(level);
  }

  private int announced() {
    return drill.world.store.under("c/member/").size();
  }

  private boolean logHas(int node, String text) throws IOException {
    return Files.readString(drill.loopback.logFile(node)).contains(text);
  }

  @Test
  void raiseRejoinAndRollBackWithAnOlderBuild() throws Exception {
    try (ProcessDrill started = new ProcessDrill(SCENARIO, PORT, folder)) {
      drill = started;
      drill.start(0, OLD_BUILD);
      drill.start(1, NEW_BUILD);
      drill.start(2, NEW_BUILD);
      drill.loopback.play();
      submit("service");
      drill.until("all announce", () -> announced() == LoopbackCluster.NODES);
      for (int round = 0; round < ROUNDS; round++) {
        round();
      }
      drill.until(
          "all jobs end", () -> drill.world.users.values().stream().allMatch(this::hasItsEnd));
      assertEquals(List.of(), drill.loopback.ask(() -> List.copyOf(drill.world.violations)));
    }
  }

  private boolean hasItsEnd(SimUser user) {
    return user.spec.isService()
        ? user.stage.equals("running")
            && drill.world.starts.get(user.spec.id()) == user.spec.tasks()
        : user.stage.equals("done");
  }

  /** One of the two raises the level, and neither raises it twice. */
  private void twoOperatorsAtOnce() throws Exception {
    CompletableFuture<CommandResult> other =
        CompletableFuture.supplyAsync(
            () -> {
              try {
                return drill.run("upgrade", "finalise", "--absent", "hive-0");
              } catch (Exception e) {
                throw new IllegalStateException(e);
              }
            });
    CommandResult one = drill.run("upgrade", "finalise", "--absent", "hive-0");
    String both = one + "\n" + other.join();
    assertTrue(one.text().contains("done:") ^ other.join().text().contains("done:"), both);
    assertEquals(1, drill.loopback.ask(() -> drill.world.store.level().level()), both);
  }

  private void round() throws Exception {
    submit("batch");
    CommandResult refused = drill.run("upgrade", "finalise");
    assertEquals(EXIT_REFUSED, refused.code(), refused.text());
    assertTrue(refused.text().contains("hive-0 supports 0, not level 1"), refused.text());

    drill.loopback.kill(0);
    drill.until("its word ends with the old build", () -> announced() == 2);
    CommandResult unseen = drill.run("upgrade", "finalise");
    assertEquals(EXIT_REFUSED, unseen.code(), unseen.text());
    assertTrue(unseen.text().contains("hive-0 was not seen"), unseen.text());
    submit("batch");
    twoOperatorsAtOnce();
    drill.until("level 1 with all records", () -> isInForce(RAISED));

    drill.start(0, OLD_BUILD);
    submit("batch");
    for (int i = 0; i < 100 && !logHas(0, "event=incompatible_build"); i++) {
      TimeUnit.MILLISECONDS.sleep(100);
    }
    assertTrue(
        logHas(0, "event=incompatible_build"), () -> "the old build took part:\n" + drill.logs());
    assertEquals(2, drill.loopback.ask(this::announced));

    CommandResult back = drill.run("upgrade", "rollback");
    assertEquals(0, back.code(), back.text());
    submit("batch");
    drill.until("level 0 with all records", () -> isInForce(TAKEN_BACK));
    drill.until("the old build takes part", () -> announced() == LoopbackCluster.NODES);
    CommandResult status = drill.run("upgrade", "status");
    assertEquals(0, status.code(), status.text());
    assertTrue(status.text().contains("level in force   0"), status.text());
    Files.writeString(drill.loopback.logFile(0), "");
  }
}
