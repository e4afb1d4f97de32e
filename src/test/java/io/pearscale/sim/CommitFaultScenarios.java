package io.pearscale.sim;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.BiFunction;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;

/** Creates a test for each injected fault at each of a leader's next transactions. */
final class CommitFaultScenarios {
  private static final List<String> FAULTS =
      List.of("crash-before", "crash-after", "crash-late", "freeze");

  private CommitFaultScenarios() {}

  /**
   * Creates a test for each combination of fault and transaction.
   *
   * @param transactions how many transactions, counted from 1, get a fault
   * @param scenarioFor returns the scenario text for a fault and the number of a transaction
   */
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
