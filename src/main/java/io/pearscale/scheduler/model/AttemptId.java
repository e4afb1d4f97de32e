package io.pearscale.scheduler.model;

import io.pearscale.protocol.TaskId;

/**
 * Identifies one attempt of a task.
 *
 * @param attempt the attempt's number, unique across all terms; the tasks of a gang share it, and a
 *     task that is replaced before its gang runs keeps it
 */
public record AttemptId(TaskId task, long attempt) {
  // Implemented explicitly for speed: instances are map keys that are looked up for every task in
  // every heartbeat.
  @Override
  public boolean equals(Object other) {
    return other instanceof AttemptId that && attempt == that.attempt && task.equals(that.task);
  }

  @Override
  public int hashCode() {
    return 31 * task.hashCode() + Long.hashCode(attempt);
  }
}
