package io.pearscale.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.protocol.MalformedMessageException;
import io.pearscale.protocol.MessageFields;
import io.pearscale.transport.MessagePack;
import io.pearscale.upgrade.Feature;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.OptionalInt;

/**
 * The form in which one value names many machines. A machine is named before anything is started on
 * it, so that a new leader knows each one that might hold a task.
 */
public final class MachineRecordCodec {
  /**
   * A machine of the roster.
   *
   * @param number by which marks of tasks name it: in the layout by place where it stands in its
   *     value, else a number of its own
   * @param address empty until the machine has reported
   * @param retiring whether it may be under deletion and must never be used again
   * @param maintenance whether it is in maintenance; not stored below level 1
   */
  public record Entry(
      int number,
      String machine,
      String address,
      String type,
      String zone,
      boolean spot,
      long session,
      boolean retiring,
      Maintenance maintenance) {}

  /** So many fields has an entry at level 0; another one from level 1 on. */
  private static final int FIELDS_OF_LEVEL_0 = 8;

  private MachineRecordCodec() {}

  /** How large an entry may become. */
  public static int size(Entry e) {
    return 64
        + e.machine.length()
        + Math.max(24, e.address.length())
        + e.type.length()
        + e.zone.length();
  }

  /** How long an encoded value is as JSON. */
  public static int length(JsonNode value) {
    return value.toString().length();
  }

  /** Encodes a value in the form of the level. */
  public static JsonNode encode(Collection<Entry> entries, int level) {
    ObjectNode value = MessagePack.map();
    ArrayNode list = value.putArray("m");
    for (Entry e : entries) {
      ArrayNode fields = list.addArray();
      fields
          .add(e.number)
          .add(e.machine)
          .add(e.address)
          .add(e.type)
          .add(e.zone)
          .add(e.spot)
          .add(e.session)
          .add(e.retiring);
      if (level >= Feature.MACHINE_MAINTENANCE.level()) {
        fields.add(e.maintenance.text());
      }
    }
    return value;
  }

  /**
   * The level whose form the value has; empty if it has no entries, which is every level's form.
   */
  public static OptionalInt levelOf(JsonNode value) {
    JsonNode first = value.path("m").path(0);
    return first.isMissingNode()
        ? OptionalInt.empty()
        : OptionalInt.of(first.size() > FIELDS_OF_LEVEL_0 ? 1 : 0);
  }

  /**
   * Decodes a value. An entry that can't be read is not taken for absent, as in {@link
   * PlacementRecordCodec}.
   */
  public static List<Entry> decode(JsonNode value) throws MalformedMessageException {
    List<Entry> entries = new ArrayList<>();
    for (JsonNode n : MessageFields.list(MessageFields.requireMap(value), "m")) {
      boolean complete =
          n.path(0).isIntegralNumber()
              && n.path(1).isTextual()
              && n.path(2).isTextual()
              && n.path(3).isTextual()
              && n.path(4).isTextual()
              && n.path(5).isBoolean()
              && n.path(6).isIntegralNumber()
              && n.path(7).isBoolean()
              && (n.size() <= FIELDS_OF_LEVEL_0 || n.path(8).isTextual());
      if (!complete) {
        throw new MalformedMessageException("roster entry " + n.path(1).asText("without a name"));
      }
      entries.add(
          new Entry(
              n.path(0).intValue(),
              n.path(1).textValue(),
              n.path(2).textValue(),
              n.path(3).textValue(),
              n.path(4).textValue(),
              n.path(5).booleanValue(),
              n.path(6).longValue(),
              n.path(7).booleanValue(),
              Maintenance.parse(n.path(8).asText(""))));
    }
    return entries;
  }
}
