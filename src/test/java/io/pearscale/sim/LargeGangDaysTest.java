package io.pearscale.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Gangs among services and arrays on large fleets, in troubles that hit many of them at once. The
 * rules are checked after every event, and at the end all work must have come right.
 */
class LargeGangDaysTest {
  private static final List<String> ZONES = List.of("a", "b", "c");

  private static LargeFleetScenarioBuilder day(int perZone) {
    return new LargeFleetScenarioBuilder(ZONES, perZone)
        .add("workers report=4 lease=22 cancel=42")
        .add("announce 10 automatic");
  }

  private static void play(LargeFleetScenarioBuilder day, int gangs) {
    Scenario scenario = Scenario.of(day.until(150), 1);
    List<String> failures = scenario.run();
    assertEquals(List.of(), failures.stream().limit(20).toList());
    int begun = scenario.cluster().gangs.attemptsBegun;
    assertTrue(begun >= gangs, "gangs begun: " + begun);
  }

  /** The leader ends, a zone is cut off, and all controllers end. */
  @Test
  void fifteenHundredMachines() {
    int perZone = 500;
    play(
        day(perZone)
            .add("at 20 crash leader")
            .add("at 24 start all")
            .cutOff(0, perZone - 1, 36, 66)
            .add("at 75 crash all")
            .add("at 78 start all")
            .services(150, 2, 0.04)
            .arrays(150, 2, 0.1)
            .gangs(200, 4, 0.2),
        /* gangs= */ 200);
  }

  /** The leader stands still amid starts, and the state service is out. */
  @Test
  void fourThousandMachines() {
    play(
        day(/* perZone= */ 1334)
            .add("at 22 freeze leader 30")
            .add("at 60 down state")
            .add("at 75 up state")
            .services(300, 2, 0.04)
            .arrays(300, 2, 0.08)
            .gangs(400, 4, 0.12),
        /* gangs= */ 400);
  }
}
