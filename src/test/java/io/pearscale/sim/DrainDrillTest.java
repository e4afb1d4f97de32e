package io.pearscale.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pearscale.sim.ProcessDrill.CommandResult;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs two drains with real processes and the CLI, and kills the leader's process while they are in
 * progress. Each piece of status that an operator needs must be available from one command.
 */
class DrainDrillTest {
  private static final int PORT = 19600;
  private static final int EXIT_ARGUMENTS = 2;
  private static final int EXIT_REFUSED = 4;
  private static final String OPERATIONS =
      """
      (announce-support-s 10)
      (automatic-level off)
      (drains on)
      (budget * * most-down 1)
      (window never-now Asia/Tokyo mon 03:00 03:01)
      """;
  private static final String SCENARIO =
      """
      nodes 3
      workers report=1 lease=16 cancel=36
      zones a b
      type small cpus=8 mem=64 boot=2
      capacity small a ordinary 4
      capacity small b ordinary 4
      machines small a ordinary 3
      machines small b ordinary 3
      team t
      budget * * most-down 1
      """;

  @TempDir Path folder;
  private ProcessDrill drill;

  private CommandResult runExpecting(int exitCode, String text, String... arguments)
      throws Exception {
    CommandResult result = drill.runCommand(arguments);
    assertEquals(exitCode, result.code(), result.text() + drill.logs());
    assertTrue(result.text().contains(text), result.text());
    return result;
  }

  private boolean drainHasState(String id, String state) {
    return drill.cluster.store.valueContains("c/drain-status/" + id, "\"state\":\"" + state + "\"");
  }

  private boolean hasRunningTasks(String job, int tasks) {
    return drill.cluster.runningTasks.stream().filter(p -> p.task().job().equals(job)).count()
        == tasks;
  }

  @Test
  void drainsCompleteAcrossLeaderTakeover() throws Exception {
    try (ProcessDrill started = new ProcessDrill(SCENARIO, PORT, folder)) {
      drill = started;
      for (int i = 0; i < LoopbackCluster.NODES; i++) {
        drill.start(i, OPERATIONS);
      }
      drill.loopback.startClock();
      String job = drill.submit("service", "tasks=6", "cpus=2");
      drill.waitUntil("the replicas run", () -> hasRunningTasks(job, 6));
      runExpecting(EXIT_REFUSED, "level 1", "drain", "start", "d1", "--zone", "a");
      drill.waitUntil(
          "all controllers announce their build",
          () -> drill.cluster.store.entriesWithPrefix("c/member/").size() == 3);
      runExpecting(0, "done:", "upgrade", "finalise");
      checkRefusals();

      runExpecting(0, "would drain", "drain", "start", "d1", "--zone", "a", "--dry-run");
      runExpecting(
          0, "asked for drain d1", "drain", "start", "d1", "--zone", "a", "--at-once", "50%");
      runExpecting(EXIT_REFUSED, "it is not over", "drain", "forget", "d1");
      runExpecting(
          0, "asked for drain d2", "drain", "start", "d2", "--hold", "--network", "127.1.0.4/32");
      runExpecting(0, "leading", "leases");
      String leader = drill.loopback.call(() -> drill.cluster.store.leader().orElseThrow());
      drill.loopback.kill(Integer.parseInt(leader.substring(leader.length() - 1)));
      drill.waitUntil("d1 ends", () -> drainHasState("d1", "drained"));
      drill.waitUntil("d2 ends", () -> drainHasState("d2", "drained"));
      drill.waitUntil("the replicas run again", () -> hasRunningTasks(job, 6));

      runExpecting(0, "out of service for drain d2", "why", "m-000003");
      runExpecting(0, "budget * * most-down 1", "budget");
      runExpecting(0, "6 tasks, 6 of them have a machine", "why", job);
      runExpecting(0, "CANCEL", "drain", "cancel", "d2");
      drill.waitUntil("d2 is cancelled", () -> drainHasState("d2", "cancelled"));
      runExpecting(0, "cancelled", "drain", "show", "d2");
      runExpecting(0, "forgot drain d2", "drain", "forget", "d2");
      runExpecting(EXIT_ARGUMENTS, "no drain is called d2", "drain", "show", "d2");
      assertEquals(List.of(), drill.loopback.call(() -> List.copyOf(drill.cluster.violations)));
    }
  }

  private void checkRefusals() throws Exception {
    runExpecting(EXIT_REFUSED, "no machine is known", "drain", "start", "d1", "--zone", "x");
    runExpecting(
        EXIT_REFUSED, "no such machine: m-9", "drain", "start", "d1", "--machines", "m-000001,m-9");
    runExpecting(EXIT_ARGUMENTS, "10.1.4.7/22", "drain", "start", "d1", "--network", "10.1.4.7/22");
    runExpecting(
        EXIT_ARGUMENTS, "no such window", "drain", "start", "d1", "--all", "--window", "x");
    runExpecting(EXIT_ARGUMENTS, "expected", "drain", "start", "D 1", "--all");
    runExpecting(EXIT_ARGUMENTS, "1% to 100%", "drain", "start", "d1", "--all", "--at-once", "0%");
    runExpecting(EXIT_ARGUMENTS, "no drain is called d9", "drain", "pause", "d9");
    runExpecting(EXIT_ARGUMENTS, "no job is called wk-99", "why", "wk-99");
  }
}
