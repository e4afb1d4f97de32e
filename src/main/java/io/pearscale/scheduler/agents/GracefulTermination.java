package io.pearscale.scheduler.agents;

import io.pearscale.gang.GangAttempt.Action;
import io.pearscale.gang.GangAttempt.Phase;
import io.pearscale.gang.GangCheckpointPolicy;
import io.pearscale.gang.GangCheckpointPolicy.MemberReachability;
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
 * Stops tasks by choice, with a checkpoint where that is possible. With a task of a gang that runs
 * all others are stopped: their work could not go on. Whether they take a checkpoint is decided for
 * all of them before the first stop is sent. A task of a gang that does not run yet is stopped
 * alone, since another one can take its place.
 */
public final class GracefulTermination {
  /** Stands for the time until the preemption of a machine without a notice: longer than any. */
  private static final Duration NO_PREEMPTION = Duration.ofDays(365);

  /** Time that a task on a machine to be preempted is given beyond that of its checkpoint. */
  private static final Duration CHECKPOINT_MARGIN = Duration.ofSeconds(4);

  /** A task stays if what is left of it takes at most so many times the time until preemption. */
  private static final int FINISH_FACTOR = 2;

  private final JobTable jobs;
  private final MachineInventory inventory;
  private final GangTracker gangs;
  private final InstantSource clock;
  private final AgentTimings timings;

  /** Makes a termination of attempts in the state. */
  public GracefulTermination(LeaderState state, AgentTimings timings) {
    this.jobs = state.jobs();
    this.inventory = state.inventory();
    this.gangs = state.gangs();
    this.clock = state.clock();
    this.timings = timings;
  }

  /** Stops a task; it takes a checkpoint if it can. */
  public void stop(TaskAttempt attempt) {
    stop(attempt, /* withoutCheckpoint= */ false);
  }

  /**
   * Stops a task.
   *
   * @param withoutCheckpoint whether what is to start instead can't wait for its checkpoint
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

  /** Ends gang attempts that lost a task while they ran, or that can't be completed in time. */
  public void endBrokenGangs() {
    for (Job job : jobs.gangs()) {
      if (gangs.nextAction(job) == Action.END) {
        stopGang(job, /* withoutCheckpoint= */ true);
      }
    }
  }

  /** Stops what should not be cut off by the preemption of its machine, of which it has notice. */
  void prepareForPreemption(Machine machine) {
    Instant now = clock.instant();
    Duration untilPreemption = Duration.between(now, machine.preemptionNoticeAt().orElse(now));
    for (TaskAttempt attempt : List.copyOf(machine.attempts().values())) {
      if (!attempt.stopping() && shouldStopBefore(untilPreemption, attempt, now)) {
        stop(attempt);
      }
    }
  }

  /**
   * Whether an attempt is to be stopped now: one that takes checkpoints when it must begin to save,
   * or does not run yet; a replica, to be started elsewhere; other work that can't be expected to
   * finish in time.
   */
  private static boolean shouldStopBefore(
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
    return remaining.compareTo(untilPreemption.multipliedBy(FINISH_FACTOR)) > 0;
  }

  /** Stops all tasks of the gang's present attempt. */
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
              .map(preemption -> Duration.between(now, preemption))
              .orElse(NO_PREEMPTION);
      remaining = untilPreemption.compareTo(remaining) < 0 ? untilPreemption : remaining;
    }
    boolean checkpoints =
        !withoutCheckpoint
            && !job.spec().checkpointInterval().isZero()
            && GangCheckpointPolicy.mayCheckpoint(
                members, job.spec().tasks(), remaining, job.spec().checkpointDuration());
    gangs.recordEnding(job, checkpoints);
    for (TaskAttempt attempt : List.copyOf(job.attempts().values())) {
      if (!checkpoints) {
        attempt.forbidCheckpoint();
      }
      inventory.stop(attempt);
    }
  }

  /** Whether a direct command reaches the machine at once, as far as can be known. */
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
