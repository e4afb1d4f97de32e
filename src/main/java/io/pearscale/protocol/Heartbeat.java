package io.pearscale.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * What an agent reports of its machine and its tasks.
 *
 * @param machine the machine's id
 * @param address where the agent takes commands
 * @param machineType the name of the machine's type
 * @param zone the machine's zone
 * @param spot whether it is a spot machine, which the cloud may preempt
 * @param incarnation counts the leases of the agent, from 1 on; it increases when one expires
 * @param sequence counts the messages of the agent
 * @param fencingToken the highest fencing token that the agent has seen
 * @param preemptionNotice in how long the cloud takes the machine away, once it has said so
 * @param tasks the tasks on the machine, including those that ended and were not forgotten yet
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

  /** The stage of a task on a machine; the order is that of records between controllers. */
  public enum Stage {
    FETCHING,
    RUNNING,
    CHECKPOINTING,
    ENDED,
    /** The task has its image, and waits for the others of its gang. */
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
   * @param attempt the number of the attempt
   * @param cause why the task ended; empty unless it has ended
   */
  public record TaskStatus(TaskId task, long attempt, Stage stage, String cause) {}

  /**
   * Reads a heartbeat from a tree.
   *
   * @throws MalformedMessageException if a field is missing or breaks the protocol
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

  /** Whether this is newer than a message of the same agent with that incarnation and sequence. */
  public boolean isNewerThan(long otherIncarnation, long otherSequence) {
    return incarnation > otherIncarnation
        || (incarnation == otherIncarnation && sequence > otherSequence);
  }
}
