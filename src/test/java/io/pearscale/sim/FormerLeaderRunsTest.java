package io.pearscale.sim;

import java.util.ArrayList;
import java.util.List;
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

  /**
   * Seeds on which a new leader read the machine list before it had recovered the stored records,
   * and then did not count the leases that a former leader may renew.
   */
  private static final List<Long> EARLY_LIST_REGRESSION_SEEDS = List.of(125L, 131L, 269L, 1992L);

  @TestFactory
  Stream<DynamicTest> invariantsHoldBesideFormerLeader() {
    List<Long> seeds = new ArrayList<>(SeededScenarios.seeds(FIRST_SEED, RUNS));
    seeds.addAll(EARLY_LIST_REGRESSION_SEEDS);
    return SeededScenarios.expectNoViolations(
        seeds, seed -> FormerLeaderScenarioGenerator.generate(seed, MACHINES));
  }
}
