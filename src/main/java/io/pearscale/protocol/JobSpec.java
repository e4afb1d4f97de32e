package io.pearscale.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.transport.MessagePack;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** A job as its user described it. Field names of the wire end here. */
public record JobSpec(
    String id,
    String jobClass,
    String team,
    Shape shape,
    Priority priority,
    int tasks,
    double cpus,
    double gpus,
    double memoryGb,
    String image,
    double imageGb,
    Optional<List<String>> types,
    Optional<String> zone,
    boolean oneZone,
    boolean spread,
    boolean spot,
    Duration estimate,
    Duration checkpoint,
    Duration save,
    Optional<Duration> deadline) {

  private static final String SHAPE = "shape";
  private static final String ID_PREFIX = "wk-";
  private static final int LONGEST_ID = ID_PREFIX.length() + 64;

  /**
   * Whether the text has the form of a job id: the prefix, then 1 to 64 letters and digits. Asked
   * for each task of each report, so without a regular expression.
   */
  public static boolean isId(String id) {
    if (!id.startsWith(ID_PREFIX)
        || id.length() == ID_PREFIX.length()
        || id.length() > LONGEST_ID) {
      return false;
    }
    for (int i = ID_PREFIX.length(); i < id.length(); i++) {
      char c = id.charAt(i);
      if (!(c >= '0' && c <= '9' || c >= 'A' && c <= 'Z' || c >= 'a' && c <= 'z')) {
        return false;
      }
    }
    return true;
  }

  /** Reads a submission, or the same out of the state service. */
  public static JobSpec parse(JsonNode body) throws MalformedMessageException {
    JsonNode m = Fields.map(body);
    String id = Fields.text(m, "uid");
    if (!isId(id)) {
      throw new MalformedMessageException("uid: an id like wk-000412 expected");
    }
    Shape shape =
        Shape.parse(Fields.text(m, SHAPE))
            .orElseThrow(
                () -> new MalformedMessageException("shape: batch, service or group expected"));
    Priority priority =
        Priority.parse(Fields.text(m, "rank"))
            .orElseThrow(
                () ->
                    new MalformedMessageException("rank: critical, high, normal or idle expected"));
    Optional<Double> due = Fields.optAmount(m, "dueS");
    Optional<List<String>> types = Fields.texts(m, "breeds");
    return new JobSpec(
        id,
        Fields.text(m, "lineup"),
        Fields.text(m, "crew"),
        shape,
        priority,
        (int) Fields.integer(m, "pieces", 1, 100_000),
        Fields.amount(m, "vcpus"),
        Fields.amount(m, "accelerators"),
        Fields.amount(m, "memoryGb"),
        Fields.text(m, "bundle"),
        Fields.amount(m, "imageGb"),
        types,
        Fields.optText(m, "yard"),
        Fields.flag(m, "oneZone"),
        Fields.flag(m, "spread"),
        Fields.flag(m, "windfall"),
        Fields.seconds(m, "guessS"),
        Fields.seconds(m, "bookmarkS"),
        Fields.seconds(m, "stashS"),
        due.map(Fields::duration));
  }

  /** Writes the job as it is kept. */
  public ObjectNode toNode() {
    ObjectNode n =
        MessagePack.map()
            .put("uid", id)
            .put("lineup", jobClass)
            .put("crew", team)
            .put(SHAPE, shape.wire())
            .put("rank", priority.wire())
            .put("pieces", tasks)
            .put("vcpus", cpus)
            .put("accelerators", gpus)
            .put("memoryGb", memoryGb)
            .put("bundle", image)
            .put("imageGb", imageGb);
    types.ifPresent(
        t -> {
          var list = n.putArray("breeds");
          t.forEach(list::add);
        });
    zone.ifPresent(z -> n.put("yard", z));
    n.put("oneZone", oneZone)
        .put("spread", spread)
        .put("windfall", spot)
        .put("guessS", Fields.seconds(estimate))
        .put("bookmarkS", Fields.seconds(checkpoint))
        .put("stashS", Fields.seconds(save));
    deadline.ifPresent(d -> n.put("dueS", Fields.seconds(d)));
    return n;
  }

  /** Whether its tasks are replicas, which run until the job is cancelled. */
  public boolean service() {
    return shape == Shape.SERVICE;
  }

  /** Whether its tasks run all at the same time or not at all. */
  public boolean gang() {
    return shape == Shape.GANG;
  }

  /** Whether a stored job, which need not be readable otherwise, is a gang. */
  public static boolean isGang(JsonNode stored) {
    return stored.path(SHAPE).asText().equals(Shape.GANG.wire());
  }

  /** Whether a machine of this type, zone and kind may run the job's tasks at all. */
  public boolean allows(MachineType type, String inZone, boolean onSpot) {
    return (spot || !onSpot)
        && types.map(t -> t.contains(type.name())).orElse(true)
        && zone.map(z -> z.equals(inZone)).orElse(true)
        && cpus <= type.cpus()
        && gpus <= type.gpus()
        && memoryGb <= type.memoryGb();
  }

  /** Whether machines of this type may run the job's tasks in some zone, ordinary or spot. */
  public boolean allowsSomewhere(MachineType type) {
    return type.zones().stream()
        .anyMatch(z -> allows(type, z, /* onSpot= */ false) || allows(type, z, /* onSpot= */ true));
  }

  /** How many of the tasks one zone may hold. */
  public int perZone() {
    return spread ? (tasks + 1) / 2 : tasks;
  }
}
