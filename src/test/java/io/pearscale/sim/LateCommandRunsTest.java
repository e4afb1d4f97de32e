package io.pearscale.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongFunction;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * The random scenarios of the other tests while copies of executed commands arrive late: no attempt
 * that its agent has forgotten may begin again, so no task is on two machines and no cancelled one
 * starts.
 */
class LateCommandRunsTest {
  private static final int RUNS = Integer.getInteger("pearscale.lateCommandRuns", 40);
  private static final long FIRST_SEED = Long.getLong("pearscale.firstSeed", 1);
  private static final int MACHINES = 18;

  /**
   * Seeds on which a copy of a completed task's start, or of one that an agent had lost, began the
   * task again: on two machines, after the cancellation of its job, or above a limit.
   */
  private static final List<Long> REGRESSION_SEEDS = List.of(47L, 52L, 88L, 97L);

  @TestFactory
  Stream<DynamicTest> copiesAmidRandomFaults() {
    return withCopies(RandomRunsTest::scenario);
  }

  @TestFactory
  Stream<DynamicTest> copiesAmidDrains() {
    return withCopies(RandomRunsTest::scenarioWithDrains);
  }

  @TestFactory
  Stream<DynamicTest> copiesAmidGangs() {
    return withCopies(GangRunsTest::scenarioWithGangs);
  }

  @TestFactory
  Stream<DynamicTest> copiesAmidCancels() {
    return withCopies(seed -> CancellationScenarioGenerator.generate(seed, MACHINES));
  }

  @TestFactory
  Stream<DynamicTest> copiesAmidNewIncarnations() {
    return withCopies(seed -> LeaseExpiryScenarioGenerator.generate(seed, MACHINES));
  }

  @TestFactory
  Stream<DynamicTest> copiesBesideFormerLeader() {
    return withCopies(seed -> FormerLeaderScenarioGenerator.generate(seed, MACHINES));
  }

  private static Stream<DynamicTest> withCopies(LongFunction<String> scenarioFor) {
    List<Long> seeds = new ArrayList<>(SeededScenarios.seeds(FIRST_SEED, RUNS));
    seeds.addAll(REGRESSION_SEEDS);
    return SeededScenarios.expectNoViolations(
        seeds, seed -> LateCommandFaults.addTo(scenarioFor.apply(seed), seed));
  }
}
