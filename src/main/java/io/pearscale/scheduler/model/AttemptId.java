package io.pearscale.scheduler.model;

import io.pearscale.protocol.TaskId;

/**
 * Names one attempt of a task.
 *
 * @param attempt the attempt's number, unique over all terms
 */
public record AttemptId(TaskId task, long attempt) {
  // Written out, since these are keys of maps that are looked up for each task of each heartbeat.
  @Override
  public boolean equals(Object other) {
    return other instanceof AttemptId that && attempt == that.attempt && task.equals(that.task);
  }

  @Override
  public int hashCode() {
    return 31 * task.hashCode() + Long.hashCode(attempt);
  }
}
