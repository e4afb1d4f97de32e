package io.pearscale.sim;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

/** Days on which many jobs are cancelled amid troubles: their tasks must be gone in time. */
class CancelRunsTest {
  private static final int SMALL = 24;
  private static final int RUNS = Integer.getInteger("pearscale.cancelRuns", 60);
  private static final int MACHINES = Integer.getInteger("pearscale.cancelMachines", SMALL);
  private static final long FIRST = Long.getLong("pearscale.firstSeed", 1);

  /** Seeds of days on which cancelled tasks went on while a stop counted as sent once. */
  private static final List<Long> FAILED_ONCE = List.of(1847L, 10590L, 12187L);

  private static final List<Long> FAILED_ONCE_AT_SIZE = List.of(3016L);
  private static final int SIZE = 300;

  @TestFactory
  Stream<DynamicTest> cancelledTasksAreGoneInTime() {
    return SeededScenarios.expectNoViolations(
        SeededScenarios.seeds(FIRST, RUNS),
        seed -> CancellationScenarioGenerator.day(seed, MACHINES));
  }

  @TestFactory
  Stream<DynamicTest> daysThatFailedOnce() {
    return SeededScenarios.expectNoViolations(
        FAILED_ONCE, seed -> CancellationScenarioGenerator.day(seed, SMALL));
  }

  @TestFactory
  Stream<DynamicTest> daysThatFailedOnceAtSize() {
    return SeededScenarios.expectNoViolations(
        FAILED_ONCE_AT_SIZE, seed -> CancellationScenarioGenerator.day(seed, SIZE));
  }

  /** The checker itself: a worker that ignores one stop command is found out. */
  @Test
  void aCancelledTaskThatIsNotStoppedIsFound() {
    String day =
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
    List<String> failures = Scenario.play(day, 1);
    assertTrue(failures.stream().anyMatch(f -> f.startsWith("ran_cancelled")), "" + failures);
  }
}
