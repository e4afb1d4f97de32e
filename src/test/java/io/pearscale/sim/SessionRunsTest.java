package io.pearscale.sim;

import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Random scenarios in which many machines start new incarnations: no task may be on two machines.
 */
class SessionRunsTest {
  private static final int RUNS = Integer.getInteger("pearscale.sessionRuns", 250);
  private static final int MACHINES = Integer.getInteger("pearscale.sessionMachines", 60);
  private static final long FIRST_SEED = Long.getLong("pearscale.firstSeed", 1);
  private static final int LARGE_FLEET_MACHINES = Integer.getInteger("pearscale.sessionSize", 300);
  private static final int LARGE_FLEET_RUNS = Integer.getInteger("pearscale.sessionRunsAtSize", 2);

  @TestFactory
  Stream<DynamicTest> noTaskRunsTwice() {
    return SeededScenarios.expectNoViolations(
        SeededScenarios.seeds(FIRST_SEED, RUNS),
        seed -> LeaseExpiryScenarioGenerator.generate(seed, MACHINES));
  }

  @TestFactory
  Stream<DynamicTest> noTaskRunsTwiceOnLargeFleet() {
    return SeededScenarios.expectNoViolations(
        SeededScenarios.seeds(FIRST_SEED, LARGE_FLEET_RUNS),
        seed -> LeaseExpiryScenarioGenerator.generate(seed, LARGE_FLEET_MACHINES));
  }
}
