package io.pearscale.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.transport.MessagePack;
import java.util.List;

/**
 * Commands that a controller sends straight to an agent. The agent executes all of them or none: it
 * refuses a request whose fencing token is below the highest that it has seen, or that names
 * another incarnation than its own.
 *
 * @param fencingToken the token of the machine that the commands are fenced with
 * @param incarnation the agent's incarnation that the commands are meant for
 * @param commands none in a probe, which only asks for the agent's state
 */
public record CommandRequest(long fencingToken, long incarnation, List<AgentCommand> commands) {
  /** The method and path of the request. */
  public static final String METHOD = "POST";

  /** See {@link #METHOD}. */
  public static final String PATH = "/do";

  /** The commands were executed; the body is the agent's heartbeat after them. */
  public static final int STATUS_EXECUTED = 200;

  /** Nothing was or will be executed; the body is the agent's heartbeat. */
  public static final int STATUS_REFUSED = 409;

  /** As the agent reads it. */
  public JsonNode toNode() {
    ObjectNode body = MessagePack.map().put("baton", fencingToken).put("stint", incarnation);
    ArrayNode orders = body.putArray("orders");
    commands.forEach(command -> orders.add(command.toNode()));
    return body;
  }
}
