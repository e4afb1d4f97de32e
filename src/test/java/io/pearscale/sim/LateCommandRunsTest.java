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
  private static final List<Long> SEEDS = SeededScenarios.seeds(FIRST_SEED, RUNS);
  private static final int MACHINES = 18;

  /**
   * Seeds on which a copy started a completed task after its job was cancelled, since an agent was
   * told to forget it without a higher fencing token.
   */
  private static final List<Long> CANCELLED_REGRESSION_SEEDS = List.of(52L, 282L);

  @TestFactory
  Stream<DynamicTest> copiesAmidRandomFaults() {
    List<Long> seeds = new ArrayList<>(SEEDS);
    seeds.addAll(CANCELLED_REGRESSION_SEEDS);
    return withCopies(seeds, RandomRunsTest::scenario);
  }

  @TestFactory
  Stream<DynamicTest> copiesAmidDrains() {
    return withCopies(SEEDS, RandomRunsTest::scenarioWithDrains);
  }

  @TestFactory
  Stream<DynamicTest> copiesAmidGangs() {
    return withCopies(SEEDS, GangRunsTest::scenarioWithGangs);
  }

  @TestFactory
  Stream<DynamicTest> copiesAmidCancels() {
    return withCopies(SEEDS, seed -> CancellationScenarioGenerator.generate(seed, MACHINES));
  }

  @TestFactory
  Stream<DynamicTest> copiesAmidNewIncarnations() {
    return withCopies(SEEDS, seed -> LeaseExpiryScenarioGenerator.generate(seed, MACHINES));
  }

  @TestFactory
  Stream<DynamicTest> copiesBesideFormerLeader() {
    return withCopies(SEEDS, seed -> FormerLeaderScenarioGenerator.generate(seed, MACHINES));
  }

  private static Stream<DynamicTest> withCopies(
      List<Long> seeds, LongFunction<String> scenarioFor) {
    return SeededScenarios.expectNoViolations(
        seeds, seed -> LateCommandFaults.addTo(scenarioFor.apply(seed), seed));
  }
}
