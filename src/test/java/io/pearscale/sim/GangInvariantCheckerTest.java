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

/** {@link GangInvariantChecker} reports each kind of violation and accepts valid histories. */
class GangInvariantCheckerTest {
  private static final Instant START = Instant.EPOCH;
  private static final JobSpec GANG_SPEC =
      Scenario.job("wk-1", WorkloadType.GANG, Map.of("tasks", "2", "one-zone", ""));
  private static final TaskId FIRST_TASK = new TaskId("wk-1", 0);
  private static final TaskId SECOND_TASK = new TaskId("wk-1", 1);

  private final List<String> violations = new ArrayList<>();
  private final GangInvariantChecker checker =
      new GangInvariantChecker(
          Duration.ofSeconds(40),
          Duration.ofSeconds(6),
          Duration.ofSeconds(36),
          (rule, what) -> violations.add(rule));

  private static Instant at(long second) {
    return START.plusSeconds(second);
  }

  private void taskArrives(TaskId task, long attempt, String machine, String zone, long second) {
    checker.taskArrived(GANG_SPEC, task, attempt, machine, zone, at(second));
  }

  private void startBothTasks(long second) {
    taskArrives(FIRST_TASK, 1, "m-1", "a", second);
    taskArrives(SECOND_TASK, 1, "m-2", "a", second);
    checker.taskRunning(FIRST_TASK, at(second));
    checker.taskRunning(SECOND_TASK, at(second));
  }

  @Test
  void acceptsGangThatIsLostAndRestarted() {
    startBothTasks(0);
    checker.taskLeft(FIRST_TASK, "m-1", at(5));
    checker.taskLeft(SECOND_TASK, "m-2", at(10));
    startBothTasks(20);
    checker.taskCompleted(FIRST_TASK, 1);
    checker.taskLeft(FIRST_TASK, "m-1", at(30));
    checker.taskLeft(SECOND_TASK, "m-2", at(30));
    checker.check(at(100));
    assertEquals(List.of(), violations);
  }

  @Test
  void detectsTaskOnTwoMachines() {
    taskArrives(FIRST_TASK, 1, "m-1", "a", 0);
    taskArrives(FIRST_TASK, 2, "m-2", "a", 1);
    assertEquals(List.of("gang_task_twice"), violations);
  }

  @Test
  void detectsTasksInTwoZones() {
    taskArrives(FIRST_TASK, 1, "m-1", "a", 0);
    taskArrives(SECOND_TASK, 2, "m-2", "b", 1);
    assertEquals(List.of("gang_in_two_zones"), violations);
  }

  @Test
  void detectsTwoRunningAttempts() {
    taskArrives(FIRST_TASK, 1, "m-1", "a", 0);
    taskArrives(SECOND_TASK, 2, "m-2", "a", 0);
    checker.taskRunning(FIRST_TASK, at(1));
    checker.taskRunning(SECOND_TASK, at(1));
    assertEquals(List.of("gang_under_two_attempts"), violations);
  }

  @Test
  void detectsIncompleteGangThatWaitsTooLong() {
    taskArrives(FIRST_TASK, 1, "m-1", "a", 0);
    checker.check(at(42));
    assertEquals(List.of(), violations);
    checker.check(at(43));
    assertEquals(List.of("half_gang_waits"), violations);
  }

  @Test
  void detectsIncompleteGangThatKeepsRunning() {
    startBothTasks(0);
    checker.taskLeft(FIRST_TASK, "m-1", at(5));
    checker.check(at(19));
    assertEquals(List.of(), violations);
    checker.check(at(20));
    assertEquals(List.of("half_gang_runs"), violations);
  }

  @Test
  void detectsIncompleteGangWithUnresponsiveMachine() {
    startBothTasks(0);
    checker.machineUnresponsive("m-1", at(5));
    checker.check(at(20));
    assertEquals(List.of("half_gang_runs"), violations);
  }

  @Test
  void acceptsBrieflyUnresponsiveMachine() {
    startBothTasks(0);
    checker.machineUnresponsive("m-1", at(5));
    checker.machineResumed("m-1", at(8));
    checker.check(at(60));
    assertEquals(List.of(), violations);
  }

  @Test
  void detectsTaskCompletedUnderTwoAttempts() {
    checker.taskCompleted(FIRST_TASK, 1);
    checker.taskCompleted(FIRST_TASK, 1);
    assertEquals(List.of(), violations);
    checker.taskCompleted(FIRST_TASK, 2);
    assertEquals(List.of("gang_done_twice"), violations);
  }

  @Test
  void detectsGangThatRunsAfterCancel() {
    startBothTasks(0);
    checker.cancelConfirmed("wk-1", at(10));
    checker.check(at(48));
    assertEquals(List.of(), violations);
    checker.check(at(49));
    assertEquals(List.of("gang_after_cancel"), violations);
  }
}
