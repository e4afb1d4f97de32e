package io.pearscale.drain;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.protocol.MalformedMessageException;
import io.pearscale.protocol.MessageFields;
import io.pearscale.protocol.TaskId;
import io.pearscale.transport.MessagePack;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * A disruption of a task: the task was stopped or is about to be stopped, and is not yet running
 * again. Disruptions of the same task are equal.
 *
 * @param voluntary whether the scheduler chose to stop the task; a voluntary disruption is durably
 *     recorded before the stop command is sent
 * @param lostWork running time that the task has to repeat
 */
public record Disruption(
    TaskId task, String team, String jobClass, boolean voluntary, Duration lostWork) {
  private static final String LIST_FIELD = "d";
  private static final int FIELDS_PER_ENTRY = 4;

  /** Size in bytes of an encoded entry without its text fields. */
  private static final int ENTRY_OVERHEAD = 48;

  /** Returns an upper bound in bytes for the encoded entry. */
  public int maxEncodedSize() {
    return ENTRY_OVERHEAD + task.toString().length() + team.length() + jobClass.length();
  }

  /** Encodes disruptions as one stored value. */
  public static JsonNode encode(Collection<Disruption> disruptions) {
    ObjectNode value = MessagePack.map();
    ArrayNode list = value.putArray(LIST_FIELD);
    for (Disruption disruption : disruptions) {
      list.addArray()
          .add(disruption.task.toString())
          .add(disruption.team)
          .add(disruption.jobClass)
          .add(disruption.lostWork.toMillis());
    }
    return value;
  }

  /** Decodes a stored value; all its disruptions are voluntary. */
  public static List<Disruption> decode(JsonNode value) throws MalformedMessageException {
    List<Disruption> disruptions = new ArrayList<>();
    for (JsonNode fields : MessageFields.list(MessageFields.requireMap(value), LIST_FIELD)) {
      if (fields.size() < FIELDS_PER_ENTRY
          || !fields.path(0).isTextual()
          || !fields.path(3).isIntegralNumber()) {
        throw new MalformedMessageException("disruption " + fields);
      }
      disruptions.add(
          new Disruption(
              TaskId.parse(fields.path(0).asText()),
              fields.path(1).asText(),
              fields.path(2).asText(),
              /* voluntary= */ true,
              Duration.ofMillis(fields.path(3).asLong())));
    }
    return disruptions;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Disruption d && task.equals(d.task);
  }

  @Override
  public int hashCode() {
    return task.hashCode();
  }
}
