package io.pearscale.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pearscale.drain.DisruptionBudget;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

/**
 * Drains during injected faults. {@link DisruptionBudgetChecker} reads what the agents did, not the
 * ledger: voluntary stops, together with the tasks that were lost before, never exceed the budget.
 */
class DrainRunsTest {
  private static final int RUNS = Integer.getInteger("pearscale.drainRuns", 12);
  private static final long FIRST_SEED = Long.getLong("pearscale.firstSeed", 1);
  private static final int TRANSACTIONS = Integer.getInteger("pearscale.drainSteps", 10);

  /** All jobs have one priority, so nothing is evicted and every stop is voluntary. */
  private static final String SMALL_SCENARIO =
      """
      nodes 3
      zones a b
      type small cpus=8 mem=64 boot=5
      capacity small a ordinary 30
      capacity small b ordinary 30
      machines small a ordinary 4
      machines small b ordinary 4
      team t
      budget t * most-down 1
      at 2 submit wk-1 service tasks=10 cpus=3 priority=normal
      at 3 submit wk-2 batch tasks=12 cpus=1 run=200
      at 14 level 1
      """;

  /** Replaces half of a fleet of 200 machines in steps while machines and controllers fail. */
  private static String replacementScenario(long seed) {
    RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed * 6151);
    StringBuilder text =
        new StringBuilder(
            """
            nodes 3
            zones a b
            type small cpus=8 mem=64 boot=5
            capacity small a ordinary 200
            capacity small b ordinary 200
            machines small a ordinary 100
            machines small b ordinary 100
            team t
            team u
            budget t * most-down-share 0.05
            budget u * most-down 3
            at 14 level 1
            at 25 drain d1 zone=a at-once=12
            """);
    for (int i = 0; i < 30; i++) {
      text.append("at %.2f submit wk-%d service tasks=6 cpus=2\n".formatted(2 + i * 0.1, i));
    }
    for (int i = 30; i < 50; i++) {
      text.append("at %.2f submit wk-%d service tasks=4 cpus=3 team=u\n".formatted(6 + i * 0.1, i));
    }
    for (int i = 0; i < 6; i++) {
      double at = 30 + random.nextDouble() * 200;
      String node = "hive-" + random.nextInt(3);
      String machine = "m-%06d".formatted(random.nextInt(200));
      switch (random.nextInt(5)) {
        case 0 ->
            text.append("at %.2f crash %s\nat %.2f start %s\n".formatted(at, node, at + 4, node));
        case 1 -> text.append("at %.2f freeze %s 12 before-send\n".formatted(at, node));
        case 2 -> text.append("at %.2f down state\nat %.2f up state\n".formatted(at, at + 20));
        case 3 ->
            text.append(
                "at %.2f cut-controller-to-agent %s\nat %.2f heal-controller-to-agent %s\n"
                    .formatted(at, machine, at + 30, machine));
        default ->
            text.append(
                "at %.2f cut %s all\nat %.2f heal %s all\n"
                    .formatted(at, machine, at + 25, machine));
      }
    }
    text.append("until 900\nexpect drain d1 drained\n");
    for (int i = 0; i < 50; i++) {
      text.append("expect wk-%d present %d\n".formatted(i, i < 30 ? 6 : 4));
    }
    return text.toString();
  }

  @TestFactory
  Stream<DynamicTest> steppedReplacementKeepsBudgets() {
    return SeededScenarios.testPerSeed(
        SeededScenarios.seeds(FIRST_SEED, RUNS),
        seed -> {
          Scenario scenario = Scenario.of(replacementScenario(seed), seed);
          List<String> failures = scenario.run();
          assertTrue(failures.isEmpty(), "seed " + seed + ":\n" + String.join("\n", failures));
          assertTrue(
              scenario.cluster().disruptionChecker.voluntaryStops() >= 50,
              "expected at least 50 voluntary stops");
        });
  }

  @TestFactory
  Stream<DynamicTest> leaderFaultAtEachTransaction() {
    return CommitFaultScenarios.testPerFault(
        TRANSACTIONS,
        (fault, number) ->
            SMALL_SCENARIO
                + "at 20 drain d1 zone=a at-once=2\n"
                + "at 20.001 at-commit %d %s\n".formatted(number, fault)
                + "until 300\nexpect drain d1 drained\nexpect wk-1 present 10\n"
                + "expect wk-2 stage done\n");
  }

  /**
   * The checker has a smaller budget than the controllers, so it must report that they exceed it.
   */
  @Test
  void checkerDetectsExceededBudget() {
    String text =
        SMALL_SCENARIO.replace("most-down 1", "most-down 3")
            + "at 20 drain d1 zone=a at-once=4\nuntil 120\n";
    Scenario scenario = Scenario.of(text, 1);
    scenario
        .cluster()
        .disruptionChecker
        .add(new DisruptionBudget("t", Optional.empty(), DisruptionBudget.Kind.MAX_UNAVAILABLE, 1));
    scenario.run();
    assertTrue(
        scenario.cluster().violations.stream()
            .anyMatch(violation -> violation.startsWith("over_budget")),
        () -> String.join("\n", scenario.cluster().log));
    assertEquals(
        List.of(),
        scenario.cluster().violations.stream()
            .filter(violation -> !violation.startsWith("over_budget"))
            .toList());
  }
}
