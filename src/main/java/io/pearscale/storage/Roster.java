package io.pearscale.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.transport.MessagePack;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * The form in which one value names many machines. A machine is named before anything is started on
 * it, so that a new leader knows each one that might hold a task.
 */
public final class Roster {
  /**
   * A machine of the roster.
   *
   * @param place where it stands in its value; marks of tasks name machines by value and place
   * @param address empty until the machine has reported
   * @param retiring whether it may be under deletion and must never be used again
   */
  public record Entry(
      int place,
      String machine,
      String address,
      String type,
      String zone,
      boolean spot,
      long session,
      boolean retiring) {}

  private Roster() {}

  /** How large an entry may become. */
  public static int size(Entry e) {
    return 64
        + e.machine.length()
        + Math.max(24, e.address.length())
        + e.type.length()
        + e.zone.length();
  }

  /** Encodes a value. */
  public static JsonNode encode(Collection<Entry> entries) {
    ObjectNode value = MessagePack.map();
    ArrayNode list = value.putArray("m");
    for (Entry e : entries) {
      list.addArray()
          .add(e.place)
          .add(e.machine)
          .add(e.address)
          .add(e.type)
          .add(e.zone)
          .add(e.spot)
          .add(e.session)
          .add(e.retiring);
    }
    return value;
  }

  /** Decodes a value; what is not there reads as empty, which no decision trusts. */
  public static List<Entry> decode(JsonNode value) {
    List<Entry> entries = new ArrayList<>();
    for (JsonNode n : value.path("m")) {
      entries.add(
          new Entry(
              n.path(0).asInt(),
              n.path(1).asText(),
              n.path(2).asText(),
              n.path(3).asText(),
              n.path(4).asText(),
              n.path(5).asBoolean(),
              n.path(6).asLong(1),
              n.path(7).asBoolean()));
    }
    return entries;
  }
}
