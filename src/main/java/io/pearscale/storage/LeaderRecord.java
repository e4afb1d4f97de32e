package io.pearscale.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.transport.MessagePack;

/**
 * The value of {@link Keys#LEADER}: the current leader. The key is attached to the leader's lease
 * of the key-value store and is deleted when the lease ends.
 *
 * @param host the host of the leading controller
 * @param term the leader's term, at least 1
 * @param leaseId the lease that the key is attached to
 * @param processNonce identifies the process on the host that wrote the record; another process on
 *     the same host is not the leader
 */
public record LeaderRecord(String host, long term, long leaseId, String processNonce) {
  /** Decodes a stored value; missing fields become empty or 0. */
  public static LeaderRecord decode(JsonNode value) {
    return new LeaderRecord(
        value.path("node").asText(),
        value.path("term").asLong(),
        value.path("grant").asLong(),
        value.path("nonce").asText());
  }

  /** The value to store. */
  public ObjectNode encode() {
    return MessagePack.map()
        .put("node", host)
        .put("term", term)
        .put("grant", leaseId)
        .put("nonce", processNonce);
  }
}
