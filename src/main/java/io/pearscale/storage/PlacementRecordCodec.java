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
 * The form in which one value holds what is known of the tasks of many jobs: which are done, and
 * for each other one the machine that it may be on. The mark is durable before the start command is
 * sent, so that a new leader need hold a task back for that one machine alone.
 */
public final class PlacementRecordCodec {
  private static final int MOST_BY_PLACE = 0xffff;

  /** Done tasks, hosts, three amounts and a team. */
  private static final int TEXTS_WITH_CLAIM = 6;

  /** Quotes, colon and comma of an entry. */
  private static final int JSON_PUNCTUATION = 6;

  /** Between a job and the number of its part, where machines are named by place. */
  private static final char PART = '/';

  /** Between a job and its part's first task, where machines are named by number. */
  private static final char FIRST = ':';

  /**
   * One part of a job.
   *
   * @param first the part's first task
   * @param done tasks that are done, numbered from the first
   * @param hosts for each task the number of the machine that it may be on, or 0
   * @param claim what each task takes of its team's limit, if there is one: a job that is cancelled
   *     is described nowhere else, while its tasks still count
   */
  public record Part(String job, int first, BitSet done, int[] hosts, Optional<Claim> claim) {}

  /** What a task takes, and of which team's limit. */
  public record Claim(String team, double cpus, double gpus, double memoryGb) {
    private static final int NUMBER = 24;

    /** How much longer a part's entry becomes by it. */
    public int size() {
      return team.length() + 3 * NUMBER + 4;
    }

    private String text() {
      return "|" + cpus + "|" + gpus + "|" + memoryGb + "|" + team;
    }
  }

  private PlacementRecordCodec() {}

  /** The number by which marks name the machine at a place of the roster. */
  public static int numberOfPlace(int value, int place, int places) {
    int number = value * places + place + 1;
    if (number > MOST_BY_PLACE) {
      throw new IllegalArgumentException("the roster is full");
    }
    return number;
  }

  /** How large the entry of a part with so many tasks may become. */
  public static int size(String job, int tasks, RecordLayout layout) {
    return job.length() + 24 + base64(tasks / 8 + 1) + base64(layout.numberBytes() * tasks);
  }

  private static int base64(int bytes) {
    return (bytes + 2) / 3 * 4;
  }

  /** Encodes a value in the form of the layout. */
  public static JsonNode encode(Collection<Part> parts, RecordLayout layout) {
    ObjectNode value = MessagePack.map();
    Base64.Encoder text = Base64.getEncoder().withoutPadding();
    for (Part part : parts) {
      value.put(
          name(part, layout),
          text.encodeToString(part.done.toByteArray())
              + "|"
              + text.encodeToString(numbers(part.hosts, layout.numberBytes()))
              + part.claim.map(Claim::text).orElse(""));
    }
    return value;
  }

  private static String name(Part part, RecordLayout layout) {
    return layout == RecordLayout.BY_PLACE
        ? part.job + PART + part.first / layout.partTasks()
        : part.job + FIRST + part.first;
  }

  /** The numbers, the highest byte first, up to the last one that is not 0. */
  private static byte[] numbers(int[] hosts, int width) {
    int count = 0;
    for (int i = 0; i < hosts.length; i++) {
      count = hosts[i] > 0 ? i + 1 : count;
    }
    byte[] bytes = new byte[width * count];
    for (int i = 0; i < bytes.length; i++) {
      int shift = 8 * (width - 1 - i % width);
      bytes[i] = (byte) (hosts[i / width] >> shift);
    }
    return bytes;
  }

  /** How long an encoded value is as JSON, without writing it out for that. */
  public static int length(JsonNode value) {
    int length = 2;
    for (var it = value.fields(); it.hasNext(); ) {
      var entry = it.next();
      length += entry.getKey().length() + entry.getValue().textValue().length() + JSON_PUNCTUATION;
    }
    return length;
  }

  /**
   * Decodes a value. An entry that can't be read is not taken for absent: its tasks may run
   * somewhere, so whoever can't read it must not lead.
   */
  public static List<Part> decode(JsonNode value) throws MalformedMessageException {
    List<Part> parts = new ArrayList<>();
    for (var fields = MessageFields.requireMap(value).fields(); fields.hasNext(); ) {
      var field = fields.next();
      try {
        parts.add(decode(field.getKey(), field.getValue().asText()));
      } catch (IllegalArgumentException | IndexOutOfBoundsException | ArithmeticException e) {
        throw new MalformedMessageException("marks of " + field.getKey());
      }
    }
    return parts;
  }

  private static Part decode(String name, String entry) {
    boolean byPlace = name.indexOf(PART) >= 0;
    RecordLayout layout = byPlace ? RecordLayout.BY_PLACE : RecordLayout.BY_NUMBER;
    int separator = name.lastIndexOf(byPlace ? PART : FIRST);
    int number = Integer.parseInt(name.substring(separator + 1));
    String[] text = entry.split("\\|", TEXTS_WITH_CLAIM);
    byte[] bytes = Base64.getDecoder().decode(text[1]);
    return new Part(
        name.substring(0, separator),
        byPlace ? Math.multiplyExact(number, layout.partTasks()) : number,
        BitSet.valueOf(Base64.getDecoder().decode(text[0])),
        hosts(bytes, layout.numberBytes()),
        claim(text));
  }

  private static int[] hosts(byte[] bytes, int width) {
    int[] hosts = new int[bytes.length / width];
    for (int i = 0; i < hosts.length * width; i++) {
      hosts[i / width] = hosts[i / width] << 8 | bytes[i] & 0xff;
    }
    return hosts;
  }

  private static Optional<Claim> claim(String[] text) {
    return text.length < TEXTS_WITH_CLAIM
        ? Optional.empty()
        : Optional.of(
            new Claim(
                text[5],
                Double.parseDouble(text[2]),
                Double.parseDouble(text[3]),
                Double.parseDouble(text[4])));
  }
}
