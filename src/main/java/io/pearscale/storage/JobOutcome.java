package io.pearscale.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.transport.MessagePack;

/**
 * The value of {@link Keys#finishedJob}: the outcome of a job. It is written once and never
 * changed.
 *
 * @param stage {@link #DONE} or {@link #CANCELLED}
 * @param tasks the number of the job's tasks
 */
public record JobOutcome(String stage, int tasks) {
  /** All tasks of the job have completed. */
  public static final String DONE = "done";

  /** A user has cancelled the job. */
  public static final String CANCELLED = "withdrawn";

  /** The outcome of a cancelled job. */
  public static JobOutcome cancelled(int tasks) {
    return new JobOutcome(CANCELLED, tasks);
  }

  /** Decodes a stored value; missing fields become empty or 0. */
  public static JobOutcome decode(JsonNode value) {
    return new JobOutcome(value.path("stage").asText(), value.path("pieces").asInt());
  }

  /** The value to store. */
  public ObjectNode encode() {
    return MessagePack.map().put("stage", stage).put("pieces", tasks);
  }

  /** Whether the job was cancelled. */
  public boolean isCancelled() {
    return stage.equals(CANCELLED);
  }

  /** The number of completed tasks: all tasks if the job is done, otherwise 0. */
  public int completedTasks() {
    return stage.equals(DONE) ? tasks : 0;
  }
}
