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
 * Replaces the production version by this build, one process after the other and without operator
 * commands, while jobs are submitted; one process is rolled back in between. A gang does not start
 * until all processes run this build. A process of the older build that restarts alone must not
 * take part, and must leave a stored gang unchanged.
 */
class GangRolloutDrillTest {
  private static final int PORT = 19700;
  private static final int GANG_SIZE = 4;
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
  private String olderClassPath;

  private void startOlderBuild(int node) throws IOException {
    drill.startBuild(olderClassPath, node, OPERATIONS);
  }

  private void replaceWithThisBuild(int node) throws Exception {
    drill.loopback.kill(node);
    drill.loopback.processes().get("hive-" + node).waitFor();
    drill.start(node, OPERATIONS);
    drill.waitUntil("hive-" + node + " announces", () -> announcesHighestLevel(node, 2));
    submitBatch();
  }

  private boolean announcesHighestLevel(int node, int level) {
    return drill.cluster.store.valueContains("c/member/hive-" + node, "\"highest\":" + level);
  }

  private void submitBatch() {
    drill.submit("batch", "tasks=3", "cpus=1", "run=4");
  }

  private String submitGang(int run) {
    return drill.submit("gang", "tasks=" + GANG_SIZE, "cpus=2", "one-zone", "run=" + run);
  }

  private String stage(String job) {
    return drill.cluster.users.get(job).stage;
  }

  private boolean logContains(int node, String text) {
    try {
      return Files.readString(drill.loopback.logFile(node)).contains(text);
    } catch (IOException e) {
      return false;
    }
  }

  private boolean allDone() {
    return drill.cluster.users.values().stream()
        .allMatch(user -> user.spec.isService() || user.stage.equals("done"));
  }

  @Test
  void productionBuildIsReplacedWhileServing() throws Exception {
    Assumptions.assumeTrue(
        ProductionBuild.hasHistory(), "no Git history to build the production version from");
    olderClassPath = ProductionBuild.classPath(Files.createDirectory(folder.resolve("older")));
    try (ProcessDrill started = new ProcessDrill(SCENARIO, PORT, folder)) {
      drill = started;
      for (int node = 0; node < LoopbackCluster.NODES; node++) {
        startOlderBuild(node);
      }
      drill.loopback.startClock();
      String service = drill.submit("service", "tasks=3", "cpus=2");
      drill.waitUntil("the service runs", () -> stage(service).equals("running"));
      String firstGang = rollOutThisBuild();
      String gang = startOlderBuildWithStoredGang();
      drill.waitUntil("all jobs end", this::allDone);
      for (String job : List.of(firstGang, gang)) {
        assertEquals(GANG_SIZE, drill.loopback.call(() -> drill.cluster.starts.get(job)), job);
      }
      assertEquals(0, drill.loopback.call(() -> drill.cluster.gangs.attemptsAborted));
      assertEquals(List.of(), drill.loopback.call(() -> List.copyOf(drill.cluster.violations)));
    }
  }

  /**
   * Replaces one process after the other. A gang that is submitted before the schema level rises
   * waits for the new level.
   */
  private String rollOutThisBuild() throws Exception {
    replaceWithThisBuild(0);
    replaceWithThisBuild(1);
    drill.loopback.kill(0);
    drill.loopback.processes().get("hive-0").waitFor();
    startOlderBuild(0);
    submitBatch();
    drill.waitUntil("hive-0 announces the older build", () -> announcesHighestLevel(0, 1));
    replaceWithThisBuild(0);
    assertLevelSupportedByOlderBuild();
    replaceWithThisBuild(2);
    String firstGang = submitGang(/* run= */ 4);
    drill.waitUntil("the level rises", () -> drill.cluster.store.level().equals(SMALL_VALUES));
    drill.waitUntil("the gang is done", () -> stage(firstGang).equals("done"));
    return firstGang;
  }

  /**
   * While one controller still runs the older build, which supports levels 0 and 1, the level must
   * be below the one of gangs. It is 0, or 1 if a leader of this build raised it: only this build
   * raises levels automatically.
   */
  private void assertLevelSupportedByOlderBuild() {
    int level = drill.loopback.call(() -> drill.cluster.store.level().level());
    String raised = "event=schema_level_raised level=1";
    boolean raisedByThisBuild = logContains(0, raised) || logContains(1, raised);
    assertTrue(level == 0 || (level == 1 && raisedByThisBuild), "level " + level);
  }

  private String startOlderBuildWithStoredGang() throws Exception {
    String gang = submitGang(/* run= */ 12);
    drill.waitUntil("the gang runs", () -> stage(gang).equals("running"));
    for (int node = 0; node < LoopbackCluster.NODES; node++) {
      drill.loopback.kill(node);
      drill.loopback.processes().get("hive-" + node).waitFor();
    }
    startOlderBuild(0);
    drill.waitUntil("the older build does not take part", () -> logContains(0, "event=stays_out"));
    assertTrue(
        drill.loopback.call(() -> drill.cluster.store.valueContains("c/live/" + gang, gang)));
    for (int node = 1; node < LoopbackCluster.NODES; node++) {
      drill.start(node, OPERATIONS);
    }
    return gang;
  }
}
