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
 * Encodes and decodes values of machine records. A machine is recorded before any task is started
 * on it, so a new leader knows every machine that may hold a task.
 */
public final class MachineRecordCodec {
  /**
   * The stored record of a machine.
   *
   * @param number identifies the machine in placement records: its position in its value in the
   *     positional layout, its unique record number in the numbered layout
   * @param address host and port of its agent; empty until the agent has sent a heartbeat
   * @param retiring whether the machine may already be in deletion and must never be used again
   * @param maintenance the maintenance state; not stored below schema level 1
   */
  public record MachineRecord(
      int number,
      String machine,
      String address,
      String type,
      String zone,
      boolean spot,
      long incarnation,
      boolean retiring,
      Maintenance maintenance) {}

  /** Number of fields of a record at schema level 0; from level 1 on there is one more. */
  private static final int FIELDS_AT_LEVEL_0 = 8;

  private MachineRecordCodec() {}

  /** Upper bound in bytes for an encoded record. */
  public static int maxEncodedSize(MachineRecord record) {
    return 64
        + record.machine.length()
        + Math.max(24, record.address.length())
        + record.type.length()
        + record.zone.length();
  }

  /** Length of an encoded value as JSON. */
  public static int jsonLength(JsonNode value) {
    return value.toString().length();
  }

  /** Encodes a value in the format of the given schema level. */
  public static JsonNode encode(Collection<MachineRecord> records, int level) {
    ObjectNode value = MessagePack.map();
    ArrayNode list = value.putArray("m");
    for (MachineRecord record : records) {
      ArrayNode fields = list.addArray();
      fields
          .add(record.number)
          .add(record.machine)
          .add(record.address)
          .add(record.type)
          .add(record.zone)
          .add(record.spot)
          .add(record.incarnation)
          .add(record.retiring);
      if (level >= Feature.MACHINE_MAINTENANCE.requiredLevel()) {
        fields.add(record.maintenance.encode());
      }
    }
    return value;
  }

  /**
   * The schema level in whose format the value is encoded; empty if the value has no records and so
   * is valid at every level.
   */
  public static OptionalInt levelOf(JsonNode value) {
    JsonNode first = value.path("m").path(0);
    return first.isMissingNode()
        ? OptionalInt.empty()
        : OptionalInt.of(first.size() > FIELDS_AT_LEVEL_0 ? 1 : 0);
  }

  /**
   * Decodes a value. A malformed entry is an error and is not treated as absent, as in {@link
   * PlacementRecordCodec}.
   */
  public static List<MachineRecord> decode(JsonNode value) throws MalformedMessageException {
    List<MachineRecord> records = new ArrayList<>();
    for (JsonNode fields : MessageFields.list(MessageFields.requireMap(value), "m")) {
      boolean complete =
          fields.path(0).isIntegralNumber()
              && fields.path(1).isTextual()
              && fields.path(2).isTextual()
              && fields.path(3).isTextual()
              && fields.path(4).isTextual()
              && fields.path(5).isBoolean()
              && fields.path(6).isIntegralNumber()
              && fields.path(7).isBoolean()
              && (fields.size() <= FIELDS_AT_LEVEL_0 || fields.path(8).isTextual());
      if (!complete) {
        throw new MalformedMessageException(
            "roster entry " + fields.path(1).asText("without a name"));
      }
      records.add(
          new MachineRecord(
              fields.path(0).intValue(),
              fields.path(1).textValue(),
              fields.path(2).textValue(),
              fields.path(3).textValue(),
              fields.path(4).textValue(),
              fields.path(5).booleanValue(),
              fields.path(6).longValue(),
              fields.path(7).booleanValue(),
              Maintenance.parse(fields.path(8).asText(""))));
    }
    return records;
  }
}
