package io.pearscale.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.transport.MessagePack;
import java.util.List;

/**
 * A batch of commands that a controller sends directly to an agent. The agent executes all of them
 * or none. It refuses a request with a fencing token below the highest that it has seen, or for an
 * incarnation other than its current one.
 *
 * @param fencingToken the fencing token of the machine
 * @param incarnation the incarnation of the agent that the commands are intended for
 * @param commands the commands; empty for a probe, which only requests the state of the agent
 */
public record CommandRequest(long fencingToken, long incarnation, List<AgentCommand> commands) {
  /** The HTTP method of the request. */
  public static final String METHOD = "POST";

  /** The path of the request. */
  public static final String PATH = "/do";

  /** The status of executed commands; the body is the agent's heartbeat after their execution. */
  public static final int STATUS_EXECUTED = 200;

  /**
   * The status of refused commands, none of which is ever executed; the body is the agent's
   * heartbeat.
   */
  public static final int STATUS_REFUSED = 409;

  /** Returns the request in the wire format of agents. */
  public JsonNode toNode() {
    ObjectNode body = MessagePack.map().put("baton", fencingToken).put("stint", incarnation);
    ArrayNode orders = body.putArray("orders");
    commands.forEach(command -> orders.add(command.toNode()));
    return body;
  }
}
