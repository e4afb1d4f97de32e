package io.pearscale.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Days on which many jobs are cancelled amid troubles: their tasks must be gone in time. */
class CancelRunsTest {
  private static final int RUNS = Integer.getInteger("pearscale.cancelRuns", 60);
  private static final int MACHINES = Integer.getInteger("pearscale.cancelMachines", 24);
  private static final long FIRST = Long.getLong("pearscale.firstSeed", 1);

  /** Seeds of days on which cancelled tasks went on while a stop counted as sent once. */
  private static final List<Long> FAILED_ONCE = List.of(1847L, 10590L, 12187L);

  private static final long FAILED_ONCE_AT_SIZE = 3016;
  private static final int SIZE = 300;

  @Test
  void cancelledTasksAreGoneInTime() {
    List<String> broken = new ArrayList<>();
    for (long seed = FIRST; seed < FIRST + RUNS; seed++) {
      broken.addAll(brokenRules(seed, MACHINES));
    }
    assertEquals(List.of(), broken);
  }

  @Test
  void daysThatFailedOnce() {
    List<String> broken = new ArrayList<>();
    FAILED_ONCE.forEach(seed -> broken.addAll(brokenRules(seed, 24)));
    broken.addAll(brokenRules(FAILED_ONCE_AT_SIZE, SIZE));
    assertEquals(List.of(), broken);
  }

  private static List<String> brokenRules(long seed, int machines) {
    return Scenario.play(CancelDays.day(seed, machines), seed).stream()
        .filter(CancelRunsTest::isRule)
        .limit(3)
        .map(rule -> "seed " + seed + " on " + machines + " machines: " + rule)
        .toList();
  }

  private static boolean isRule(String failure) {
    return failure.matches(
        "(ran_\\w+|started_cancelled|quota|wrong_place|forgotten|went_back|not_done) at .*");
  }

  /** The checker itself: a worker that ignores one stop command is found out. */
  @Test
  void aCancelledTaskThatIsNotStoppedIsFound() {
    String day =
        """
        nodes 3
        zones a
        type small cpus=8 mem=64
        machines small a ordinary 1
        team t
        at 2 submit wk-1 service tasks=1
        at 10 ignore-kills m-000000
        at 12 cancel wk-1
        until 60
        """;
    List<String> failures = Scenario.play(day, 1);
    assertTrue(failures.stream().anyMatch(f -> f.startsWith("ran_cancelled")), "" + failures);
  }
}
