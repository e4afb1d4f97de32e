package io.pearscale.protocol;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.transport.MessagePack;
import java.io.IOException;
import java.time.Duration;
import org.msgpack.core.MessagePacker;

/**
 * A command that a controller sends to an agent about one task.
 *
 * @param verb the action that the agent performs
 * @param task the task that the command applies to
 * @param attempt the attempt number; only a task of a gang that does not run yet is started again
 *     under the same one
 * @param gracePeriod how long a stopped task may take to save a checkpoint; zero for other verbs
 */
public record AgentCommand(Verb verb, TaskId task, long attempt, Duration gracePeriod) {
  /** The action of a command. Peer records store the ordinals, so the order is fixed. */
  public enum Verb {
    START("run"),
    STOP("kill"),
    FORGET("clear");

    private final String wireName;

    Verb(String wireName) {
      this.wireName = wireName;
    }
  }

  /** Returns a command that starts an attempt. */
  public static AgentCommand start(TaskId task, long attempt) {
    return new AgentCommand(Verb.START, task, attempt, Duration.ZERO);
  }

  /**
   * Returns a command that stops an attempt, which may save a checkpoint within the grace period.
   */
  public static AgentCommand stop(TaskId task, long attempt, Duration gracePeriod) {
    return new AgentCommand(Verb.STOP, task, attempt, gracePeriod);
  }

  /**
   * Returns a command that removes an ended attempt from the agent, whose heartbeats then omit it.
   */
  public static AgentCommand forget(TaskId task, long attempt) {
    return new AgentCommand(Verb.FORGET, task, attempt, Duration.ZERO);
  }

  /** Packs the same fields as {@link #toNode} without building a tree. */
  void pack(MessagePacker out) throws IOException {
    out.packMapHeader(verb == Verb.STOP ? 4 : 3);
    out.packString("verb");
    out.packString(verb.wireName);
    out.packString("piece");
    out.packString(task.toString());
    out.packString("try");
    out.packLong(attempt);
    if (verb == Verb.STOP) {
      out.packString("leewayS");
      out.packDouble(MessageFields.seconds(gracePeriod));
    }
  }

  /** Returns the command in the wire format of agents. */
  public ObjectNode toNode() {
    ObjectNode node =
        MessagePack.map()
            .put("verb", verb.wireName)
            .put("piece", task.toString())
            .put("try", attempt);
    if (verb == Verb.STOP) {
      node.put("leewayS", MessageFields.seconds(gracePeriod));
    }
    return node;
  }
}
