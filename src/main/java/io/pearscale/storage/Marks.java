package io.pearscale.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.protocol.Fields;
import io.pearscale.protocol.Malformed;
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
public final class Marks {
  /** Tasks of one part of a job: a part's entry stays well below any value's limit. */
  public static final int PART = 1024;

  private static final int MOST = 0xffff;

  /** Done tasks, hosts, three amounts and a team. */
  private static final int TEXTS_WITH_CLAIM = 6;

  /** Quotes, colon and comma of an entry. */
  private static final int JSON_PUNCTUATION = 6;

  /**
   * One part of a job.
   *
   * @param done tasks that are done, numbered from the part's first
   * @param hosts for each task the machine's number in the roster plus 1, or 0
   * @param claim what each task takes of its team's limit, if there is one: a job that is cancelled
   *     is described nowhere else, while its tasks still count
   */
  public record Part(String job, int part, BitSet done, int[] hosts, Optional<Claim> claim) {}

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

  private Marks() {}

  /** The number of a machine that marks name it by. */
  public static int host(int value, int place, int places) {
    int n = value * places + place + 1;
    if (n > MOST) {
      throw new IllegalArgumentException("the roster is full");
    }
    return n;
  }

  /** How large the entry of a part with so many tasks may become. */
  public static int size(String job, int tasks) {
    return job.length() + 24 + base64(tasks / 8 + 1) + base64(2 * tasks);
  }

  private static int base64(int bytes) {
    return (bytes + 2) / 3 * 4;
  }

  /** Encodes a value. */
  public static JsonNode encode(Collection<Part> parts) {
    ObjectNode value = MessagePack.map();
    for (Part p : parts) {
      int n = 0;
      for (int i = 0; i < p.hosts.length; i++) {
        n = p.hosts[i] > 0 ? i + 1 : n;
      }
      byte[] hosts = new byte[2 * n];
      for (int i = 0; i < n; i++) {
        hosts[2 * i] = (byte) (p.hosts[i] >> 8);
        hosts[2 * i + 1] = (byte) p.hosts[i];
      }
      Base64.Encoder e = Base64.getEncoder().withoutPadding();
      value.put(
          p.job + "/" + p.part,
          e.encodeToString(p.done.toByteArray())
              + "|"
              + e.encodeToString(hosts)
              + p.claim.map(Claim::text).orElse(""));
    }
    return value;
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
  public static List<Part> decode(JsonNode value) throws Malformed {
    List<Part> parts = new ArrayList<>();
    for (var fields = Fields.map(value).fields(); fields.hasNext(); ) {
      var field = fields.next();
      try {
        parts.add(decode(field.getKey(), field.getValue().asText()));
      } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
        throw new Malformed("marks of " + field.getKey());
      }
    }
    return parts;
  }

  private static Part decode(String name, String entry) {
    int slash = name.lastIndexOf('/');
    String[] text = entry.split("\\|", TEXTS_WITH_CLAIM);
    byte[] bytes = Base64.getDecoder().decode(text[1]);
    int[] hosts = new int[bytes.length / 2];
    for (int i = 0; i < hosts.length; i++) {
      hosts[i] = (bytes[2 * i] & 0xff) << 8 | bytes[2 * i + 1] & 0xff;
    }
    Optional<Claim> claim =
        text.length < TEXTS_WITH_CLAIM
            ? Optional.empty()
            : Optional.of(
                new Claim(
                    text[5],
                    Double.parseDouble(text[2]),
                    Double.parseDouble(text[3]),
                    Double.parseDouble(text[4])));
    return new Part(
        name.substring(0, slash),
        Integer.parseInt(name.substring(slash + 1)),
        BitSet.valueOf(Base64.getDecoder().decode(text[0])),
        hosts,
        claim);
  }
}
