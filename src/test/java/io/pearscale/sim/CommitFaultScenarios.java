package io.pearscale.sim;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.BiFunction;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;

/** Makes a test of each trouble that a leader can meet at each of its next transactions. */
final class CommitFaultScenarios {
  private static final List<String> FAULTS =
      List.of("crash-before", "crash-after", "crash-late", "freeze");

  private CommitFaultScenarios() {}

  /** A test for each trouble and number of a transaction; the day is written for both. */
  static Stream<DynamicTest> testPerFault(
      int transactions, BiFunction<String, Integer, String> scenarioFor) {
    return FAULTS.stream()
        .flatMap(
            fault ->
                IntStream.rangeClosed(1, transactions)
                    .mapToObj(
                        transaction ->
                            DynamicTest.dynamicTest(
                                fault + " at transaction " + transaction,
                                () -> play(scenarioFor.apply(fault, transaction), transaction))));
  }

  private static void play(String scenario, int seed) {
    List<String> failures = Scenario.play(scenario, seed);
    assertTrue(failures.isEmpty(), String.join("\n", failures));
  }
}
