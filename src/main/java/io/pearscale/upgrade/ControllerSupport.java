package io.pearscale.upgrade;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.protocol.MalformedMessageException;
import io.pearscale.protocol.MessageFields;
import io.pearscale.transport.MessagePack;

/**
 * The support record of a running controller, which announces its schema levels and its release.
 * The record is attached to a lease of the key-value store that the process renews, so it is
 * deleted soon after the process ends.
 *
 * @param levels the schema levels that the build supports
 * @param incarnation identifies the process; changes with each restart
 * @param release release name of the build, for display
 */
public record ControllerSupport(SupportedLevels levels, long incarnation, String release) {
  /** Decodes a stored record. */
  public static ControllerSupport parse(JsonNode value) throws MalformedMessageException {
    JsonNode map = MessageFields.requireMap(value);
    int lowest = (int) MessageFields.integer(map, "lowest", 0, Integer.MAX_VALUE);
    int highest = (int) MessageFields.integer(map, "highest", lowest, Integer.MAX_VALUE);
    return new ControllerSupport(
        new SupportedLevels(lowest, highest),
        map.path("incarnation").asLong(),
        map.path("release").asText());
  }

  /** Encodes the record. */
  public ObjectNode toNode() {
    return MessagePack.map()
        .put("lowest", levels.lowest())
        .put("highest", levels.highest())
        .put("incarnation", incarnation)
        .put("release", release);
  }
}
