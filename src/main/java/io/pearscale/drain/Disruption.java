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
 * A disruption of a task: it was stopped, or is about to be, and does not run again yet.
 *
 * @param voluntary whether the scheduler chose it; then it is durable before the stop command is
 *     sent
 * @param lostWork running time that has to be repeated
 */
public record Disruption(
    TaskId task, String team, String jobClass, boolean voluntary, Duration lostWork) {
  private static final String LIST_FIELD = "d";
  private static final int FIELDS_PER_ENTRY = 4;

  /** Bytes of an entry beside its texts. */
  private static final int ENTRY_OVERHEAD = 48;

  /** Upper bound in bytes for its entry. */
  public int maxEncodedSize() {
    return ENTRY_OVERHEAD + task.toString().length() + team.length() + jobClass.length();
  }

  /** Encodes a value of several disruptions. */
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

  /** Decodes a value. */
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
