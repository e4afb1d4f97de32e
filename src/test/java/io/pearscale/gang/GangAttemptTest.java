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

class GangAttemptTest {
  private static final Instant START = Instant.EPOCH.plusSeconds(100);
  private static final Duration FORMING = Duration.ofSeconds(40);
  private final GangAttempt gang = new GangAttempt(3, FORMING);

  private static List<Member> members(MemberStage... stages) {
    return Arrays.stream(stages).map(stage -> new Member(7, stage, false)).toList();
  }

  private Action next(MemberStage... stages) {
    return gang.nextAction(members(stages), START.plusSeconds(1));
  }

  private void formed() {
    gang.begin(7, START);
    next(MemberStage.SENT, MemberStage.SENT, MemberStage.FETCHING);
  }

  @Test
  void startsAllWhenNothingIsThere() {
    assertEquals(Action.START, next());
    assertEquals(Optional.empty(), gang.number());
  }

  @Test
  void aTaskLostBeforeTheOthersBeganIsReplacedUnderTheSameNumber() {
    formed();
    assertEquals(Action.NONE, next(MemberStage.WAITING, MemberStage.WAITING, MemberStage.SENT));
    assertEquals(Action.COMPLETE, next(MemberStage.WAITING, MemberStage.WAITING));
    assertEquals(Optional.of(7L), gang.number());
    assertEquals(
        Action.END,
        gang.nextAction(members(MemberStage.WAITING, MemberStage.WAITING), START.plusSeconds(36)),
        "too late for the others");
  }

  @Test
  void aTaskThatIsToStopIsReplacedOnceItIsGone() {
    formed();
    List<Member> one =
        List.of(
            new Member(7, MemberStage.WAITING, true), new Member(7, MemberStage.WAITING, false));
    assertEquals(Action.NONE, gang.nextAction(one, START.plusSeconds(1)));
    assertEquals(Phase.FORMING, gang.phase());
  }

  @Test
  void afterTheyBeganTheLossOfOneEndsAll() {
    formed();
    assertEquals(Action.NONE, next(MemberStage.RUNNING, MemberStage.WAITING, MemberStage.WAITING));
    assertEquals(Phase.RUNNING, gang.phase());
    assertEquals(Action.END, next(MemberStage.WAITING, MemberStage.WAITING));
    assertEquals(Action.END, next(MemberStage.WAITING));
    assertEquals(Action.START, next());
    assertEquals(1, gang.endedAttempts());
  }

  @Test
  void whatExitsForTheOthersSakeEndsTheAttempt() {
    formed();
    gang.noteBroken(6);
    assertEquals(Action.COMPLETE, next(MemberStage.WAITING, MemberStage.WAITING));
    gang.noteBroken(7);
    assertEquals(Action.END, next(MemberStage.WAITING, MemberStage.WAITING));
  }

  @Test
  void anEndedAttemptTakesNoMoreTasks() {
    formed();
    gang.noteEnding();
    assertEquals(
        Action.NONE,
        gang.nextAction(List.of(new Member(7, MemberStage.CHECKPOINTING, true)), START));
    assertEquals(Phase.ENDING, gang.phase());
    gang.nextAction(List.of(), START);
    gang.begin(8, START);
    assertEquals(Optional.of(8L), gang.number());
    gang.noteBroken(7);
    assertEquals(
        Action.NONE, gang.nextAction(all(8, MemberStage.SENT), START), "a late word of before");
  }

  private static List<Member> all(long attempt, MemberStage stage) {
    Member member = new Member(attempt, stage, false);
    return List.of(member, member, member);
  }

  @Test
  void aNewLeaderConcludesNothingBeforeAllAreShownOrGone() {
    Member unknown = new Member(-1, MemberStage.SENT, false);
    Member shown = new Member(9, MemberStage.RUNNING, false);
    assertEquals(Action.NONE, gang.nextAction(List.of(unknown, unknown, shown), START));
    assertEquals(Phase.UNKNOWN, gang.phase());
    assertEquals(Action.NONE, gang.nextAction(List.of(unknown, shown), START));
    assertEquals(Action.NONE, gang.nextAction(List.of(shown, shown, shown), START));
    assertEquals(Phase.RUNNING, gang.phase());
  }

  @Test
  void aNewLeaderCompletesWhatHasNotBegun() {
    Member unknown = new Member(-1, MemberStage.SENT, false);
    Member waiting = new Member(9, MemberStage.WAITING, false);
    gang.nextAction(List.of(unknown, waiting, waiting), START);
    assertEquals(Action.COMPLETE, gang.nextAction(List.of(waiting, waiting), START));
    assertEquals(Optional.of(9L), gang.number());
  }

  @Test
  void aNewLeaderEndsWhatHasBegunAndLostATask() {
    Member unknown = new Member(-1, MemberStage.SENT, false);
    Member running = new Member(9, MemberStage.RUNNING, false);
    gang.nextAction(List.of(unknown, running), START);
    assertEquals(Action.END, gang.nextAction(List.of(running), START));
  }

  @Test
  void tasksOfTwoAttemptsAreEnded() {
    Member unknown = new Member(-1, MemberStage.SENT, false);
    gang.nextAction(List.of(unknown, unknown), START);
    List<Member> two =
        List.of(
            new Member(9, MemberStage.WAITING, false), new Member(8, MemberStage.WAITING, false));
    assertEquals(Action.END, gang.nextAction(two, START));
  }

  @Test
  void savesOnlyIfAllRunAndAllCanBeToldInTime() {
    GangCheckpointPolicy.MemberReachability good =
        new GangCheckpointPolicy.MemberReachability(true, true);
    GangCheckpointPolicy.MemberReachability cutOff =
        new GangCheckpointPolicy.MemberReachability(true, false);
    GangCheckpointPolicy.MemberReachability waits =
        new GangCheckpointPolicy.MemberReachability(false, true);
    Duration ample = Duration.ofHours(1);
    Duration save = Duration.ofSeconds(3);
    assertTrue(GangCheckpointPolicy.mayCheckpoint(List.of(good, good), 2, ample, save));
    assertFalse(GangCheckpointPolicy.mayCheckpoint(List.of(good, cutOff), 2, ample, save));
    assertFalse(GangCheckpointPolicy.mayCheckpoint(List.of(good, waits), 2, ample, save));
    assertFalse(
        GangCheckpointPolicy.mayCheckpoint(List.of(good), 2, ample, save), "one is gone already");
    assertFalse(
        GangCheckpointPolicy.mayCheckpoint(List.of(good, good), 2, Duration.ofSeconds(3), save));
  }
}
