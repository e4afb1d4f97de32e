package io.pearscale.scheduler.records;

import com.fasterxml.jackson.databind.JsonNode;
import io.pearscale.protocol.MalformedMessageException;
import io.pearscale.storage.Keys;
import io.pearscale.storage.MachineRecordCodec;
import io.pearscale.storage.PlacementRecordCodec;
import io.pearscale.storage.RecordLayout;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * The stored machine records and placement records, all of which are decoded before a new leader
 * adopts any of them. If one record can't be read, the whole decoding fails: a leader that ignored
 * the record would start its tasks a second time.
 *
 * @param machines the machine records, those in the layout in force first
 * @param partitions the placement records, those in the layout in force first; if a task is
 *     recorded in both layouts, these records have the newer state
 */
record StoredRecords(List<StoredMachine> machines, List<StoredPartition> partitions) {
  /** A machine record and the value that holds it. */
  record StoredMachine(RecordLayout layout, int value, MachineRecordCodec.MachineRecord record) {
    /** Returns the key of the value. */
    String key() {
      return layout.machineKey(value);
    }

    /** Returns the number by which placement records of the same layout refer to the machine. */
    int reference() {
      return layout == RecordLayout.NUMBERED
          ? record.number()
          : PlacementRecordCodec.positionalReference(
              value, record.number(), RecordPacker.SLOTS_PER_VALUE);
    }
  }

  /** A placement record and the value that holds it. */
  record StoredPartition(
      RecordLayout layout, int value, PlacementRecordCodec.PartitionRecord record) {
    /** Returns the key of the value. */
    String key() {
      return layout.placementKey(value);
    }
  }

  /** Decodes a stored value into records. */
  private interface ValueDecoder<T> {
    List<T> decode(JsonNode value) throws MalformedMessageException;
  }

  /** Creates a stored record from a decoded one. */
  private interface StoredRecordFactory<T, S> {
    S create(RecordLayout layout, int value, T decoded);
  }

  /**
   * Decodes all records.
   *
   * @param currentLayout the layout in force
   * @throws MalformedMessageException if a record can't be read; the message names its key
   */
  static StoredRecords decode(
      Map<String, JsonNode> machineValues,
      Map<String, JsonNode> placementValues,
      RecordLayout currentLayout)
      throws MalformedMessageException {
    List<StoredMachine> machines =
        decode(
            machineValues,
            key -> RecordLayout.ofMachineKey(key).orElseThrow(),
            MachineRecordCodec::decode,
            StoredMachine::new);
    List<StoredPartition> partitions =
        decode(
            placementValues,
            key -> RecordLayout.ofPlacementKey(key).orElseThrow(),
            PlacementRecordCodec::decode,
            StoredPartition::new);
    machines.sort(Comparator.comparing(machine -> machine.layout() != currentLayout));
    partitions.sort(Comparator.comparing(partition -> partition.layout() != currentLayout));
    return new StoredRecords(machines, partitions);
  }

  private static <T, S> List<S> decode(
      Map<String, JsonNode> values,
      Function<String, RecordLayout> layoutOf,
      ValueDecoder<T> decoder,
      StoredRecordFactory<T, S> factory)
      throws MalformedMessageException {
    List<S> records = new ArrayList<>();
    for (Map.Entry<String, JsonNode> value : values.entrySet()) {
      String key = value.getKey();
      try {
        RecordLayout layout = layoutOf.apply(key);
        for (T decoded : decoder.decode(value.getValue())) {
          records.add(factory.create(layout, Keys.valueNumber(key), decoded));
        }
      } catch (MalformedMessageException | NumberFormatException e) {
        throw new MalformedMessageException(key + ": " + e.getMessage());
      }
    }
    return records;
  }
}
