package io.pearscale.drain;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.transport.MessagePack;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/**
 * The progress of a drain and the reasons that block it. Only the leader writes this record.
 *
 * @param inService number of machines that are not yet cordoned or have returned to service
 * @param cordoned number of machines that are being emptied and get no new tasks
 * @param drained number of empty machines that are kept out of service
 * @param released number of machines that were terminated or are no longer known
 * @param remainingTasks number of tasks on cordoned machines
 * @param reasons what blocks progress, for display
 */
public record DrainStatus(
    State state,
    int inService,
    int cordoned,
    int drained,
    int released,
    int remainingTasks,
    List<String> reasons) {

  /** The state of a drain. */
  public enum State {
    /** No machine is cordoned yet. */
    REQUESTED("requested"),
    /** Machines are being emptied. */
    DRAINING("draining"),
    /** Paused by an operator, or outside the maintenance window. */
    PAUSED("paused"),
    /** All machines are drained or terminated. */
    DRAINED("drained"),
    /** Cancelled by an operator, before its completion or to end the maintenance. */
    CANCELLED("cancelled"),
    /** The deadline passed before all machines were empty; the rest have returned to service. */
    FAILED("failed");

    private final String storedName;

    State(String storedName) {
      this.storedName = storedName;
    }
  }

  /** Returns whether the encoded status is final. */
  public static boolean isFinal(JsonNode record) {
    String stored = record.path("state").asText();
    return Stream.of(State.DRAINED, State.CANCELLED, State.FAILED)
        .anyMatch(state -> stored.equals(state.storedName));
  }

  /** Encodes the status with at most {@code maxReasons} reasons. */
  public ObjectNode toNode(int maxReasons) {
    ObjectNode node =
        MessagePack.map()
            .put("state", state.storedName)
            .put("waiting", inService)
            .put("cordoned", cordoned)
            .put("drained", drained)
            .put("gone", released)
            .put("tasksLeft", remainingTasks);
    ArrayNode list = node.putArray("reasons");
    reasons.stream().limit(maxReasons).forEach(list::add);
    return node;
  }

  /** Returns the reasons of an encoded status. */
  public static List<String> reasonsOf(JsonNode record) {
    List<String> reasons = new ArrayList<>();
    record.path("reasons").forEach(reason -> reasons.add(reason.asText()));
    return reasons;
  }
}
