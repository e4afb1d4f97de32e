package io.pearscale.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.transport.MessagePack;

/**
 * The value of {@link Keys#TERM}: the highest term of any leader. The revision of the key is a
 * precondition of each leader transaction, and each leader transaction rewrites the key. A
 * transaction of an earlier leader, or one that arrives late, therefore changes nothing.
 */
public final class TermRecord {
  private TermRecord() {}

  /** The term in a stored value; 0 if it contains none. */
  public static long decodeTerm(JsonNode value) {
    return value.path("term").asLong();
  }

  /**
   * The value that an election writes.
   *
   * @param processNonce identifies the elected process
   */
  public static ObjectNode ofElection(long term, String processNonce) {
    return MessagePack.map().put("term", term).put("node", processNonce);
  }
}
