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
  private static final long FIRST = Long.getLong("pearscale.firstSeed", 1);
  private static final int SIZE = Integer.getInteger("pearscale.sessionSize", 300);
  private static final int RUNS_AT_SIZE = Integer.getInteger("pearscale.sessionRunsAtSize", 2);

  @TestFactory
  Stream<DynamicTest> noTaskRunsTwice() {
    return SeededScenarios.rulesHold(
        SeededScenarios.seeds(FIRST, RUNS),
        seed -> LeaseExpiryScenarioGenerator.generate(seed, MACHINES));
  }

  @TestFactory
  Stream<DynamicTest> noTaskRunsTwiceAtSize() {
    return SeededScenarios.rulesHold(
        SeededScenarios.seeds(FIRST, RUNS_AT_SIZE),
        seed -> LeaseExpiryScenarioGenerator.generate(seed, SIZE));
  }
}
