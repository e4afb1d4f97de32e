package io.pearscale.transport;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Optional;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Bodies on the wire: MessagePack maps as trees. */
public final class MessagePack {
  /** Stands for no body at all. */
  public static final JsonNode MISSING = MissingNode.getInstance();

  private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory());

  private MessagePack() {}

  /** An empty map to be filled. */
  public static ObjectNode map() {
    return JsonNodeFactory.instance.objectNode();
  }

  /** Encodes a tree. */
  public static byte[] encode(JsonNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (IOException e) {
      throw new IllegalStateException("a tree always encodes", e);
    }
  }

  /** Decodes a body; empty when it is no MessagePack. */
  public static Optional<JsonNode> decode(byte[] bytes) {
    try {
      JsonNode node = MAPPER.readTree(bytes);
      return node == null || node.isMissingNode() ? Optional.empty() : Optional.of(node);
    } catch (IOException | RuntimeException e) {
      // Garbage makes the parser throw more than IOException; all of it means the same here.
      return Optional.empty();
    }
  }
}
