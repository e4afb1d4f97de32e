package io.pearscale.upgrade;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.protocol.MalformedMessageException;
import io.pearscale.protocol.MessageFields;
import io.pearscale.transport.MessagePack;

/**
 * What a controller announces of its build. The record is attached to a store lease that the
 * running process renews, so it is gone soon after the process has ended.
 *
 * @param incarnation identifies this process; another one has another incarnation
 * @param release the build's release, for people
 */
public record MemberSupport(SupportedLevels levels, long incarnation, String release) {
  /** Decodes the record. */
  public static MemberSupport parse(JsonNode value) throws MalformedMessageException {
    JsonNode map = MessageFields.requireMap(value);
    int lowest = (int) MessageFields.integer(map, "lowest", 0, Integer.MAX_VALUE);
    int highest = (int) MessageFields.integer(map, "highest", lowest, Integer.MAX_VALUE);
    return new MemberSupport(
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
