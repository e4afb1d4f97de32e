package io.pearscale.transport;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/**
 * The body of a request or an answer. Whoever needs it decodes it, and only as far: what comes most
 * often is read from and written to bytes, all else as a tree.
 */
public interface Body {
  /** The body as it came; no bytes if there is none. */
  byte[] bytes();

  /** The body as a tree; empty when it is absent or no MessagePack. */
  Optional<JsonNode> tree();

  /** A body as it comes over the wire. */
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

  /** A body that is a tree already; a missing node stands for none. */
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
