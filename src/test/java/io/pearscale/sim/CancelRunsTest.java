package io.pearscale.sim;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

/**
 * Random scenarios in which many jobs are cancelled during injected faults. The tasks of a
 * cancelled job must stop within the cancel timeout.
 */
class CancelRunsTest {
  private static final int SMALL_FLEET = 24;
  private static final int RUNS = Integer.getInteger("pearscale.cancelRuns", 60);
  private static final int MACHINES = Integer.getInteger("pearscale.cancelMachines", SMALL_FLEET);
  private static final long FIRST_SEED = Long.getLong("pearscale.firstSeed", 1);

  /**
   * Seeds on which cancelled tasks kept running when a stop command was recorded as sent after the
   * first attempt and not repeated.
   */
  private static final List<Long> REGRESSION_SEEDS = List.of(1847L, 10590L, 12187L);

  private static final List<Long> LARGE_FLEET_REGRESSION_SEEDS = List.of(3016L);
  private static final int LARGE_FLEET = 300;

  @TestFactory
  Stream<DynamicTest> cancelledTasksStopInTime() {
    return SeededScenarios.expectNoViolations(
        SeededScenarios.seeds(FIRST_SEED, RUNS),
        seed -> CancellationScenarioGenerator.generate(seed, MACHINES));
  }

  @TestFactory
  Stream<DynamicTest> regressionScenarios() {
    return SeededScenarios.expectNoViolations(
        REGRESSION_SEEDS, seed -> CancellationScenarioGenerator.generate(seed, SMALL_FLEET));
  }

  @TestFactory
  Stream<DynamicTest> largeFleetRegressionScenarios() {
    return SeededScenarios.expectNoViolations(
        LARGE_FLEET_REGRESSION_SEEDS,
        seed -> CancellationScenarioGenerator.generate(seed, LARGE_FLEET));
  }

  /** The checker reports a task that keeps running because its agent ignores the stop command. */
  @Test
  void checkerDetectsUnstoppedCancelledTask() {
    String scenario =
        """
        nodes 3
        zones a
        type small cpus=8 mem=64
        machines small a ordinary 1
        team t
        at 2 submit wk-1 service tasks=1
        at 10 ignore-stops m-000000
        at 12 cancel wk-1
        until 60
        """;
    List<String> failures = Scenario.play(scenario, 1);
    assertTrue(failures.stream().anyMatch(f -> f.startsWith("ran_cancelled")), "" + failures);
  }
}
