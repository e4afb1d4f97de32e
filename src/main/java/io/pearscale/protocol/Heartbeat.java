package io.pearscale.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** What a worker says of its machine. */
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

  /** What a task on the machine is at. */
  public enum Stage {
    FETCHING,
    RUNNING,
    CHECKPOINTING,
    ENDED,
    /** Of a gang: it has its image, and waits for the others. */
    WAITING;

    static Stage parse(String text) throws MalformedMessageException {
      return switch (text) {
        case "fetching" -> FETCHING;
        case "waiting" -> WAITING;
        case "running" -> RUNNING;
        case "flushing" -> CHECKPOINTING;
        case "ended" -> ENDED;
        default -> throw new MalformedMessageException("stage: unknown");
      };
    }
  }

  /** One task of a report. The cause is empty unless it has ended. */
  public record TaskStatus(TaskId task, long attempt, Stage stage, String cause) {}

  /** Reads a report. */
  public static Heartbeat parse(JsonNode body) throws MalformedMessageException {
    JsonNode map = MessageFields.requireMap(body);
    List<TaskStatus> tasks = new ArrayList<>();
    for (JsonNode t : MessageFields.list(map, "pieces")) {
      MessageFields.requireMap(t);
      Stage stage = Stage.parse(MessageFields.text(t, "stage"));
      tasks.add(
          new TaskStatus(
              TaskId.parse(MessageFields.text(t, "piece")),
              MessageFields.integer(t, "try", 0, Long.MAX_VALUE),
              stage,
              MessageFields.optionalText(t, "cause").orElse("")));
    }
    return new Heartbeat(
        MessageFields.text(map, "hive"),
        MessageFields.text(map, "address"),
        MessageFields.text(map, "breed"),
        MessageFields.text(map, "yard"),
        MessageFields.truthValue(map, "windfall"),
        MessageFields.integer(map, "stint", 0, Long.MAX_VALUE),
        MessageFields.integer(map, "tally", 0, Long.MAX_VALUE),
        MessageFields.integer(map, "baton", 0, Long.MAX_VALUE),
        MessageFields.optionalAmount(map, "warningS").map(MessageFields::duration),
        tasks);
  }

  /** Whether this is the later one of two messages of the same worker. */
  public boolean isNewerThan(long otherIncarnation, long otherSequence) {
    return incarnation > otherIncarnation
        || (incarnation == otherIncarnation && sequence > otherSequence);
  }
}
