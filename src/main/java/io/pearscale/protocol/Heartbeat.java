package io.pearscale.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A report of an agent about its machine and tasks.
 *
 * @param machine the machine id
 * @param address the address at which the agent accepts commands
 * @param machineType the name of the machine type
 * @param zone the zone of the machine
 * @param spot whether the machine is a spot machine, which the cloud may preempt
 * @param incarnation the number of the agent's lease, starting at 1; it increases when a lease
 *     expires
 * @param sequence a counter of the agent's messages
 * @param fencingToken the highest fencing token that the agent has seen
 * @param preemptionNotice the time until the cloud preempts the machine; empty without a notice
 * @param tasks the tasks on the machine, including ended ones until a command removes them
 */
public record Heartbeat(
    String machine,
    String address,
    String machineType,
    String zone,
    boolean spot,
    long incarnation,
    long sequence,
    long fencingToken,
    Optional<Duration> preemptionNotice,
    List<TaskStatus> tasks) {

  /** The stage of a task on a machine. Peer records store the ordinals, so the order is fixed. */
  public enum Stage {
    FETCHING,
    RUNNING,
    CHECKPOINTING,
    ENDED,
    /** The image is available and the task waits for the other members of its gang. */
    WAITING;

    static Stage parse(String wireName) throws MalformedMessageException {
      return switch (wireName) {
        case "fetching" -> FETCHING;
        case "waiting" -> WAITING;
        case "running" -> RUNNING;
        case "flushing" -> CHECKPOINTING;
        case "ended" -> ENDED;
        default -> throw new MalformedMessageException("stage: unknown");
      };
    }
  }

  /**
   * The status of one task.
   *
   * @param attempt the attempt number
   * @param cause the wire name of the reason why the task ended; empty unless it has ended
   */
  public record TaskStatus(TaskId task, long attempt, Stage stage, String cause) {}

  /**
   * Parses a heartbeat from a tree.
   *
   * @throws MalformedMessageException if a field is missing or invalid
   */
  public static Heartbeat parse(JsonNode body) throws MalformedMessageException {
    JsonNode map = MessageFields.requireMap(body);
    List<TaskStatus> tasks = new ArrayList<>();
    for (JsonNode taskNode : MessageFields.list(map, "pieces")) {
      MessageFields.requireMap(taskNode);
      Stage stage = Stage.parse(MessageFields.text(taskNode, "stage"));
      tasks.add(
          new TaskStatus(
              TaskId.parse(MessageFields.text(taskNode, "piece")),
              MessageFields.integer(taskNode, "try", 0, Long.MAX_VALUE),
              stage,
              MessageFields.optionalText(taskNode, "cause").orElse("")));
    }
    return new Heartbeat(
        MessageFields.text(map, "hive"),
        MessageFields.text(map, "address"),
        MessageFields.text(map, "breed"),
        MessageFields.text(map, "yard"),
        MessageFields.bool(map, "windfall"),
        MessageFields.integer(map, "stint", 0, Long.MAX_VALUE),
        MessageFields.integer(map, "tally", 0, Long.MAX_VALUE),
        MessageFields.integer(map, "baton", 0, Long.MAX_VALUE),
        MessageFields.optionalAmount(map, "warningS").map(MessageFields::duration),
        tasks);
  }

  /** Returns whether this heartbeat is newer than one of the same agent with the given numbers. */
  public boolean isNewerThan(long otherIncarnation, long otherSequence) {
    return incarnation > otherIncarnation
        || (incarnation == otherIncarnation && sequence > otherSequence);
  }
}
