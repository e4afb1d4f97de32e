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
 * What the state service holds of machines and tasks, decoded as a whole before a new leader takes
 * any of it over. A record that can't be read fails the whole: a leader that passed it over would
 * start its tasks a second time.
 *
 * @param machines the machines, first those in the layout that is written
 * @param partitions the parts of jobs, first those in the layout that is written: what they say of
 *     a task is newer than what the other layout says
 */
record StoredRecords(List<StoredMachine> machines, List<StoredPartition> partitions) {
  /** A machine, as one value says. */
  record StoredMachine(RecordLayout layout, int value, MachineRecordCodec.MachineRecord record) {
    /** The key of the value. */
    String key() {
      return layout.machineKey(value);
    }

    /** The number by which marks of the same layout name it. */
    int reference() {
      return layout == RecordLayout.NUMBERED
          ? record.number()
          : PlacementRecordCodec.positionalReference(
              value, record.number(), RecordPacker.SLOTS_PER_VALUE);
    }
  }

  /** A part of a job, as one value says. */
  record StoredPartition(
      RecordLayout layout, int value, PlacementRecordCodec.PartitionRecord record) {
    /** The key of the value. */
    String key() {
      return layout.placementKey(value);
    }
  }

  /** Reads a record's value. */
  private interface ValueDecoder<T> {
    List<T> decode(JsonNode value) throws MalformedMessageException;
  }

  /** Makes an entry of a decoded one. */
  private interface StoredRecordFactory<T, S> {
    S create(RecordLayout layout, int value, T decoded);
  }

  /**
   * Decodes all records; the message of what is thrown names the key that can't be read.
   *
   * @param currentLayout the layout that is written
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
