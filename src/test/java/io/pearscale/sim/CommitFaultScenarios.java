package io.pearscale.sim;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.BiFunction;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;

/** Makes a test of each trouble that a leader can meet at each of its next transactions. */
final class CommitFaultScenarios {
  private static final List<String> TROUBLES =
      List.of("crash-before", "crash-after", "crash-late", "freeze");

  private CommitFaultScenarios() {}

  /** A test for each trouble and number of a transaction; the day is written for both. */
  static Stream<DynamicTest> each(int transactions, BiFunction<String, Integer, String> dayOf) {
    return TROUBLES.stream()
        .flatMap(
            trouble ->
                IntStream.rangeClosed(1, transactions)
                    .mapToObj(
                        number ->
                            DynamicTest.dynamicTest(
                                trouble + " at transaction " + number,
                                () -> play(dayOf.apply(trouble, number), number))));
  }

  private static void play(String day, int seed) {
    List<String> failures = Scenario.play(day, seed);
    assertTrue(failures.isEmpty(), String.join("\n", failures));
  }
}
