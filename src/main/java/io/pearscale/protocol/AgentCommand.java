package io.pearscale.protocol;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.transport.MessagePack;
import java.io.IOException;
import java.time.Duration;
import org.msgpack.core.MessagePacker;

/** A command to a worker. */
public record AgentCommand(Verb verb, TaskId task, long attempt, Duration gracePeriod) {
  /** What the worker is to do. */
  public enum Verb {
    START("run"),
    STOP("kill"),
    FORGET("clear");

    private final String wire;

    Verb(String wire) {
      this.wire = wire;
    }
  }

  /** Starts an attempt. */
  public static AgentCommand start(TaskId task, long attempt) {
    return new AgentCommand(Verb.START, task, attempt, Duration.ZERO);
  }

  /** Stops an attempt; it may save for as long as the grace. */
  public static AgentCommand stop(TaskId task, long attempt, Duration gracePeriod) {
    return new AgentCommand(Verb.STOP, task, attempt, gracePeriod);
  }

  /** Removes an ended attempt from the reports. */
  public static AgentCommand forget(TaskId task, long attempt) {
    return new AgentCommand(Verb.FORGET, task, attempt, Duration.ZERO);
  }

  /** Writes what {@link #toNode} makes a tree of. */
  void pack(MessagePacker out) throws IOException {
    out.packMapHeader(verb == Verb.STOP ? 4 : 3);
    out.packString("verb");
    out.packString(verb.wire);
    out.packString("piece");
    out.packString(task.toString());
    out.packString("try");
    out.packLong(attempt);
    if (verb == Verb.STOP) {
      out.packString("leewayS");
      out.packDouble(MessageFields.seconds(gracePeriod));
    }
  }

  /** As the worker reads it. */
  public ObjectNode toNode() {
    ObjectNode node =
        MessagePack.map().put("verb", verb.wire).put("piece", task.toString()).put("try", attempt);
    if (verb == Verb.STOP) {
      node.put("leewayS", MessageFields.seconds(gracePeriod));
    }
    return node;
  }
}
