package io.pearscale.scheduler.placement;

import io.pearscale.scheduler.model.Job;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.TaskAttempt;
import java.util.List;

/**
 * Where a task goes, and who has to leave for it.
 *
 * @param victims attempts on that machine, to be stopped first; none where there is capacity
 *     without
 */
record Assignment(Machine machine, List<TaskAttempt> victims) {
  /** How many tasks end with the victims: a gang that runs loses all of its tasks with one. */
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

  /** Whether more tasks end than the victims themselves: a gang that runs is among them. */
  boolean endsGang() {
    return tasksLost() > victims.size();
  }
}
