package io.pearscale.scheduler.agents;

import io.pearscale.gang.GangAttempt.Action;
import io.pearscale.gang.GangAttempt.Phase;
import io.pearscale.gang.GangCheckpointPolicy;
import io.pearscale.gang.GangCheckpointPolicy.MemberState;
import io.pearscale.protocol.JobSpec;
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
 * Stops tasks that the scheduler chooses to stop, with a checkpoint where possible. Stopping a task
 * of a running gang stops all tasks of that gang, since the others could not continue. Whether they
 * take a checkpoint is decided for all of them before the first stop is sent. A task of a gang that
 * is not running yet is stopped alone, since it can be replaced.
 */
public final class GracefulTermination {
  /** Time until preemption of a machine without a notice; longer than any announced one. */
  private static final Duration NO_PREEMPTION = Duration.ofDays(365);

  /** Extra time, beyond the checkpoint duration, to stop a task before its machine's preemption. */
  private static final Duration CHECKPOINT_MARGIN = Duration.ofSeconds(4);

  /**
   * A task without checkpoints continues if its remaining time is at most this multiple of the time
   * until preemption.
   */
  private static final int MAX_REMAINING_TIME_FACTOR = 2;

  private final JobTable jobs;
  private final MachineInventory inventory;
  private final GangTracker gangs;
  private final InstantSource clock;
  private final AgentTimings timings;

  /** Creates a termination that stops attempts in the leader's state. */
  public GracefulTermination(LeaderState state, AgentTimings timings) {
    this.jobs = state.jobs();
    this.inventory = state.inventory();
    this.gangs = state.gangs();
    this.clock = state.clock();
    this.timings = timings;
  }

  /** Stops a task, with a checkpoint if possible. */
  public void stop(TaskAttempt attempt) {
    stop(attempt, /* withoutCheckpoint= */ false);
  }

  /**
   * Stops a task.
   *
   * @param withoutCheckpoint whether to skip the checkpoint, since the replacing task cannot wait
   *     for it
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

  /** Ends gang attempts that lost a task while running, or that cannot be completed in time. */
  public void endBrokenGangs() {
    for (Job job : jobs.gangs()) {
      if (gangs.nextAction(job) == Action.END) {
        stopGang(job, /* withoutCheckpoint= */ true);
      }
    }
  }

  /** Stops the tasks that should end before the announced preemption of their machine. */
  void prepareForPreemption(Machine machine) {
    Instant now = clock.instant();
    Duration untilPreemption = Duration.between(now, machine.preemptionAt().orElse(now));
    for (TaskAttempt attempt : List.copyOf(machine.attempts().values())) {
      if (!attempt.stopping() && shouldStopBeforePreemption(untilPreemption, attempt, now)) {
        stop(attempt);
      }
    }
  }

  /**
   * Returns whether to stop an attempt now. A replica is stopped immediately, to be started on
   * another machine. An attempt with checkpoints is stopped when it must start its checkpoint, or
   * if it does not run yet. Any other attempt is stopped if it is not expected to finish in time.
   */
  private static boolean shouldStopBeforePreemption(
      Duration untilPreemption, TaskAttempt attempt, Instant now) {
    JobSpec spec = attempt.spec();
    boolean running = attempt.stage() == Stage.RUNNING;
    boolean checkpoints = !spec.checkpointInterval().isZero();
    if (spec.isService()) {
      return true;
    }
    if (checkpoints) {
      Duration needed = spec.checkpointDuration().plus(CHECKPOINT_MARGIN);
      return !running || untilPreemption.compareTo(needed) < 0;
    }
    Duration elapsed = Duration.between(attempt.stageSince(), now);
    Duration remaining =
        running ? spec.estimatedDuration().minus(elapsed) : spec.estimatedDuration();
    return remaining.compareTo(untilPreemption.multipliedBy(MAX_REMAINING_TIME_FACTOR)) > 0;
  }

  /** Stops all tasks of the gang's current attempt. */
  private void stopGang(Job job, boolean withoutCheckpoint) {
    Instant now = clock.instant();
    List<MemberState> members = new ArrayList<>();
    Duration untilFirstPreemption = NO_PREEMPTION;
    for (TaskAttempt attempt : job.attempts().values()) {
      members.add(
          new MemberState(attempt.stage() == Stage.RUNNING, isReachable(attempt.machine(), now)));
      Duration untilPreemption =
          attempt
              .machine()
              .preemptionAt()
              .map(preemption -> Duration.between(now, preemption))
              .orElse(NO_PREEMPTION);
      untilFirstPreemption =
          untilPreemption.compareTo(untilFirstPreemption) < 0
              ? untilPreemption
              : untilFirstPreemption;
    }
    boolean checkpoints =
        !withoutCheckpoint
            && !job.spec().checkpointInterval().isZero()
            && GangCheckpointPolicy.mayCheckpoint(
                members, job.spec().tasks(), untilFirstPreemption, job.spec().checkpointDuration());
    gangs.recordEnding(job, checkpoints);
    for (TaskAttempt attempt : List.copyOf(job.attempts().values())) {
      if (!checkpoints) {
        attempt.forbidCheckpoint();
      }
      inventory.stop(attempt);
    }
  }

  /** Returns whether a direct command is expected to reach the machine immediately. */
  private boolean isReachable(Machine machine, Instant now) {
    return machine.lifecycle() == Lifecycle.UP
        && machine.reconciled()
        && !machine.leaseExpired()
        && !machine.fencing().isCommandOutcomeUnknown()
        && !machine.address().isEmpty()
        && !now.isBefore(machine.reachability().directCommandsAfter())
        && now.isBefore(machine.reachability().lastReachableAt().plus(timings.reachableWithin()));
  }
}
