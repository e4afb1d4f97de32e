package io.pearscale.scheduler.placement;

import io.pearscale.scheduler.model.Job;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.TaskAttempt;
import java.util.List;

/**
 * The machine for a task, and the attempts to preempt there.
 *
 * @param victims the attempts on the machine to stop first; empty if it has enough available
 *     capacity
 */
record Assignment(Machine machine, List<TaskAttempt> victims) {
  /** Returns how many tasks end; a running gang ends as a whole if one of its tasks is a victim. */
  int tasksLost() {
    int lost = 0;
    for (TaskAttempt victim : victims) {
      Job job = victim.job();
      boolean ofRunningGang =
          job.spec().isGang() && victim.stage().compareTo(TaskAttempt.Stage.RUNNING) >= 0;
      lost += ofRunningGang ? job.attempts().size() : 1;
    }
    return lost;
  }

  /**
   * Returns whether preempting the victims also ends other tasks, because a running gang loses one
   * of its tasks.
   */
  boolean endsGang() {
    return tasksLost() > victims.size();
  }
}
