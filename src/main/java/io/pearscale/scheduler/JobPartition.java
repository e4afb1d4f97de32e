package io.pearscale.scheduler;

import io.pearscale.storage.PlacementRecordCodec;
import io.pearscale.storage.RecordLayout;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/**
 * Part of a job's tasks: the marks of a job are kept in parts of as many tasks as the layout of the
 * records says.
 *
 * @param first its first task
 * @param tasks how many tasks it has
 */
record JobPartition(Job job, int first, int tasks) {
  /** The part that a task belongs to. */
  static JobPartition of(Job job, int task, RecordLayout layout) {
    int first = task - task % layout.tasksPerPartition();
    return new JobPartition(
        job, first, Math.min(layout.tasksPerPartition(), job.spec.tasks() - first));
  }

  /** All parts of a job. */
  static List<JobPartition> all(Job job, RecordLayout layout) {
    return covering(job, 0, job.spec.tasks(), layout);
  }

  /** The parts that hold tasks from the first one on, up to the last one, which is excluded. */
  static List<JobPartition> covering(Job job, int from, int to, RecordLayout layout) {
    List<JobPartition> parts = new ArrayList<>();
    int end = Math.min(to, job.spec.tasks());
    for (int task = from - from % layout.tasksPerPartition();
        task < end;
        task += layout.tasksPerPartition()) {
      parts.add(of(job, task, layout));
    }
    return parts;
  }

  /** How large the marks of this part may become. */
  int marksSize(RecordLayout layout) {
    return PlacementRecordCodec.maximumSize(job.spec.id(), tasks, layout)
        + job.quotaClaim().map(PlacementRecordCodec.QuotaClaim::maximumSize).orElse(0);
  }

  /** Where its tasks are, or may be. */
  List<TaskAttempt> placements() {
    List<TaskAttempt> placements = new ArrayList<>();
    for (TaskAttempt attempt : job.attempts.values()) {
      int index = attempt.task.index() - first;
      if (index >= 0 && index < tasks) {
        placements.add(attempt);
      }
    }
    return placements;
  }

  /** Its tasks that are done, numbered from its first. */
  BitSet done() {
    return job.doneTasks.get(first, first + tasks);
  }

  /** Its tasks were written as done. */
  void noteDurable(BitSet doneTasks) {
    job.recordDurablyDone(first, doneTasks);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof JobPartition o && first == o.first && job == o.job;
  }

  @Override
  public int hashCode() {
    return 31 * job.hashCode() + first;
  }
}
