package io.pearscale.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.transport.MessagePack;

/**
 * The value of {@link Keys#LEADER}: who leads. The key is attached to the leader's lease of the
 * key-value store and goes with it.
 *
 * @param host the controller that leads
 * @param term the term that it leads in, at least 1
 * @param leaseId the lease that the key is attached to
 * @param processNonce names the process of that host which wrote the record; another process on the
 *     same host is not the leader
 */
public record LeaderRecord(String host, long term, long leaseId, String processNonce) {
  /** Reads a stored value; fields that are missing come out as empty or 0. */
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
