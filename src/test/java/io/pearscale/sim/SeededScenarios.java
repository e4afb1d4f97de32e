package io.pearscale.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Collection;
import java.util.List;
import java.util.function.LongFunction;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;

/** Creates one test per seed, so that a failing seed can be identified and run alone. */
final class SeededScenarios {
  /** Matches the violations of invariants that hold in every scenario, whatever faults occur. */
  private static final String INVARIANT_VIOLATION =
      "(ran_\\w+|gang_twice|started_cancelled|quota|wrong_place|forgotten|went_back|not_done) at .*";

  private SeededScenarios() {}

  /** Returns {@code count} consecutive seeds that start with {@code first}. */
  static List<Long> seeds(long first, int count) {
    return LongStream.range(first, first + count).boxed().toList();
  }

  /** Creates tests that require a run without any failure. */
  static Stream<DynamicTest> expectNoFailures(
      Collection<Long> seeds, LongFunction<String> scenarioFor) {
    return testPerSeed(
        seeds,
        seed -> {
          List<String> failures = Scenario.play(scenarioFor.apply(seed), seed);
          assertTrue(failures.isEmpty(), "seed " + seed + ":\n" + String.join("\n", failures));
        });
  }

  /** Creates tests that require all invariants to hold; unmet expectations are ignored. */
  static Stream<DynamicTest> expectNoViolations(
      Collection<Long> seeds, LongFunction<String> scenarioFor) {
    return testPerSeed(
        seeds, seed -> assertEquals(List.of(), invariantViolations(scenarioFor.apply(seed), seed)));
  }

  /** Runs a scenario and returns its first three invariant violations. */
  static List<String> invariantViolations(String scenario, long seed) {
    return Scenario.play(scenario, seed).stream()
        .filter(SeededScenarios::isInvariantViolation)
        .limit(3)
        .map(violation -> "seed " + seed + ": " + violation)
        .toList();
  }

  private static boolean isInvariantViolation(String failure) {
    return failure.matches(INVARIANT_VIOLATION);
  }

  /** Creates a test for each seed, named after the seed. */
  static Stream<DynamicTest> testPerSeed(Collection<Long> seeds, SeededTest test) {
    return seeds.stream()
        .map(seed -> DynamicTest.dynamicTest("seed " + seed, () -> test.run(seed)));
  }

  /** Runs the test of one seed. */
  interface SeededTest {
    void run(long seed) throws Exception;
  }
}
