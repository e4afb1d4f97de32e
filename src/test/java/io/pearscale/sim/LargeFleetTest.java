package io.pearscale.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * 4,000 machines with tens of thousands of tasks, and faults that affect many machines at once. The
 * invariants are checked after every event, and at the end all jobs must be in their expected
 * state.
 */
class LargeFleetTest {
  private static final int MACHINES_PER_ZONE = 1334;
  private static final List<String> ZONES = List.of("a", "b", "c");

  /** Uses the heartbeat interval, lease and cancel timeout of the large deployments. */
  private static LargeFleetScenarioBuilder scenarioBuilder() {
    return new LargeFleetScenarioBuilder(ZONES, MACHINES_PER_ZONE)
        .addLine("workers report=4 lease=22 cancel=42");
  }

  private static void runScenario(String text) {
    Scenario scenario = Scenario.of(text, 1);
    List<String> failures = scenario.run();
    assertEquals(List.of(), failures.stream().limit(20).toList());
    int tasks = scenario.cluster().starts.values().stream().mapToInt(n -> n).sum();
    assertTrue(tasks > 20_000, "tasks: " + tasks);
  }

  /**
   * The leader crashes, then a third of the machines is partitioned, then the key-value store
   * discards its change history.
   */
  @Test
  void takeoverThenZoneLoss() {
    runScenario(
        scenarioBuilder()
            .addLine("at 25 crash leader")
            .addLine("at 29 start all")
            .partition(0, MACHINES_PER_ZONE - 1, 40, 75)
            .addLine("at 45 discard-store-history")
            .services(300, 2, 0.04)
            .arrays(500, 2, 0.05)
            .buildUntil(130));
  }

  /**
   * Many jobs are cancelled at once while the leader is partitioned from the agents; then the
   * key-value store is down, and all controllers crash.
   */
  @Test
  void cancelsThenStoreOutageThenRestartOfAllControllers() {
    runScenario(
        scenarioBuilder()
            .cancelledArrays(150, 2, 20)
            .addLine("at 24 alias leader leader-then")
            .addLine("at 24.1 cut leader-then workers")
            .addLine("at 30 heal leader-then workers")
            .addLine("at 34 down state")
            .addLine("at 64 up state")
            .addLine("at 72 crash all")
            .addLine("at 76 start all")
            .services(300, 2, 0.04)
            .arrays(400, 2, 0.05)
            .buildUntil(130));
  }
}
