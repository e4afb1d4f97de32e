package io.pearscale.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Gangs beside services and batch jobs on large fleets, and faults that affect many of them at
 * once. The invariants are checked after every event, and at the end all jobs must be in their
 * expected state.
 */
class LargeGangDaysTest {
  private static final List<String> ZONES = List.of("a", "b", "c");

  private static LargeFleetScenarioBuilder scenarioBuilder(int machinesPerZone) {
    return new LargeFleetScenarioBuilder(ZONES, machinesPerZone)
        .addLine("workers report=4 lease=22 cancel=42")
        .addLine("announce 10 automatic");
  }

  private static void runScenario(LargeFleetScenarioBuilder builder, int gangs) {
    Scenario scenario = Scenario.of(builder.buildUntil(150), 1);
    List<String> failures = scenario.run();
    assertEquals(List.of(), failures.stream().limit(20).toList());
    int attemptsStarted = scenario.cluster().gangs.attemptsStarted;
    assertTrue(attemptsStarted >= gangs, "gang attempts started: " + attemptsStarted);
  }

  /** The leader crashes, a zone is partitioned, and all controllers crash. */
  @Test
  void fifteenHundredMachines() {
    int machinesPerZone = 500;
    runScenario(
        scenarioBuilder(machinesPerZone)
            .addLine("at 20 crash leader")
            .addLine("at 24 start all")
            .partition(0, machinesPerZone - 1, 36, 66)
            .addLine("at 75 crash all")
            .addLine("at 78 start all")
            .services(150, 2, 0.04)
            .arrays(150, 2, 0.1)
            .gangs(200, 4, 0.2),
        /* gangs= */ 200);
  }

  /** The leader is unresponsive while tasks start, then the key-value store is down. */
  @Test
  void fourThousandMachines() {
    runScenario(
        scenarioBuilder(/* machinesPerZone= */ 1334)
            .addLine("at 22 freeze leader 30")
            .addLine("at 60 down state")
            .addLine("at 75 up state")
            .services(300, 2, 0.04)
            .arrays(300, 2, 0.08)
            .gangs(400, 4, 0.12),
        /* gangs= */ 400);
  }
}
