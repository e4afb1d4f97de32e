package io.pearscale.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.pearscale.protocol.JobSpec;
import io.pearscale.protocol.TaskId;
import io.pearscale.protocol.WorkloadType;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The checker of gangs finds a planted fault of each kind, and none where there is none. */
class GangInvariantCheckerTest {
  private static final Instant START = Instant.EPOCH;
  private static final JobSpec PAIR =
      Scenario.job("wk-1", WorkloadType.GANG, Map.of("tasks", "2", "one-zone", ""));
  private static final TaskId FIRST = new TaskId("wk-1", 0);
  private static final TaskId SECOND = new TaskId("wk-1", 1);

  private final List<String> found = new ArrayList<>();
  private final GangInvariantChecker checker =
      new GangInvariantChecker(
          Duration.ofSeconds(40),
          Duration.ofSeconds(6),
          Duration.ofSeconds(36),
          (rule, what) -> found.add(rule));

  private static Instant at(long second) {
    return START.plusSeconds(second);
  }

  private void arrives(TaskId task, long attempt, String machine, String zone, long second) {
    checker.arrives(PAIR, task, attempt, machine, zone, at(second));
  }

  private void bothRun(long second) {
    arrives(FIRST, 1, "m-1", "a", second);
    arrives(SECOND, 1, "m-2", "a", second);
    checker.runs(FIRST, at(second));
    checker.runs(SECOND, at(second));
  }

  @Test
  void nothingIsFoundWhereAGangIsLostAndStartedAgain() {
    bothRun(0);
    checker.leaves(FIRST, "m-1", at(5));
    checker.leaves(SECOND, "m-2", at(10));
    bothRun(20);
    checker.completes(FIRST, 1);
    checker.leaves(FIRST, "m-1", at(30));
    checker.leaves(SECOND, "m-2", at(30));
    checker.check(at(100));
    assertEquals(List.of(), found);
  }

  @Test
  void aTaskInTwoPlaces() {
    arrives(FIRST, 1, "m-1", "a", 0);
    arrives(FIRST, 2, "m-2", "a", 1);
    assertEquals(List.of("gang_task_twice"), found);
  }

  @Test
  void aTaskInAnotherZoneThanOneThatIsLeft() {
    arrives(FIRST, 1, "m-1", "a", 0);
    arrives(SECOND, 2, "m-2", "b", 1);
    assertEquals(List.of("gang_in_two_zones"), found);
  }

  @Test
  void twoAttemptsThatRun() {
    arrives(FIRST, 1, "m-1", "a", 0);
    arrives(SECOND, 2, "m-2", "a", 0);
    checker.runs(FIRST, at(1));
    checker.runs(SECOND, at(1));
    assertEquals(List.of("gang_under_two_attempts"), found);
  }

  @Test
  void aHalfThatWaitsForTooLong() {
    arrives(FIRST, 1, "m-1", "a", 0);
    checker.check(at(42));
    assertEquals(List.of(), found);
    checker.check(at(43));
    assertEquals(List.of("half_gang_waits"), found);
  }

  @Test
  void aHalfThatRunsOn() {
    bothRun(0);
    checker.leaves(FIRST, "m-1", at(5));
    checker.check(at(19));
    assertEquals(List.of(), found);
    checker.check(at(20));
    assertEquals(List.of("half_gang_runs"), found);
  }

  @Test
  void aHalfThatRunsOnBesideAMachineThatStandsStill() {
    bothRun(0);
    checker.standsStill("m-1", at(5));
    checker.check(at(20));
    assertEquals(List.of("half_gang_runs"), found);
  }

  @Test
  void aMachineThatStoodStillForAMoment() {
    bothRun(0);
    checker.standsStill("m-1", at(5));
    checker.goesOn("m-1", at(8));
    checker.check(at(60));
    assertEquals(List.of(), found);
  }

  @Test
  void aTaskDoneUnderTwoAttempts() {
    checker.completes(FIRST, 1);
    checker.completes(FIRST, 1);
    assertEquals(List.of(), found);
    checker.completes(FIRST, 2);
    assertEquals(List.of("gang_done_twice"), found);
  }

  @Test
  void aGangThatRunsOnAfterItsCancel() {
    bothRun(0);
    checker.cancelIsConfirmed("wk-1", at(10));
    checker.check(at(48));
    assertEquals(List.of(), found);
    checker.check(at(49));
    assertEquals(List.of("gang_after_cancel"), found);
  }
}
