package io.pearscale.scheduler.maintenance;

import io.pearscale.drain.DrainPlanner.MachineView;
import io.pearscale.drain.DrainPlanner.TaskView;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.Machine.Lifecycle;
import io.pearscale.scheduler.model.TaskAttempt;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Creates snapshots of machines and their tasks for the drain planner.
 *
 * @param disruptions decides which tasks count as running
 * @param responsiveness decides which machines count as responsive
 */
record DrainViews(DisruptionTracker disruptions, Responsiveness responsiveness) {
  /** Returns a snapshot of the machine with all its tasks. */
  MachineView view(Machine machine, Instant now) {
    List<TaskView> tasks = new ArrayList<>();
    boolean reachable =
        machine.lifecycle() == Lifecycle.UP
            && machine.reconciled()
            && responsiveness.isResponsive(machine, now)
            && !machine.failures().isQuarantined();
    for (TaskAttempt attempt : machine.attempts().values()) {
      tasks.add(view(attempt, now));
    }
    return new MachineView(
        machine.name(),
        machine.maintenance(),
        machine.maintenance().equals(machine.record().maintenance())
            && machine.record().isRecorded(),
        reachable,
        tasks);
  }

  private TaskView view(TaskAttempt attempt, Instant now) {
    boolean savesCheckpoints = !attempt.job().spec().checkpointInterval().isZero();
    Duration runningTime = attempt.runningTime(now);
    return new TaskView(
        attempt.task(),
        attempt.job().spec().team(),
        attempt.job().spec().jobClass(),
        disruptions.isRunning(attempt, now),
        attempt.stopping(),
        attempt.job().spec().isService()
                || attempt.job().spec().estimatedDuration().minus(runningTime).isNegative()
            ? Optional.empty()
            : Optional.of(attempt.job().spec().estimatedDuration().minus(runningTime)),
        attempt.job().spec().isService() || savesCheckpoints ? Duration.ZERO : runningTime,
        DisruptionTracker.gangMembersOf(attempt));
  }
}
