package io.pearscale.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Collection;
import java.util.List;
import java.util.function.LongFunction;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;

/** Makes a test of each seeded day, so that one that fails can be named and run by itself. */
final class SeededScenarios {
  /** What the world's checker calls the rules that hold on any day. */
  private static final String INVARIANT_VIOLATION =
      "(ran_\\w+|gang_twice|started_cancelled|quota|wrong_place|forgotten|went_back|not_done) at .*";

  private SeededScenarios() {}

  /** So many seeds from the first one on. */
  static List<Long> seeds(long first, int count) {
    return LongStream.range(first, first + count).boxed().toList();
  }

  /** Days on which nothing at all may go wrong. */
  static Stream<DynamicTest> expectNoFailures(
      Collection<Long> seeds, LongFunction<String> scenarioFor) {
    return testPerSeed(
        seeds,
        seed -> {
          List<String> failures = Scenario.play(scenarioFor.apply(seed), seed);
          assertTrue(failures.isEmpty(), "seed " + seed + ":\n" + String.join("\n", failures));
        });
  }

  /** Days on which no rule may be broken, whatever becomes of the work. */
  static Stream<DynamicTest> expectNoViolations(
      Collection<Long> seeds, LongFunction<String> scenarioFor) {
    return testPerSeed(
        seeds, seed -> assertEquals(List.of(), invariantViolations(scenarioFor.apply(seed), seed)));
  }

  /** The first rules that are broken on a day. */
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

  /** A test for each seed, named after it. */
  static Stream<DynamicTest> testPerSeed(Collection<Long> seeds, SeededTest test) {
    return seeds.stream()
        .map(seed -> DynamicTest.dynamicTest("seed " + seed, () -> test.run(seed)));
  }

  /** What is played for a seed. */
  interface SeededTest {
    void run(long seed) throws Exception;
  }
}
