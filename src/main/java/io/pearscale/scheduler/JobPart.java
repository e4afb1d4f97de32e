package io.pearscale.scheduler;

import io.pearscale.storage.Marks;

/** Part of a job's tasks: the marks of a job are kept in parts of {@link Marks#PART} tasks each. */
record JobPart(Job job, int part) {
  /** The part that a task belongs to. */
  static JobPart of(Job job, int task) {
    return new JobPart(job, task / Marks.PART);
  }

  /** How large the marks of this part may become. */
  int marksSize() {
    return job.marksSize(part);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof JobPart o && part == o.part && job == o.job;
  }

  @Override
  public int hashCode() {
    return 31 * job.hashCode() + part;
  }
}
