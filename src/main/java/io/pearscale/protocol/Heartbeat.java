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
    String type,
    String zone,
    boolean spot,
    long session,
    long sequence,
    long token,
    Optional<Duration> notice,
    List<TaskStatus> tasks) {

  /** What a task on the machine is at. */
  public enum Stage {
    FETCHING,
    RUNNING,
    FLUSHING,
    ENDED,
    /** Of a gang: it has its image, and waits for the others. */
    WAITING;

    static Stage parse(String text) throws MalformedMessageException {
      return switch (text) {
        case "fetching" -> FETCHING;
        case "waiting" -> WAITING;
        case "running" -> RUNNING;
        case "flushing" -> FLUSHING;
        case "ended" -> ENDED;
        default -> throw new MalformedMessageException("stage: unknown");
      };
    }
  }

  /** One task of a report. The cause is empty unless it has ended. */
  public record TaskStatus(TaskId task, long attempt, Stage stage, String cause) {}

  /** Reads a report. */
  public static Heartbeat parse(JsonNode body) throws MalformedMessageException {
    JsonNode m = Fields.map(body);
    List<TaskStatus> tasks = new ArrayList<>();
    for (JsonNode t : Fields.list(m, "pieces")) {
      Fields.map(t);
      Stage stage = Stage.parse(Fields.text(t, "stage"));
      tasks.add(
          new TaskStatus(
              TaskId.parse(Fields.text(t, "piece")),
              Fields.integer(t, "try", 0, Long.MAX_VALUE),
              stage,
              Fields.optText(t, "cause").orElse("")));
    }
    return new Heartbeat(
        Fields.text(m, "hive"),
        Fields.text(m, "address"),
        Fields.text(m, "breed"),
        Fields.text(m, "yard"),
        Fields.flag(m, "windfall"),
        Fields.integer(m, "stint", 0, Long.MAX_VALUE),
        Fields.integer(m, "tally", 0, Long.MAX_VALUE),
        Fields.integer(m, "baton", 0, Long.MAX_VALUE),
        Fields.optAmount(m, "warningS").map(Fields::duration),
        tasks);
  }

  /** Whether this is the later one of two messages of the same worker. */
  public boolean newerThan(long otherSession, long otherSequence) {
    return session > otherSession || (session == otherSession && sequence > otherSequence);
  }
}
