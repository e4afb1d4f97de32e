package io.pearscale.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.transport.MessagePack;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * The specification of a job as submitted by its user. {@link #parse} and {@link #toNode} map the
 * wire names of the fields.
 *
 * @param id the job id chosen by the user, see {@link #isValidId}
 * @param jobClass the job class that service-level objectives refer to
 * @param team the team that submitted the job
 * @param workloadType how the tasks depend on each other
 * @param tasks the number of tasks, 1 to 100,000
 * @param cpus processor cores per task
 * @param gpus accelerators per task
 * @param memoryGb memory per task in GB
 * @param image the image that each task needs on its machine
 * @param imageGb the size of the image in GB
 * @param machineTypes the allowed machine types; empty if all are allowed
 * @param zone the only allowed zone; empty if all are allowed
 * @param singleZone whether all tasks must run in the same zone
 * @param spreadAcrossZones whether a zone may contain at most half of the tasks
 * @param spotAllowed whether tasks may run on spot machines
 * @param estimatedDuration the user's estimate of the run time of a task; zero for services
 * @param checkpointInterval the progress between two checkpoints of a task; zero if it saves none
 * @param checkpointDuration how long a stopped task takes to save a checkpoint
 * @param deadline the time after submission by which the job should be complete
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
   * Returns whether the text is a valid job id: the prefix {@code wk-}, then 1 to 64 letters and
   * digits. This check runs for each task of each heartbeat, so it avoids a regular expression.
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
   * Parses a submission, or a job stored in the key-value store.
   *
   * @throws MalformedMessageException if a field is missing or invalid
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

  /** Returns the job in its stored format, which equals that of a submission. */
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

  /** Returns whether the tasks are replicas that run until the job is cancelled. */
  public boolean isService() {
    return workloadType == WorkloadType.SERVICE;
  }

  /** Returns whether the tasks must all run at the same time. */
  public boolean isGang() {
    return workloadType == WorkloadType.GANG;
  }

  /** Returns whether a stored job is a gang. The other fields may be unreadable. */
  public static boolean isStoredGang(JsonNode stored) {
    return stored.path(WORKLOAD_TYPE_FIELD).asText().equals(WorkloadType.GANG.wireName());
  }

  /**
   * Returns whether an empty machine of the given type in the given zone, spot or on demand, may
   * run a task of the job.
   */
  public boolean allows(MachineType type, String inZone, boolean onSpot) {
    return (spotAllowed || !onSpot)
        && machineTypes.map(t -> t.contains(type.name())).orElse(true)
        && zone.map(z -> z.equals(inZone)).orElse(true)
        && cpus <= type.cpus()
        && gpus <= type.gpus()
        && memoryGb <= type.memoryGb();
  }

  /**
   * Returns whether machines of the given type may run tasks of the job in at least one zone, spot
   * or on demand.
   */
  public boolean allowsInSomeZone(MachineType type) {
    return type.zones().stream()
        .anyMatch(z -> allows(type, z, /* onSpot= */ false) || allows(type, z, /* onSpot= */ true));
  }

  /** Returns the maximum number of tasks in one zone. */
  public int maxTasksPerZone() {
    return spreadAcrossZones ? (tasks + 1) / 2 : tasks;
  }
}
