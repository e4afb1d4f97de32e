package io.pearscale.protocol;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.transport.MessagePack;
import java.io.IOException;
import java.time.Duration;
import org.msgpack.core.MessagePacker;

/**
 * A command to an agent, about one task.
 *
 * @param verb what the agent is to do
 * @param task the task that it concerns
 * @param attempt the number of the attempt; never used for two attempts of a task
 * @param gracePeriod for how long a task that is stopped may save a checkpoint; zero otherwise
 */
public record AgentCommand(Verb verb, TaskId task, long attempt, Duration gracePeriod) {
  /** What an agent is to do; the order is that of records between controllers. */
  public enum Verb {
    START("run"),
    STOP("kill"),
    FORGET("clear");

    private final String wireName;

    Verb(String wireName) {
      this.wireName = wireName;
    }
  }

  /** Starts an attempt. */
  public static AgentCommand start(TaskId task, long attempt) {
    return new AgentCommand(Verb.START, task, attempt, Duration.ZERO);
  }

  /** Stops an attempt; it may save a checkpoint within the grace period. */
  public static AgentCommand stop(TaskId task, long attempt, Duration gracePeriod) {
    return new AgentCommand(Verb.STOP, task, attempt, gracePeriod);
  }

  /** Has the agent forget an attempt that has ended, so that heartbeats name it no more. */
  public static AgentCommand forget(TaskId task, long attempt) {
    return new AgentCommand(Verb.FORGET, task, attempt, Duration.ZERO);
  }

  /** Writes the same as {@link #toNode}, straight to bytes. */
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

  /** The command as an agent reads it. */
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
