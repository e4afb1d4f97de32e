package io.pearscale.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.protocol.MalformedMessageException;
import io.pearscale.protocol.MessageFields;
import io.pearscale.transport.MessagePack;
import java.util.ArrayList;
import java.util.Base64;
import java.util.BitSet;
import java.util.Collection;
import java.util.List;
import java.util.Optional;

/**
 * Encodes and decodes values of placement records. For each task of a partition, a record states
 * whether the task is done and, if not, which machine the task may be on. The record is durable
 * before the start command is sent, so a new leader delays a restart of the task only until the
 * state of that one machine is known.
 */
public final class PlacementRecordCodec {
  private static final int MAX_POSITIONAL_REFERENCE = 0xffff;

  /**
   * Number of fields with a quota claim: done tasks, machine references, three amounts and a team.
   */
  private static final int FIELDS_WITH_QUOTA_CLAIM = 6;

  /** Bytes of the quotes, the colon and the comma of an entry. */
  private static final int JSON_PUNCTUATION_LENGTH = 6;

  /** Separates a job from the number of its partition in the positional layout. */
  private static final char PARTITION_NUMBER_SEPARATOR = '/';

  /** Separates a job from the first task of its partition in the numbered layout. */
  private static final char FIRST_TASK_SEPARATOR = ':';

  /**
   * The placement record of one partition of a job.
   *
   * @param firstTask index of the partition's first task
   * @param doneTasks the tasks that are done, as offsets from the first task
   * @param machineReferences for each task, the reference to the machine that it may be on, or 0
   * @param quotaClaim the resources that each task takes from its team's quota, if any; after a job
   *     is cancelled its tasks still count, and only this record describes them
   */
  public record PartitionRecord(
      String job,
      int firstTask,
      BitSet doneTasks,
      int[] machineReferences,
      Optional<QuotaClaim> quotaClaim) {}

  /** The resources that each task takes from a team's quota. */
  public record QuotaClaim(String team, double cpus, double gpus, double memoryGb) {
    private static final int MAX_NUMBER_LENGTH = 24;

    /** Upper bound in bytes for the encoded claim. */
    public int maxEncodedSize() {
      return team.length() + 3 * MAX_NUMBER_LENGTH + 4;
    }

    private String encode() {
      return "|" + cpus + "|" + gpus + "|" + memoryGb + "|" + team;
    }
  }

  private PlacementRecordCodec() {}

  /** The reference to the machine in the given slot in the positional layout, from 1 to 65,535. */
  public static int positionalReference(int valueNumber, int slot, int slotsPerValue) {
    int reference = valueNumber * slotsPerValue + slot + 1;
    if (reference > MAX_POSITIONAL_REFERENCE) {
      throw new IllegalArgumentException(
          "the machine reference exceeds 65535, the maximum of the positional layout");
    }
    return reference;
  }

  /** Upper bound in bytes for the record of a partition with the given number of tasks. */
  public static int maxEncodedSize(String job, int taskCount, RecordLayout layout) {
    return job.length()
        + 24
        + base64Length(taskCount / 8 + 1)
        + base64Length(layout.machineReferenceBytes() * taskCount);
  }

  private static int base64Length(int bytes) {
    return (bytes + 2) / 3 * 4;
  }

  /** Encodes a value in the given layout. */
  public static JsonNode encode(Collection<PartitionRecord> partitions, RecordLayout layout) {
    ObjectNode value = MessagePack.map();
    Base64.Encoder base64 = Base64.getEncoder().withoutPadding();
    for (PartitionRecord partition : partitions) {
      value.put(
          fieldName(partition, layout),
          base64.encodeToString(partition.doneTasks.toByteArray())
              + "|"
              + base64.encodeToString(
                  encodeReferences(partition.machineReferences, layout.machineReferenceBytes()))
              + partition.quotaClaim.map(QuotaClaim::encode).orElse(""));
    }
    return value;
  }

  private static String fieldName(PartitionRecord partition, RecordLayout layout) {
    return layout == RecordLayout.POSITIONAL
        ? partition.job
            + PARTITION_NUMBER_SEPARATOR
            + partition.firstTask / layout.tasksPerPartition()
        : partition.job + FIRST_TASK_SEPARATOR + partition.firstTask;
  }

  /** Encodes the references in big-endian order, up to the last one that is not 0. */
  private static byte[] encodeReferences(int[] references, int width) {
    int count = 0;
    for (int i = 0; i < references.length; i++) {
      count = references[i] > 0 ? i + 1 : count;
    }
    byte[] bytes = new byte[width * count];
    for (int i = 0; i < bytes.length; i++) {
      int shift = 8 * (width - 1 - i % width);
      bytes[i] = (byte) (references[i / width] >> shift);
    }
    return bytes;
  }

  /** Length of an encoded value as JSON, without serialising it. */
  public static int jsonLength(JsonNode value) {
    int length = 2;
    for (var fields = value.fields(); fields.hasNext(); ) {
      var entry = fields.next();
      length +=
          entry.getKey().length() + entry.getValue().textValue().length() + JSON_PUNCTUATION_LENGTH;
    }
    return length;
  }

  /**
   * Decodes a value. A malformed entry is an error and is not treated as absent: its tasks may be
   * running, so a controller that can't read the entry must not lead.
   */
  public static List<PartitionRecord> decode(JsonNode value) throws MalformedMessageException {
    List<PartitionRecord> partitions = new ArrayList<>();
    for (var fields = MessageFields.requireMap(value).fields(); fields.hasNext(); ) {
      var field = fields.next();
      try {
        partitions.add(decode(field.getKey(), field.getValue().asText()));
      } catch (IllegalArgumentException | IndexOutOfBoundsException | ArithmeticException e) {
        throw new MalformedMessageException("marks of " + field.getKey());
      }
    }
    return partitions;
  }

  private static PartitionRecord decode(String name, String entry) {
    boolean positional = name.indexOf(PARTITION_NUMBER_SEPARATOR) >= 0;
    RecordLayout layout = positional ? RecordLayout.POSITIONAL : RecordLayout.NUMBERED;
    int separator =
        name.lastIndexOf(positional ? PARTITION_NUMBER_SEPARATOR : FIRST_TASK_SEPARATOR);
    int number = Integer.parseInt(name.substring(separator + 1));
    String[] fields = entry.split("\\|", FIELDS_WITH_QUOTA_CLAIM);
    byte[] bytes = Base64.getDecoder().decode(fields[1]);
    return new PartitionRecord(
        name.substring(0, separator),
        positional ? Math.multiplyExact(number, layout.tasksPerPartition()) : number,
        BitSet.valueOf(Base64.getDecoder().decode(fields[0])),
        decodeReferences(bytes, layout.machineReferenceBytes()),
        decodeQuotaClaim(fields));
  }

  private static int[] decodeReferences(byte[] bytes, int width) {
    int[] references = new int[bytes.length / width];
    for (int i = 0; i < references.length * width; i++) {
      references[i / width] = (references[i / width] << 8) | (bytes[i] & 0xff);
    }
    return references;
  }

  private static Optional<QuotaClaim> decodeQuotaClaim(String[] fields) {
    return fields.length < FIELDS_WITH_QUOTA_CLAIM
        ? Optional.empty()
        : Optional.of(
            new QuotaClaim(
                fields[5],
                Double.parseDouble(fields[2]),
                Double.parseDouble(fields[3]),
                Double.parseDouble(fields[4])));
  }
}
