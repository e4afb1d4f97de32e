package io.pearscale.gang;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pearscale.gang.GangAttempt.Action;
import io.pearscale.gang.GangAttempt.Phase;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests when the attempts of a gang start, are completed and end. */
class GangAttemptTest {
  private static final Instant START = Instant.EPOCH.plusSeconds(100);
  private static final Duration FORMATION_TIMEOUT = Duration.ofSeconds(40);
  private final GangAttempt gang = new GangAttempt(3, FORMATION_TIMEOUT);

  private static List<Member> members(MemberStage... stages) {
    return Arrays.stream(stages).map(stage -> new Member(7, stage, false)).toList();
  }

  private Action nextAction(MemberStage... stages) {
    return gang.nextAction(members(stages), START.plusSeconds(1));
  }

  private void formGang() {
    gang.begin(7, START);
    nextAction(MemberStage.SENT, MemberStage.SENT, MemberStage.FETCHING);
  }

  @Test
  void startsAllTasksOfVacantGang() {
    assertEquals(Action.START, nextAction());
    assertEquals(Optional.empty(), gang.number());
  }

  @Test
  void replacesTaskLostBeforeRunningUnderSameAttemptNumber() {
    formGang();
    assertEquals(
        Action.NONE, nextAction(MemberStage.WAITING, MemberStage.WAITING, MemberStage.SENT));
    assertEquals(Action.COMPLETE, nextAction(MemberStage.WAITING, MemberStage.WAITING));
    assertEquals(Optional.of(7L), gang.number());
    assertEquals(
        Action.END,
        gang.nextAction(members(MemberStage.WAITING, MemberStage.WAITING), START.plusSeconds(36)),
        "a replacement could not fetch its image before the others time out");
  }

  @Test
  void doesNotReplaceTaskWhileItIsStopping() {
    formGang();
    List<Member> members =
        List.of(
            new Member(7, MemberStage.WAITING, true), new Member(7, MemberStage.WAITING, false));
    assertEquals(Action.NONE, gang.nextAction(members, START.plusSeconds(1)));
    assertEquals(Phase.FORMING, gang.phase());
  }

  @Test
  void endsRunningAttemptThatLosesTask() {
    formGang();
    assertEquals(
        Action.NONE, nextAction(MemberStage.RUNNING, MemberStage.WAITING, MemberStage.WAITING));
    assertEquals(Phase.RUNNING, gang.phase());
    assertEquals(Action.END, nextAction(MemberStage.WAITING, MemberStage.WAITING));
    assertEquals(Action.END, nextAction(MemberStage.WAITING));
    assertEquals(Action.START, nextAction());
    assertEquals(1, gang.endedAttempts());
  }

  @Test
  void endsOnlyAttemptReportedAsBroken() {
    formGang();
    gang.markBroken(6);
    assertEquals(Action.COMPLETE, nextAction(MemberStage.WAITING, MemberStage.WAITING));
    gang.markBroken(7);
    assertEquals(Action.END, nextAction(MemberStage.WAITING, MemberStage.WAITING));
  }

  @Test
  void doesNotReplaceTasksOfEndingAttempt() {
    formGang();
    gang.markEnding();
    assertEquals(
        Action.NONE,
        gang.nextAction(List.of(new Member(7, MemberStage.CHECKPOINTING, true)), START));
    assertEquals(Phase.ENDING, gang.phase());
    gang.nextAction(List.of(), START);
    gang.begin(8, START);
    assertEquals(Optional.of(8L), gang.number());
    gang.markBroken(7);
    assertEquals(
        Action.NONE,
        gang.nextAction(threeMembers(8, MemberStage.SENT), START),
        "a delayed report about the ended attempt 7 must not affect attempt 8");
  }

  private static List<Member> threeMembers(long attempt, MemberStage stage) {
    Member member = new Member(attempt, stage, false);
    return List.of(member, member, member);
  }

  @Test
  void newLeaderWaitsUntilAllTasksAreReportedOrAbsent() {
    Member unknown = new Member(-1, MemberStage.SENT, false);
    Member reported = new Member(9, MemberStage.RUNNING, false);
    assertEquals(Action.NONE, gang.nextAction(List.of(unknown, unknown, reported), START));
    assertEquals(Phase.UNKNOWN, gang.phase());
    assertEquals(Action.NONE, gang.nextAction(List.of(unknown, reported), START));
    assertEquals(Action.NONE, gang.nextAction(List.of(reported, reported, reported), START));
    assertEquals(Phase.RUNNING, gang.phase());
  }

  @Test
  void newLeaderCompletesAttemptThatHasNotStartedRunning() {
    Member unknown = new Member(-1, MemberStage.SENT, false);
    Member waiting = new Member(9, MemberStage.WAITING, false);
    gang.nextAction(List.of(unknown, waiting, waiting), START);
    assertEquals(Action.COMPLETE, gang.nextAction(List.of(waiting, waiting), START));
    assertEquals(Optional.of(9L), gang.number());
  }

  @Test
  void newLeaderEndsRunningAttemptThatLostTask() {
    Member unknown = new Member(-1, MemberStage.SENT, false);
    Member running = new Member(9, MemberStage.RUNNING, false);
    gang.nextAction(List.of(unknown, running), START);
    assertEquals(Action.END, gang.nextAction(List.of(running), START));
  }

  @Test
  void endsTasksOfMixedAttempts() {
    Member unknown = new Member(-1, MemberStage.SENT, false);
    gang.nextAction(List.of(unknown, unknown), START);
    List<Member> mixedMembers =
        List.of(
            new Member(9, MemberStage.WAITING, false), new Member(8, MemberStage.WAITING, false));
    assertEquals(Action.END, gang.nextAction(mixedMembers, START));
  }

  @Test
  void checkpointsOnlyIfAllTasksRunAndAreReachableInTime() {
    GangCheckpointPolicy.MemberState ready = new GangCheckpointPolicy.MemberState(true, true);
    GangCheckpointPolicy.MemberState unreachable =
        new GangCheckpointPolicy.MemberState(true, false);
    GangCheckpointPolicy.MemberState waiting = new GangCheckpointPolicy.MemberState(false, true);
    Duration ample = Duration.ofHours(1);
    Duration checkpointDuration = Duration.ofSeconds(3);
    assertTrue(
        GangCheckpointPolicy.mayCheckpoint(List.of(ready, ready), 2, ample, checkpointDuration));
    assertFalse(
        GangCheckpointPolicy.mayCheckpoint(
            List.of(ready, unreachable), 2, ample, checkpointDuration));
    assertFalse(
        GangCheckpointPolicy.mayCheckpoint(List.of(ready, waiting), 2, ample, checkpointDuration));
    assertFalse(
        GangCheckpointPolicy.mayCheckpoint(List.of(ready), 2, ample, checkpointDuration),
        "one of two tasks is no longer present");
    assertFalse(
        GangCheckpointPolicy.mayCheckpoint(
            List.of(ready, ready), 2, Duration.ofSeconds(3), checkpointDuration));
  }
}
