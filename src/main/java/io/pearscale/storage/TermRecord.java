package io.pearscale.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.transport.MessagePack;

/**
 * The value of {@link Keys#TERM}: the highest term of any leader. Its revision is a precondition of
 * each transaction of a leader, and each of them writes it anew, so a transaction of an earlier
 * leader, or one that is carried out late, changes nothing.
 */
public final class TermRecord {
  private TermRecord() {}

  /** The term in a stored value; 0 if it names none. */
  public static long decodeTerm(JsonNode value) {
    return value.path("term").asLong();
  }

  /**
   * The value that an election writes.
   *
   * @param processNonce names the process that is elected
   */
  public static ObjectNode ofElection(long term, String processNonce) {
    return MessagePack.map().put("term", term).put("node", processNonce);
  }
}
