package io.pearscale.drain;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.transport.MessagePack;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;

/**
 * How far a drain is, and what holds it up.
 *
 * @param inService machines that are still in service
 * @param cordoned machines that get no new tasks
 * @param drained machines that are empty and held
 * @param released machines that were given back, or are not known any more
 * @param remainingTasks tasks on cordoned machines
 * @param reasons what holds it up, in the planner's own words
 */
public record DrainStatus(
    State state,
    int inService,
    int cordoned,
    int drained,
    int released,
    int remainingTasks,
    List<String> reasons) {

  /** How far it is. */
  public enum State {
    /** Nothing is cordoned yet. */
    REQUESTED,
    /** Machines are being emptied. */
    DRAINING,
    /** An operator holds it, or its window is closed. */
    PAUSED,
    /** All machines are empty and held, or gone. */
    DRAINED,
    /** An operator has taken it back, or ended the maintenance. */
    CANCELLED,
    /** Its time was over before all machines were empty; the others are back in service. */
    FAILED
  }

  /** Whether nothing more comes of a drain with that record. */
  public static boolean isOver(JsonNode record) {
    String word = record.path("state").asText();
    return Stream.of(State.DRAINED, State.CANCELLED, State.FAILED)
        .anyMatch(state -> word.equals(state.name().toLowerCase(Locale.ROOT)));
  }

  /** The record, with so many reasons at the most. */
  public ObjectNode toNode(int maxReasons) {
    ObjectNode node =
        MessagePack.map()
            .put("state", state.name().toLowerCase(Locale.ROOT))
            .put("waiting", inService)
            .put("cordoned", cordoned)
            .put("drained", drained)
            .put("gone", released)
            .put("tasksLeft", remainingTasks);
    ArrayNode list = node.putArray("reasons");
    reasons.stream().limit(maxReasons).forEach(list::add);
    return node;
  }

  /** The reasons of a record. */
  public static List<String> reasonsOf(JsonNode record) {
    List<String> reasons = new ArrayList<>();
    record.path("reasons").forEach(reason -> reasons.add(reason.asText()));
    return reasons;
  }
}
