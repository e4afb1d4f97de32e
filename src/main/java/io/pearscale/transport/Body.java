package io.pearscale.transport;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/**
 * The body of a request or response, which is decoded only on demand. The most frequent messages
 * are decoded from and encoded to bytes directly; all others use a tree.
 */
public interface Body {
  /** Returns the encoded body; an empty array if there is none. */
  byte[] bytes();

  /** Returns the body as a tree; empty if the body is absent or not valid MessagePack. */
  Optional<JsonNode> tree();

  /** Returns a body with the given encoded bytes. */
  static Body of(byte[] bytes) {
    return new Body() {
      @Override
      public byte[] bytes() {
        return bytes;
      }

      @Override
      public Optional<JsonNode> tree() {
        return bytes.length == 0 ? Optional.empty() : MessagePack.decode(bytes);
      }
    };
  }

  /** Returns a body with the given tree; a missing node represents an absent body. */
  static Body of(JsonNode node) {
    return new Body() {
      @Override
      public byte[] bytes() {
        return node.isMissingNode() ? new byte[0] : MessagePack.encode(node);
      }

      @Override
      public Optional<JsonNode> tree() {
        return node.isMissingNode() ? Optional.empty() : Optional.of(node);
      }
    };
  }
}
