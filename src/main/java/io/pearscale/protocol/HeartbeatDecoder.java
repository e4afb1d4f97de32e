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
 * Decodes heartbeats directly from bytes. Most messages that a controller receives are heartbeats,
 * and decoding is several times slower just after a start, so no tree is built for them. The
 * decoder accepts and rejects the same messages as {@link Heartbeat#parse}.
 */
public final class HeartbeatDecoder {
  private static final String MISSING_TEXT = "";
  private static final long MISSING_NUMBER = -1;

  /** The default string buffer of the library is several times as large as a heartbeat. */
  private static final MessagePack.UnpackerConfig UNPACKER =
      new MessagePack.UnpackerConfig().withStringDecoderBufferSize(MessageFields.MAX_TEXT_LENGTH);

  private final MessageUnpacker in;

  private String machine = MISSING_TEXT;
  private String address = MISSING_TEXT;
  private String machineType = MISSING_TEXT;
  private String zone = MISSING_TEXT;
  private Optional<Boolean> spot = Optional.empty();
  private long incarnation = MISSING_NUMBER;
  private long sequence = MISSING_NUMBER;
  private long fencingToken = MISSING_NUMBER;
  private Optional<Duration> preemptionNotice = Optional.empty();
  private List<TaskStatus> tasks = List.of();

  private HeartbeatDecoder(byte[] body) {
    in = UNPACKER.newUnpacker(body);
  }

  /**
   * Decodes the heartbeat at the beginning of the bytes.
   *
   * @throws MalformedMessageException if {@link Heartbeat#parse} would reject it
   */
  public static Heartbeat decode(byte[] body) throws MalformedMessageException {
    try {
      return new HeartbeatDecoder(body).decodeHeartbeat();
    } catch (IOException | MessagePackException e) {
      throw new MalformedMessageException("report: " + e.getMessage());
    }
  }

  private Heartbeat decodeHeartbeat() throws IOException, MalformedMessageException {
    int fields = mapHeader();
    for (int i = 0; i < fields; i++) {
      decodeField(fieldName());
    }
    return new Heartbeat(
        required("hive", machine),
        required("address", address),
        required("breed", machineType),
        required("yard", zone),
        spot.orElseThrow(() -> new MalformedMessageException("windfall: missing")),
        required("stint", incarnation),
        required("tally", sequence),
        required("baton", fencingToken),
        preemptionNotice,
        tasks);
  }

  private void decodeField(String name) throws IOException, MalformedMessageException {
    if (in.getNextFormat() == MessageFormat.NIL) {
      in.unpackNil();
      return;
    }
    switch (name) {
      case "hive" -> machine = text(name);
      case "address" -> address = text(name);
      case "breed" -> machineType = text(name);
      case "yard" -> zone = text(name);
      case "windfall" -> spot = Optional.of(in.unpackBoolean());
      case "stint" -> incarnation = nonNegativeInteger(name);
      case "tally" -> sequence = nonNegativeInteger(name);
      case "baton" -> fencingToken = nonNegativeInteger(name);
      case "warningS" -> preemptionNotice = Optional.of(MessageFields.duration(amount(name)));
      case "pieces" -> tasks = decodeTasks();
      default -> in.skipValue();
    }
  }

  private List<TaskStatus> decodeTasks() throws IOException, MalformedMessageException {
    int count = in.unpackArrayHeader();
    List<TaskStatus> list = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      list.add(decodeTask());
    }
    return list;
  }

  private TaskStatus decodeTask() throws IOException, MalformedMessageException {
    String task = MISSING_TEXT;
    String stage = MISSING_TEXT;
    String cause = MISSING_TEXT;
    long attempt = MISSING_NUMBER;
    int fields = mapHeader();
    for (int i = 0; i < fields; i++) {
      String name = fieldName();
      if (in.getNextFormat() == MessageFormat.NIL) {
        in.unpackNil();
        continue;
      }
      switch (name) {
        case "piece" -> task = text(name);
        case "try" -> attempt = nonNegativeInteger(name);
        case "stage" -> stage = text(name);
        case "cause" -> cause = in.unpackString();
        default -> in.skipValue();
      }
    }
    Stage parsedStage = Stage.parse(required("stage", stage));
    return new TaskStatus(
        TaskId.parse(required("piece", task)), required("try", attempt), parsedStage, cause);
  }

  private int mapHeader() throws IOException, MalformedMessageException {
    if (in.getNextFormat().getValueType() != ValueType.MAP) {
      throw new MalformedMessageException("not a map");
    }
    return in.unpackMapHeader();
  }

  /**
   * Reads a field name. A key that is not a string yields an empty name, which matches no field.
   */
  private String fieldName() throws IOException {
    if (in.getNextFormat().getValueType() == ValueType.STRING) {
      return in.unpackString();
    }
    in.skipValue();
    return MISSING_TEXT;
  }

  private String text(String name) throws IOException, MalformedMessageException {
    String text = in.unpackString();
    if (text.isEmpty() || text.length() > MessageFields.MAX_TEXT_LENGTH) {
      throw new MalformedMessageException(name + ": 1 to 200 characters expected");
    }
    return text;
  }

  private long nonNegativeInteger(String name) throws IOException, MalformedMessageException {
    long value = in.unpackLong();
    if (value < 0) {
      throw new MalformedMessageException(name + ": a whole number of at least 0 expected");
    }
    return value;
  }

  private double amount(String name) throws IOException, MalformedMessageException {
    boolean isWhole = in.getNextFormat().getValueType() == ValueType.INTEGER;
    double amount = isWhole ? in.unpackBigInteger().doubleValue() : in.unpackDouble();
    if (!(amount >= 0 && amount <= MessageFields.MAX_AMOUNT)) {
      throw new MalformedMessageException(name + ": a number of at least 0 expected");
    }
    return amount;
  }

  private static String required(String name, String text) throws MalformedMessageException {
    if (text.isEmpty()) {
      throw new MalformedMessageException(name + ": missing");
    }
    return text;
  }

  private static long required(String name, long value) throws MalformedMessageException {
    if (value == MISSING_NUMBER) {
      throw new MalformedMessageException(name + ": missing");
    }
    return value;
  }
}
