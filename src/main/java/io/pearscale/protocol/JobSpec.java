package io.pearscale.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.transport.MessagePack;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * A job as its user described it. Names of the wire's fields end here.
 *
 * @param id the id that the user chose, see {@link #isValidId}
 * @param jobClass the class that service-level objectives name
 * @param team the team that submitted it
 * @param workloadType how its tasks belong together
 * @param tasks the number of its tasks, 1 to 100,000
 * @param cpus processor cores of each task
 * @param gpus accelerators of each task
 * @param memoryGb memory of each task
 * @param image the image that each task needs on its machine
 * @param imageGb the size of the image
 * @param machineTypes the types of machine that are allowed; empty if all are
 * @param zone the only zone that is allowed; empty if all are
 * @param singleZone whether all tasks must be in one zone
 * @param spreadAcrossZones whether one zone may hold half of the tasks at most
 * @param spotAllowed whether tasks may run on spot machines
 * @param estimatedDuration the user's estimate of a task's run time; zero for services
 * @param checkpointInterval after how much progress a task saves a checkpoint; zero: never
 * @param checkpointDuration how long a task takes to save when it is stopped
 * @param deadline when the job should be complete, from its submission on
 */
public record JobSpec(
    String id,
    String jobClass,
    String team,
    WorkloadType workloadType,
    Priority priority,
    int tasks,
    double cpus,
    double gpus,
    double memoryGb,
    String image,
    double imageGb,
    Optional<List<String>> machineTypes,
    Optional<String> zone,
    boolean singleZone,
    boolean spreadAcrossZones,
    boolean spotAllowed,
    Duration estimatedDuration,
    Duration checkpointInterval,
    Duration checkpointDuration,
    Optional<Duration> deadline) {

  private static final String WORKLOAD_TYPE_FIELD = "shape";
  private static final String ID_PREFIX = "wk-";
  private static final int MAX_ID_LENGTH = ID_PREFIX.length() + 64;

  /**
   * Whether the text has the form of a job id: the prefix, then 1 to 64 letters and digits. Asked
   * for each task of each heartbeat, so without a regular expression.
   */
  public static boolean isValidId(String id) {
    if (!id.startsWith(ID_PREFIX)
        || id.length() == ID_PREFIX.length()
        || id.length() > MAX_ID_LENGTH) {
      return false;
    }
    for (int i = ID_PREFIX.length(); i < id.length(); i++) {
      char c = id.charAt(i);
      if (!((c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z'))) {
        return false;
      }
    }
    return true;
  }

  /**
   * Reads a submission, or the same out of the key-value store.
   *
   * @throws MalformedMessageException if a field is missing or breaks the protocol
   */
  public static JobSpec parse(JsonNode body) throws MalformedMessageException {
    JsonNode map = MessageFields.requireMap(body);
    String id = MessageFields.text(map, "uid");
    if (!isValidId(id)) {
      throw new MalformedMessageException("uid: an id like wk-000412 expected");
    }
    WorkloadType workloadType =
        WorkloadType.parse(MessageFields.text(map, WORKLOAD_TYPE_FIELD))
            .orElseThrow(
                () -> new MalformedMessageException("shape: batch, service or group expected"));
    Priority priority =
        Priority.parse(MessageFields.text(map, "rank"))
            .orElseThrow(
                () ->
                    new MalformedMessageException("rank: critical, high, normal or idle expected"));
    Optional<Double> deadlineSeconds = MessageFields.optionalAmount(map, "dueS");
    Optional<List<String>> machineTypes = MessageFields.strings(map, "breeds");
    return new JobSpec(
        id,
        MessageFields.text(map, "lineup"),
        MessageFields.text(map, "crew"),
        workloadType,
        priority,
        (int) MessageFields.integer(map, "pieces", 1, 100_000),
        MessageFields.amount(map, "vcpus"),
        MessageFields.amount(map, "accelerators"),
        MessageFields.amount(map, "memoryGb"),
        MessageFields.text(map, "bundle"),
        MessageFields.amount(map, "imageGb"),
        machineTypes,
        MessageFields.optionalText(map, "yard"),
        MessageFields.bool(map, "oneZone"),
        MessageFields.bool(map, "spread"),
        MessageFields.bool(map, "windfall"),
        MessageFields.seconds(map, "guessS"),
        MessageFields.seconds(map, "bookmarkS"),
        MessageFields.seconds(map, "stashS"),
        deadlineSeconds.map(MessageFields::duration));
  }

  /** The job as it is stored. */
  public ObjectNode toNode() {
    ObjectNode node =
        MessagePack.map()
            .put("uid", id)
            .put("lineup", jobClass)
            .put("crew", team)
            .put(WORKLOAD_TYPE_FIELD, workloadType.wireName())
            .put("rank", priority.wireName())
            .put("pieces", tasks)
            .put("vcpus", cpus)
            .put("accelerators", gpus)
            .put("memoryGb", memoryGb)
            .put("bundle", image)
            .put("imageGb", imageGb);
    machineTypes.ifPresent(
        t -> {
          var list = node.putArray("breeds");
          t.forEach(list::add);
        });
    zone.ifPresent(z -> node.put("yard", z));
    node.put("oneZone", singleZone)
        .put("spread", spreadAcrossZones)
        .put("windfall", spotAllowed)
        .put("guessS", MessageFields.seconds(estimatedDuration))
        .put("bookmarkS", MessageFields.seconds(checkpointInterval))
        .put("stashS", MessageFields.seconds(checkpointDuration));
    deadline.ifPresent(d -> node.put("dueS", MessageFields.seconds(d)));
    return node;
  }

  /** Whether the tasks are replicas, which run until the job is cancelled. */
  public boolean isService() {
    return workloadType == WorkloadType.SERVICE;
  }

  /** Whether the tasks run all at the same time or not at all. */
  public boolean isGang() {
    return workloadType == WorkloadType.GANG;
  }

  /** Whether a stored job, which need not be readable otherwise, is a gang. */
  public static boolean isStoredGang(JsonNode stored) {
    return stored.path(WORKLOAD_TYPE_FIELD).asText().equals(WorkloadType.GANG.wireName());
  }

  /** Whether a machine of this type, zone and kind may run the job's tasks at all. */
  public boolean allows(MachineType type, String inZone, boolean onSpot) {
    return (spotAllowed || !onSpot)
        && machineTypes.map(t -> t.contains(type.name())).orElse(true)
        && zone.map(z -> z.equals(inZone)).orElse(true)
        && cpus <= type.cpus()
        && gpus <= type.gpus()
        && memoryGb <= type.memoryGb();
  }

  /** Whether machines of this type may run the job's tasks in some zone, ordinary or spot. */
  public boolean allowsInSomeZone(MachineType type) {
    return type.zones().stream()
        .anyMatch(z -> allows(type, z, /* onSpot= */ false) || allows(type, z, /* onSpot= */ true));
  }

  /** How many of the tasks may be in one zone. */
  public int maxTasksPerZone() {
    return spreadAcrossZones ? (tasks + 1) / 2 : tasks;
  }
}
