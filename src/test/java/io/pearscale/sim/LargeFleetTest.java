package io.pearscale.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * 4,000 machines with tens of thousands of tasks, in troubles that hit all of them at once. The
 * rules are checked after every event, and at the end all work must have come right.
 */
class LargeFleetTest {
  private static final int PER_ZONE = 1334;
  private static final List<String> ZONES = List.of("a", "b", "c");

  /** The workers of the large deployments report and keep their leases like this. */
  private static LargeFleetScenarioBuilder day() {
    return new LargeFleetScenarioBuilder(ZONES, PER_ZONE)
        .add("workers report=4 lease=22 cancel=42");
  }

  private static void play(String day) {
    Scenario scenario = Scenario.of(day, 1);
    List<String> failures = scenario.run();
    assertEquals(List.of(), failures.stream().limit(20).toList());
    int tasks = scenario.cluster().starts.values().stream().mapToInt(n -> n).sum();
    assertTrue(tasks > 20_000, "tasks: " + tasks);
  }

  /** The leader ends, then a third of the machines is cut off, then the keys' history is lost. */
  @Test
  void aTakeoverThenTheLossOfAZone() {
    play(
        day()
            .add("at 25 crash leader")
            .add("at 29 start all")
            .cutOff(0, PER_ZONE - 1, 40, 75)
            .add("at 45 discard-store-history")
            .services(300, 2, 0.04)
            .arrays(500, 2, 0.05)
            .until(130));
  }

  /** Jobs are cancelled all at once, the state service is out, and all controllers end. */
  @Test
  void cancelsThenAnOutageThenAnEndOfAll() {
    play(
        day()
            .cancelled(150, 2, 20)
            .add("at 24 alias leader leader-then")
            .add("at 24.1 cut leader-then workers")
            .add("at 30 heal leader-then workers")
            .add("at 34 down state")
            .add("at 64 up state")
            .add("at 72 crash all")
            .add("at 76 start all")
            .services(300, 2, 0.04)
            .arrays(400, 2, 0.05)
            .until(130));
  }
}
