package io.pearscale.protocol;

import io.pearscale.protocol.PeerMessage.Confirmation;
import io.pearscale.protocol.PeerMessage.ConfirmationRequest;
import io.pearscale.protocol.PeerMessage.ControllerHeartbeat;
import io.pearscale.protocol.PeerMessage.ForwardedHeartbeat;
import io.pearscale.protocol.PeerMessage.ForwardedHeartbeatResponse;
import io.pearscale.protocol.PeerMessage.JobCancelled;
import io.pearscale.protocol.PeerMessage.JobTaskCount;
import io.pearscale.protocol.PeerMessage.LiveJobs;
import io.pearscale.protocol.PeerMessage.TaskCounts;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Encodes and decodes messages between controllers as peer records. A record is a byte that
 * identifies the message type, followed by the fields as written by {@link DataOutputStream}.
 */
final class PeerMessageCodec {
  private static final int CONTROLLER_HEARTBEAT = 1;
  private static final int FORWARDED_HEARTBEAT = 2;
  private static final int FORWARDED_HEARTBEAT_RESPONSE = 3;
  private static final int TASK_COUNTS = 4;
  private static final int CONFIRMATION_REQUEST = 5;
  private static final int CONFIRMATION = 6;
  private static final int JOB_CANCELLED = 7;

  /** Large enough for most records. */
  private static final int INITIAL_BUFFER_BYTES = 256;

  private PeerMessageCodec() {}

  /** Encodes a message as a record. */
  static byte[] encode(PeerMessage message) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(INITIAL_BUFFER_BYTES);
    try (DataOutputStream out = new DataOutputStream(bytes)) {
      write(out, message);
    } catch (IOException e) {
      throw new IllegalStateException("failed to write a peer record in memory", e);
    }
    return bytes.toByteArray();
  }

  private static void write(DataOutputStream out, PeerMessage message) throws IOException {
    if (message instanceof ControllerHeartbeat m) {
      writeControllerHeartbeat(out, m);
    } else if (message instanceof ForwardedHeartbeat m) {
      out.writeByte(FORWARDED_HEARTBEAT);
      out.writeLong(m.exchangeId());
      HeartbeatRecordCodec.write(out, m.heartbeat());
    } else if (message instanceof ForwardedHeartbeatResponse m) {
      out.writeByte(FORWARDED_HEARTBEAT_RESPONSE);
      out.writeLong(m.exchangeId());
      HeartbeatRecordCodec.write(out, m.response());
    } else if (message instanceof TaskCounts m) {
      writeTaskCounts(out, m);
    } else if (message instanceof ConfirmationRequest m) {
      out.writeByte(CONFIRMATION_REQUEST);
      out.writeLong(m.nonce());
      out.writeLong(m.storeRevision());
    } else if (message instanceof Confirmation m) {
      writeConfirmation(out, m);
    } else if (message instanceof JobCancelled m) {
      out.writeByte(JOB_CANCELLED);
      out.writeUTF(m.job());
    }
  }

  private static void writeControllerHeartbeat(DataOutputStream out, ControllerHeartbeat message)
      throws IOException {
    out.writeByte(CONTROLLER_HEARTBEAT);
    out.writeLong(message.term());
    out.writeUTF(message.leader());
    out.writeBoolean(message.storeHealthy());
  }

  private static void writeTaskCounts(DataOutputStream out, TaskCounts message) throws IOException {
    out.writeByte(TASK_COUNTS);
    out.writeInt(message.jobs().size());
    for (JobTaskCount count : message.jobs()) {
      out.writeUTF(count.job());
      out.writeInt(count.done());
      out.writeInt(count.running());
    }
  }

  private static void writeConfirmation(DataOutputStream out, Confirmation message)
      throws IOException {
    out.writeByte(CONFIRMATION);
    out.writeLong(message.nonce());
    out.writeLong(message.term());
    writeStrings(out, message.cancelledJobs());
    out.writeBoolean(message.liveJobs().isPresent());
    if (message.liveJobs().isPresent()) {
      out.writeLong(message.liveJobs().get().storeRevision());
      writeStrings(out, message.liveJobs().get().jobs());
    }
  }

  private static void writeStrings(DataOutputStream out, List<String> strings) throws IOException {
    out.writeInt(strings.size());
    for (String string : strings) {
      out.writeUTF(string);
    }
  }

  /**
   * Decodes a record.
   *
   * @throws MalformedMessageException if the bytes are not a valid record of this version
   */
  static PeerMessage decode(byte[] encoded) throws MalformedMessageException {
    try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(encoded))) {
      PeerMessage message = read(in);
      if (in.read() >= 0) {
        throw new MalformedMessageException("peer record with bytes left over");
      }
      return message;
    } catch (IOException e) {
      throw new MalformedMessageException("peer record cut short");
    }
  }

  private static PeerMessage read(DataInputStream in)
      throws IOException, MalformedMessageException {
    return switch (in.readByte()) {
      case CONTROLLER_HEARTBEAT ->
          new ControllerHeartbeat(in.readLong(), in.readUTF(), in.readBoolean());
      case FORWARDED_HEARTBEAT ->
          new ForwardedHeartbeat(in.readLong(), HeartbeatRecordCodec.readHeartbeat(in));
      case FORWARDED_HEARTBEAT_RESPONSE ->
          new ForwardedHeartbeatResponse(in.readLong(), HeartbeatRecordCodec.readResponse(in));
      case TASK_COUNTS -> readTaskCounts(in);
      case CONFIRMATION_REQUEST -> new ConfirmationRequest(in.readLong(), in.readLong());
      case CONFIRMATION -> readConfirmation(in);
      case JOB_CANCELLED -> new JobCancelled(in.readUTF());
      default -> throw new MalformedMessageException("peer record of unknown kind");
    };
  }

  private static TaskCounts readTaskCounts(DataInputStream in)
      throws IOException, MalformedMessageException {
    List<JobTaskCount> jobs = new ArrayList<>();
    for (int remaining = readCount(in); remaining > 0; remaining--) {
      jobs.add(new JobTaskCount(in.readUTF(), in.readInt(), in.readInt()));
    }
    return new TaskCounts(jobs);
  }

  private static Confirmation readConfirmation(DataInputStream in)
      throws IOException, MalformedMessageException {
    return new Confirmation(
        in.readLong(),
        in.readLong(),
        readStrings(in),
        in.readBoolean()
            ? Optional.of(new LiveJobs(in.readLong(), readStrings(in)))
            : Optional.empty());
  }

  private static List<String> readStrings(DataInputStream in)
      throws IOException, MalformedMessageException {
    List<String> strings = new ArrayList<>();
    for (int remaining = readCount(in); remaining > 0; remaining--) {
      strings.add(in.readUTF());
    }
    return strings;
  }

  /** Reads the number of entries that follow. */
  static int readCount(DataInputStream in) throws IOException, MalformedMessageException {
    int count = in.readInt();
    // Each entry takes at least one byte. A larger count is invalid and must not allocate memory.
    if (count < 0 || count > in.available()) {
      throw new MalformedMessageException("peer record with an impossible count");
    }
    return count;
  }
}
