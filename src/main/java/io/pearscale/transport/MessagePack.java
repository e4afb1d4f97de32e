package io.pearscale.transport;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Optional;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Converts between MessagePack bodies and trees. */
public final class MessagePack {
  /** The tree of an absent body. */
  public static final JsonNode MISSING = MissingNode.getInstance();

  private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory());

  private MessagePack() {}

  /** Returns a new empty map. */
  public static ObjectNode map() {
    return JsonNodeFactory.instance.objectNode();
  }

  /** Encodes a tree as MessagePack. */
  public static byte[] encode(JsonNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (IOException e) {
      throw new IllegalStateException("failed to encode a tree as MessagePack", e);
    }
  }

  /** Decodes a body; empty if it is not valid MessagePack. */
  public static Optional<JsonNode> decode(byte[] bytes) {
    try {
      JsonNode node = MAPPER.readTree(bytes);
      return node == null || node.isMissingNode() ? Optional.empty() : Optional.of(node);
    } catch (IOException | RuntimeException e) {
      // For invalid input the parser throws not only IOException but also runtime exceptions.
      return Optional.empty();
    }
  }
}
