package io.pearscale.scheduler.records;

import io.pearscale.scheduler.model.Job;
import io.pearscale.scheduler.model.TaskAttempt;
import io.pearscale.storage.PlacementRecordCodec;
import io.pearscale.storage.RecordLayout;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/**
 * Part of a job's tasks: the marks of a job are kept in parts of as many tasks as the layout of the
 * records says.
 *
 * @param firstTask its first task
 * @param taskCount how many tasks it has
 */
record JobPartition(Job job, int firstTask, int taskCount) {
  /** The part that a task belongs to. */
  static JobPartition containing(Job job, int task, RecordLayout layout) {
    int firstTask = task - task % layout.tasksPerPartition();
    return new JobPartition(
        job, firstTask, Math.min(layout.tasksPerPartition(), job.spec().tasks() - firstTask));
  }

  /** All parts of a job. */
  static List<JobPartition> allOf(Job job, RecordLayout layout) {
    return covering(job, 0, job.spec().tasks(), layout);
  }

  /** The parts that hold tasks from the first one on, up to the last one, which is excluded. */
  static List<JobPartition> covering(Job job, int fromTask, int toTask, RecordLayout layout) {
    List<JobPartition> partitions = new ArrayList<>();
    int end = Math.min(toTask, job.spec().tasks());
    for (int task = fromTask - fromTask % layout.tasksPerPartition();
        task < end;
        task += layout.tasksPerPartition()) {
      partitions.add(containing(job, task, layout));
    }
    return partitions;
  }

  /** How large the marks of this part may become. */
  int maximumRecordSize(RecordLayout layout) {
    return PlacementRecordCodec.maximumSize(job.spec().id(), taskCount, layout)
        + job.quotaClaim().map(PlacementRecordCodec.QuotaClaim::maximumSize).orElse(0);
  }

  /** Where its tasks are, or may be. */
  List<TaskAttempt> attempts() {
    List<TaskAttempt> attempts = new ArrayList<>();
    for (TaskAttempt attempt : job.attempts().values()) {
      int index = attempt.task().index() - firstTask;
      if (index >= 0 && index < taskCount) {
        attempts.add(attempt);
      }
    }
    return attempts;
  }

  /** Its tasks that are done, numbered from its first. */
  BitSet doneTasks() {
    return job.doneTasks(firstTask, taskCount);
  }

  /** Its tasks were written as done. */
  void noteDurable(BitSet doneTasks) {
    job.recordDurablyDone(firstTask, doneTasks);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof JobPartition o && firstTask == o.firstTask && job == o.job;
  }

  @Override
  public int hashCode() {
    return 31 * job.hashCode() + firstTask;
  }
}
