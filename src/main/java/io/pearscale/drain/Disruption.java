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
 * A task that was stopped, or is about to be, and does not run again yet.
 *
 * @param voluntary whether it was our choice: such a one is durable before its stop is sent
 * @param lost work that is done again
 */
public record Disruption(
    TaskId task, String team, String jobClass, boolean voluntary, Duration lost) {
  private static final String LIST = "d";
  private static final int FIELDS = 4;

  /** What its entry takes beside its texts. */
  private static final int ENTRY_SIZE = 48;

  /** How large its entry is at most. */
  public int size() {
    return ENTRY_SIZE + task.toString().length() + team.length() + jobClass.length();
  }

  /** Encodes a value that holds some. */
  public static JsonNode encode(Collection<Disruption> disruptions) {
    ObjectNode value = MessagePack.map();
    ArrayNode list = value.putArray(LIST);
    for (Disruption d : disruptions) {
      list.addArray().add(d.task.toString()).add(d.team).add(d.jobClass).add(d.lost.toMillis());
    }
    return value;
  }

  /** Decodes a value. */
  public static List<Disruption> decode(JsonNode value) throws MalformedMessageException {
    List<Disruption> disruptions = new ArrayList<>();
    for (JsonNode n : MessageFields.list(MessageFields.requireMap(value), LIST)) {
      if (n.size() < FIELDS || !n.path(0).isTextual() || !n.path(3).isIntegralNumber()) {
        throw new MalformedMessageException("disruption " + n);
      }
      disruptions.add(
          new Disruption(
              TaskId.parse(n.path(0).asText()),
              n.path(1).asText(),
              n.path(2).asText(),
              /* voluntary= */ true,
              Duration.ofMillis(n.path(3).asLong())));
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
