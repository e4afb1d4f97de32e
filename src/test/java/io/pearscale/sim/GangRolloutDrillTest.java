package io.pearscale.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pearscale.upgrade.SchemaLevel;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Assumptions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The version in production is replaced by this build, process by process, while it serves; one
 * comes back old in between. Nobody types a command. A gang is refused until all are new, and one
 * that is stored is left alone by an old process that comes back, at last alone.
 */
class GangRolloutDrillTest {
  private static final int PORT = 19700;
  private static final int GANG = 4;
  private static final String OPERATIONS = "(announce-support-s 5)";
  private static final SchemaLevel SMALL_VALUES = new SchemaLevel(2, 2, true);
  private static final String SCENARIO =
      """
      nodes 3
      workers report=1 lease=16 cancel=36
      zones a b
      type small cpus=8 mem=64 boot=2
      machines small a ordinary 4
      machines small b ordinary 4
      team t
      """;

  @TempDir Path folder;
  private ProcessDrill drill;
  private String olderBuild;

  private void startOld(int node) throws IOException {
    drill.startOf(olderBuild, node, OPERATIONS);
  }

  private void replace(int node) throws Exception {
    drill.loopback.kill(node);
    drill.loopback.processes().get("hive-" + node).waitFor();
    drill.start(node, OPERATIONS);
    drill.until("hive-" + node + " announces", () -> saysHighest(node, 2));
    submitBatch();
  }

  private boolean saysHighest(int node, int level) {
    return drill.world.store.holds("c/member/hive-" + node, "\"highest\":" + level);
  }

  private void submitBatch() {
    drill.submit("batch", "tasks=3", "cpus=1", "run=4");
  }

  private String submitGang(int run) {
    return drill.submit("gang", "tasks=" + GANG, "cpus=2", "one-zone", "run=" + run);
  }

  private String stage(String job) {
    return drill.world.users.get(job).stage;
  }

  private boolean logHas(int node, String text) {
    try {
      return Files.readString(drill.loopback.logFile(node)).contains(text);
    } catch (IOException e) {
      return false;
    }
  }

  private boolean allDone() {
    return drill.world.users.values().stream()
        .allMatch(user -> user.spec.isService() || user.stage.equals("done"));
  }

  @Test
  void theVersionInProductionIsReplacedWhileItServes() throws Exception {
    Assumptions.assumeTrue(
        ProductionBuild.hasHistory(), "no history to build the older version from");
    olderBuild = ProductionBuild.classPath(Files.createDirectory(folder.resolve("older")));
    try (ProcessDrill started = new ProcessDrill(SCENARIO, PORT, folder)) {
      drill = started;
      for (int node = 0; node < LoopbackCluster.NODES; node++) {
        startOld(node);
      }
      drill.loopback.play();
      String service = drill.submit("service", "tasks=3", "cpus=2");
      drill.until("the service runs", () -> stage(service).equals("running"));
      String early = rollOut();
      String gang = anOldProcessMeetsAStoredGang();
      drill.until("all jobs end", this::allDone);
      for (String job : List.of(early, gang)) {
        assertEquals(GANG, drill.loopback.ask(() -> drill.world.starts.get(job)), job);
      }
      assertEquals(0, drill.loopback.ask(() -> drill.world.gangs.attemptsBroken));
      assertEquals(List.of(), drill.loopback.ask(() -> List.copyOf(drill.world.violations)));
    }
  }

  /** Replaces one after the other; a gang that comes before the level has risen waits for that. */
  private String rollOut() throws Exception {
    replace(0);
    replace(1);
    drill.loopback.kill(0);
    drill.loopback.processes().get("hive-0").waitFor();
    startOld(0);
    submitBatch();
    drill.until("hive-0 is old again", () -> saysHighest(0, 1));
    replace(0);
    assertEquals(0, drill.loopback.ask(() -> drill.world.store.level().level()));
    replace(2);
    String early = submitGang(/* run= */ 4);
    drill.until("the level rises", () -> drill.world.store.level().equals(SMALL_VALUES));
    drill.until("the gang is done", () -> stage(early).equals("done"));
    return early;
  }

  private String anOldProcessMeetsAStoredGang() throws Exception {
    String gang = submitGang(/* run= */ 12);
    drill.until("the gang runs", () -> stage(gang).equals("running"));
    for (int node = 0; node < LoopbackCluster.NODES; node++) {
      drill.loopback.kill(node);
      drill.loopback.processes().get("hive-" + node).waitFor();
    }
    startOld(0);
    drill.until("the old build stays out", () -> logHas(0, "event=stays_out"));
    assertTrue(drill.loopback.ask(() -> drill.world.store.holds("c/live/" + gang, gang)));
    for (int node = 1; node < LoopbackCluster.NODES; node++) {
      drill.start(node, OPERATIONS);
    }
    return gang;
  }
}
