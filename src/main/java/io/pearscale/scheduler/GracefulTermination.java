package io.pearscale.scheduler;

import io.pearscale.gang.GangAttempt.Action;
import io.pearscale.gang.GangAttempt.Phase;
import io.pearscale.gang.OrderlyStop;
import io.pearscale.gang.OrderlyStop.Reach;
import io.pearscale.scheduler.Machine.Lifecycle;
import io.pearscale.scheduler.TaskAttempt.Stage;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;

/**
 * Stops tasks by choice, and with a task of a gang that runs all others: their work could not go
 * on. Whether they save is decided for all of them before the first one is told. A task of a gang
 * that has not begun is stopped alone, since another one can take its place.
 */
final class GracefulTermination {
  private static final Duration NO_NOTICE = Duration.ofDays(365);

  private final JobTable jobs;
  private final MachineInventory inventory;
  private final Gangs gangs;
  private final InstantSource clock;
  private final AgentTimings times;

  GracefulTermination(LeaderState state, AgentTimings times) {
    this.jobs = state.jobs();
    this.inventory = state.inventory();
    this.gangs = state.gangs();
    this.clock = state.clock();
    this.times = times;
  }

  /** Stops a task; what it has done is saved if that is possible. */
  void stop(TaskAttempt attempt) {
    stop(attempt, /* atOnce= */ false);
  }

  /**
   * Stops a task.
   *
   * @param atOnce whether what is to start instead can't wait until it has saved
   */
  void stop(TaskAttempt attempt, boolean atOnce) {
    if (attempt.job.spec.isGang() && gangs.phase(attempt.job) == Phase.RUNNING) {
      stopGang(attempt.job, atOnce);
    } else {
      attempt.stopsWithoutCheckpoint |= atOnce;
      inventory.stop(attempt);
    }
  }

  /** Ends attempts that lost a task after they had begun, or that can't be completed in time. */
  void endBrokenGangs() {
    for (Job job : jobs.gangs()) {
      if (gangs.next(job) == Action.END) {
        stopGang(job, /* atOnce= */ true);
      }
    }
  }

  private void stopGang(Job job, boolean atOnce) {
    Instant now = clock.instant();
    List<Reach> members = new ArrayList<>();
    Duration left = NO_NOTICE;
    for (TaskAttempt attempt : job.attempts.values()) {
      members.add(new Reach(attempt.stage == Stage.RUNNING, isReachable(attempt.machine, now)));
      Duration untilTaken =
          attempt
              .machine
              .preemptionNoticeAt
              .map(taken -> Duration.between(now, taken))
              .orElse(NO_NOTICE);
      left = untilTaken.compareTo(left) < 0 ? untilTaken : left;
    }
    boolean saves =
        !atOnce
            && !job.spec.checkpointInterval().isZero()
            && OrderlyStop.saves(members, job.spec.tasks(), left, job.spec.checkpointDuration());
    gangs.noteEnding(job, saves);
    for (TaskAttempt attempt : List.copyOf(job.attempts.values())) {
      attempt.stopsWithoutCheckpoint |= !saves;
      inventory.stop(attempt);
    }
  }

  /** Whether a command reaches the machine within a moment, as far as can be known. */
  private boolean isReachable(Machine machine, Instant now) {
    return machine.lifecycle == Lifecycle.UP
        && machine.reconciled
        && !machine.leaseExpired
        && !machine.commandOutcomeUnknown()
        && !machine.address.isEmpty()
        && !now.isBefore(machine.directCommandsAfter)
        && now.isBefore(machine.lastReachableAt.plus(times.reachableWithin()));
  }
}
