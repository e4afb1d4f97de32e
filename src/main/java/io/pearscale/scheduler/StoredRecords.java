package io.pearscale.scheduler;

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
 * @param tasks the parts of jobs, first those in the layout that is written: what they say of a
 *     task is newer than what the other layout says
 */
record StoredRecords(List<StoredMachine> machines, List<StoredPart> tasks) {
  /** A machine, as one value says. */
  record StoredMachine(RecordLayout layout, int value, MachineRecordCodec.MachineRecord entry) {
    /** The key of the value. */
    String key() {
      return layout.machineKey(value);
    }

    /** The number by which marks of the same layout name it. */
    int number() {
      return layout == RecordLayout.INDEXED
          ? entry.index()
          : PlacementRecordCodec.positionalReference(value, entry.index(), RecordPacker.PLACES);
    }
  }

  /** A part of a job, as one value says. */
  record StoredPart(RecordLayout layout, int value, PlacementRecordCodec.PartitionRecord part) {
    /** The key of the value. */
    String key() {
      return layout.placementKey(value);
    }
  }

  /** Reads a record's value. */
  private interface Decoder<T> {
    List<T> decode(JsonNode value) throws MalformedMessageException;
  }

  /** Makes an entry of a decoded one. */
  private interface Maker<T, S> {
    S make(RecordLayout layout, int value, T decoded);
  }

  /**
   * Decodes all records; the message of what is thrown names the key that can't be read.
   *
   * @param written the layout that is written
   */
  static StoredRecords decode(
      Map<String, JsonNode> roster, Map<String, JsonNode> marks, RecordLayout written)
      throws MalformedMessageException {
    List<StoredMachine> machines =
        decode(
            roster,
            key -> RecordLayout.ofMachineKey(key).orElseThrow(),
            MachineRecordCodec::decode,
            StoredMachine::new);
    List<StoredPart> tasks =
        decode(
            marks,
            key -> RecordLayout.ofPlacementKey(key).orElseThrow(),
            PlacementRecordCodec::decode,
            StoredPart::new);
    machines.sort(Comparator.comparing(machine -> machine.layout() != written));
    tasks.sort(Comparator.comparing(part -> part.layout() != written));
    return new StoredRecords(machines, tasks);
  }

  private static <T, S> List<S> decode(
      Map<String, JsonNode> values,
      Function<String, RecordLayout> layoutOf,
      Decoder<T> decoder,
      Maker<T, S> maker)
      throws MalformedMessageException {
    List<S> entries = new ArrayList<>();
    for (Map.Entry<String, JsonNode> value : values.entrySet()) {
      String key = value.getKey();
      try {
        RecordLayout layout = layoutOf.apply(key);
        for (T decoded : decoder.decode(value.getValue())) {
          entries.add(maker.make(layout, Keys.valueNumber(key), decoded));
        }
      } catch (MalformedMessageException | NumberFormatException e) {
        throw new MalformedMessageException(key + ": " + e.getMessage());
      }
    }
    return entries;
  }
}
