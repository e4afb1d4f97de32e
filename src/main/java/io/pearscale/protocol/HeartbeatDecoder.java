package io.pearscale.protocol;

import io.pearscale.protocol.Heartbeat.Stage;
import io.pearscale.protocol.Heartbeat.TaskStatus;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.msgpack.core.MessageFormat;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ValueType;

/**
 * Reads reports straight from their bytes. Reports are most of what a controller reads, and right
 * after a start each costs several times as much as later, so they pay for no tree of objects. What
 * is accepted and refused is the same as with {@link Heartbeat#parse}, from which it is told apart
 * by nothing but its cost.
 */
public final class HeartbeatDecoder {
  private static final String ABSENT = "";
  private static final long MISSING = -1;

  /** The library's own buffer for decoding is several times as large as a report. */
  private static final MessagePack.UnpackerConfig UNPACKER =
      new MessagePack.UnpackerConfig().withStringDecoderBufferSize(Fields.LONGEST_TEXT);

  private final MessageUnpacker in;

  private String machine = ABSENT;
  private String address = ABSENT;
  private String type = ABSENT;
  private String zone = ABSENT;
  private Optional<Boolean> spot = Optional.empty();
  private long session = MISSING;
  private long sequence = MISSING;
  private long token = MISSING;
  private Optional<Duration> notice = Optional.empty();
  private List<TaskStatus> tasks = List.of();

  private HeartbeatDecoder(byte[] body) {
    in = UNPACKER.newUnpacker(body);
  }

  /** Reads the report that the bytes begin with. */
  public static Heartbeat read(byte[] body) throws MalformedMessageException {
    try {
      return new HeartbeatDecoder(body).report();
    } catch (IOException | MessagePackException e) {
      throw new MalformedMessageException("report: " + e.getMessage());
    }
  }

  private Heartbeat report() throws IOException, MalformedMessageException {
    int fields = mapHeader();
    for (int i = 0; i < fields; i++) {
      field(fieldName());
    }
    return new Heartbeat(
        present("hive", machine),
        present("address", address),
        present("breed", type),
        present("yard", zone),
        spot.orElseThrow(() -> new MalformedMessageException("windfall: missing")),
        present("stint", session),
        present("tally", sequence),
        present("baton", token),
        notice,
        tasks);
  }

  private void field(String name) throws IOException, MalformedMessageException {
    if (in.getNextFormat() == MessageFormat.NIL) {
      in.unpackNil();
      return;
    }
    switch (name) {
      case "hive" -> machine = text(name);
      case "address" -> address = text(name);
      case "breed" -> type = text(name);
      case "yard" -> zone = text(name);
      case "windfall" -> spot = Optional.of(in.unpackBoolean());
      case "stint" -> session = whole(name);
      case "tally" -> sequence = whole(name);
      case "baton" -> token = whole(name);
      case "warningS" -> notice = Optional.of(Fields.duration(amount(name)));
      case "pieces" -> tasks = tasks();
      default -> in.skipValue();
    }
  }

  private List<TaskStatus> tasks() throws IOException, MalformedMessageException {
    int count = in.unpackArrayHeader();
    List<TaskStatus> list = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      list.add(task());
    }
    return list;
  }

  private TaskStatus task() throws IOException, MalformedMessageException {
    String task = ABSENT;
    String stage = ABSENT;
    String cause = ABSENT;
    long attempt = MISSING;
    int fields = mapHeader();
    for (int i = 0; i < fields; i++) {
      String name = fieldName();
      if (in.getNextFormat() == MessageFormat.NIL) {
        in.unpackNil();
        continue;
      }
      switch (name) {
        case "piece" -> task = text(name);
        case "try" -> attempt = whole(name);
        case "stage" -> stage = text(name);
        case "cause" -> cause = in.unpackString();
        default -> in.skipValue();
      }
    }
    Stage parsed = Stage.parse(present("stage", stage));
    return new TaskStatus(
        TaskId.parse(present("piece", task)), present("try", attempt), parsed, cause);
  }

  private int mapHeader() throws IOException, MalformedMessageException {
    if (in.getNextFormat().getValueType() != ValueType.MAP) {
      throw new MalformedMessageException("not a map");
    }
    return in.unpackMapHeader();
  }

  /** The name of a field; one that is no text names nothing that is known. */
  private String fieldName() throws IOException {
    if (in.getNextFormat().getValueType() == ValueType.STRING) {
      return in.unpackString();
    }
    in.skipValue();
    return ABSENT;
  }

  private String text(String name) throws IOException, MalformedMessageException {
    String text = in.unpackString();
    if (text.isEmpty() || text.length() > Fields.LONGEST_TEXT) {
      throw new MalformedMessageException(name + ": 1 to 200 characters expected");
    }
    return text;
  }

  private long whole(String name) throws IOException, MalformedMessageException {
    long value = in.unpackLong();
    if (value < 0) {
      throw new MalformedMessageException(name + ": a whole number of at least 0 expected");
    }
    return value;
  }

  private double amount(String name) throws IOException, MalformedMessageException {
    boolean isWhole = in.getNextFormat().getValueType() == ValueType.INTEGER;
    double amount = isWhole ? in.unpackBigInteger().doubleValue() : in.unpackDouble();
    if (!(amount >= 0 && amount <= Fields.MAX_AMOUNT)) {
      throw new MalformedMessageException(name + ": a number of at least 0 expected");
    }
    return amount;
  }

  private static String present(String name, String text) throws MalformedMessageException {
    if (text.isEmpty()) {
      throw new MalformedMessageException(name + ": missing");
    }
    return text;
  }

  private static long present(String name, long value) throws MalformedMessageException {
    if (value == MISSING) {
      throw new MalformedMessageException(name + ": missing");
    }
    return value;
  }
}
