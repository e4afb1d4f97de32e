package io.pearscale.scheduler.records;

import io.pearscale.scheduler.model.Job;
import io.pearscale.scheduler.model.TaskAttempt;
import io.pearscale.storage.PlacementRecordCodec;
import io.pearscale.storage.RecordLayout;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/**
 * A range of a job's tasks that share one placement record. The layout limits the number of tasks
 * in a partition.
 *
 * @param firstTask index of the partition's first task
 * @param taskCount number of tasks in the partition
 */
record JobPartition(Job job, int firstTask, int taskCount) {
  /** Returns the partition that contains a task. */
  static JobPartition containing(Job job, int task, RecordLayout layout) {
    int firstTask = task - task % layout.tasksPerPartition();
    return new JobPartition(
        job, firstTask, Math.min(layout.tasksPerPartition(), job.spec().tasks() - firstTask));
  }

  /** Returns all partitions of a job. */
  static List<JobPartition> allOf(Job job, RecordLayout layout) {
    return covering(job, 0, job.spec().tasks(), layout);
  }

  /**
   * Returns the partitions that contain the tasks from the first index up to the second, exclusive.
   */
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

  /** Returns an upper bound in bytes for the placement record of this partition. */
  int maximumRecordSize(RecordLayout layout) {
    return PlacementRecordCodec.maxEncodedSize(job.spec().id(), taskCount, layout)
        + job.quotaClaim().map(PlacementRecordCodec.QuotaClaim::maxEncodedSize).orElse(0);
  }

  /** Returns the attempts of the partition's tasks that exist or may exist. */
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

  /** Returns the partition's tasks that are done, as offsets from its first task. */
  BitSet doneTasks() {
    return job.doneTasks(firstTask, taskCount);
  }

  /** Marks the tasks as durably recorded as done; they are given as offsets from the first task. */
  void markDurablyDone(BitSet doneTasks) {
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
