package io.pearscale.scheduler.agents;

import io.pearscale.gang.GangAttempt.Action;
import io.pearscale.gang.GangAttempt.Phase;
import io.pearscale.gang.GangCheckpointPolicy;
import io.pearscale.gang.GangCheckpointPolicy.MemberReachability;
import io.pearscale.scheduler.model.AgentTimings;
import io.pearscale.scheduler.model.GangTracker;
import io.pearscale.scheduler.model.Job;
import io.pearscale.scheduler.model.JobTable;
import io.pearscale.scheduler.model.LeaderState;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.Machine.Lifecycle;
import io.pearscale.scheduler.model.MachineInventory;
import io.pearscale.scheduler.model.TaskAttempt;
import io.pearscale.scheduler.model.TaskAttempt.Stage;
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
public final class GracefulTermination {
  private static final Duration NO_PREEMPTION = Duration.ofDays(365);

  private final JobTable jobs;
  private final MachineInventory inventory;
  private final GangTracker gangs;
  private final InstantSource clock;
  private final AgentTimings agentTimeouts;

  /** Creates the planner of terminations; the timings bound how long a checkpoint may take. */
  public GracefulTermination(LeaderState state, AgentTimings agentTimeouts) {
    this.jobs = state.jobs();
    this.inventory = state.inventory();
    this.gangs = state.gangs();
    this.clock = state.clock();
    this.agentTimeouts = agentTimeouts;
  }

  /** Stops a task; what it has done is saved if that is possible. */
  public void stop(TaskAttempt attempt) {
    stop(attempt, /* withoutCheckpoint= */ false);
  }

  /**
   * Stops a task.
   *
   * @param withoutCheckpoint whether what is to start instead can't wait until it has saved
   */
  public void stop(TaskAttempt attempt, boolean withoutCheckpoint) {
    if (attempt.job().spec().isGang() && gangs.phase(attempt.job()) == Phase.RUNNING) {
      stopGang(attempt.job(), withoutCheckpoint);
    } else {
      if (withoutCheckpoint) {
        attempt.forbidCheckpoint();
      }
      inventory.stop(attempt);
    }
  }

  /** Ends attempts that lost a task after they had begun, or that can't be completed in time. */
  public void endBrokenGangs() {
    for (Job job : jobs.gangs()) {
      if (gangs.nextAction(job) == Action.END) {
        stopGang(job, /* withoutCheckpoint= */ true);
      }
    }
  }

  private void stopGang(Job job, boolean withoutCheckpoint) {
    Instant now = clock.instant();
    List<MemberReachability> members = new ArrayList<>();
    Duration remaining = NO_PREEMPTION;
    for (TaskAttempt attempt : job.attempts().values()) {
      members.add(
          new MemberReachability(
              attempt.stage() == Stage.RUNNING, isReachable(attempt.machine(), now)));
      Duration untilPreemption =
          attempt
              .machine()
              .preemptionNoticeAt()
              .map(taken -> Duration.between(now, taken))
              .orElse(NO_PREEMPTION);
      remaining = untilPreemption.compareTo(remaining) < 0 ? untilPreemption : remaining;
    }
    boolean checkpoints =
        !withoutCheckpoint
            && !job.spec().checkpointInterval().isZero()
            && GangCheckpointPolicy.mayCheckpoint(
                members, job.spec().tasks(), remaining, job.spec().checkpointDuration());
    gangs.noteEnding(job, checkpoints);
    for (TaskAttempt attempt : List.copyOf(job.attempts().values())) {
      if (!checkpoints) {
        attempt.forbidCheckpoint();
      }
      inventory.stop(attempt);
    }
  }

  /** Whether a command reaches the machine within a moment, as far as can be known. */
  private boolean isReachable(Machine machine, Instant now) {
    return machine.lifecycle() == Lifecycle.UP
        && machine.reconciled()
        && !machine.leaseExpired()
        && !machine.fencing().isCommandOutcomeUnknown()
        && !machine.address().isEmpty()
        && !now.isBefore(machine.reachability().directCommandsAfter())
        && now.isBefore(
            machine.reachability().lastReachableAt().plus(agentTimeouts.reachableWithin()));
  }
}
