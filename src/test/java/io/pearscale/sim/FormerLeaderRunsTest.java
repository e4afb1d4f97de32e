package io.pearscale.sim;

import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Random scenarios in which a former leader is partitioned together with the machines of a zone and
 * still renews their leases, while a new leader hears of them late: no task may be on two machines,
 * and no limit may be exceeded.
 */
class FormerLeaderRunsTest {
  private static final int RUNS = Integer.getInteger("pearscale.formerLeaderRuns", 120);
  private static final int MACHINES = Integer.getInteger("pearscale.formerLeaderMachines", 18);
  private static final long FIRST_SEED = Long.getLong("pearscale.firstSeed", 1);

  @TestFactory
  Stream<DynamicTest> invariantsHoldBesideFormerLeader() {
    return SeededScenarios.expectNoViolations(
        SeededScenarios.seeds(FIRST_SEED, RUNS),
        seed -> FormerLeaderScenarioGenerator.generate(seed, MACHINES));
  }
}
