package io.pearscale.protocol;

import io.pearscale.protocol.Heartbeat.Stage;
import io.pearscale.protocol.Heartbeat.TaskStatus;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Encodes and decodes agent heartbeats and their responses in peer records. */
final class HeartbeatRecordCodec {
  /**
   * The cause that encodes {@link Stage#WAITING}, together with the stage {@link Stage#FETCHING}.
   * Builds without gang support cannot read another stage; they treat such a task as one that
   * fetches its image.
   */
  private static final String WAITING_CAUSE = "waiting";

  /** The encoded value of an absent preemption notice. */
  private static final long NO_PREEMPTION_NOTICE = -1;

  private HeartbeatRecordCodec() {}

  static void write(DataOutputStream out, Heartbeat heartbeat) throws IOException {
    out.writeUTF(heartbeat.machine());
    out.writeUTF(heartbeat.address());
    out.writeUTF(heartbeat.machineType());
    out.writeUTF(heartbeat.zone());
    out.writeBoolean(heartbeat.spot());
    out.writeLong(heartbeat.incarnation());
    out.writeLong(heartbeat.sequence());
    out.writeLong(heartbeat.fencingToken());
    out.writeLong(heartbeat.preemptionNotice().map(Duration::toNanos).orElse(NO_PREEMPTION_NOTICE));
    out.writeInt(heartbeat.tasks().size());
    for (TaskStatus status : heartbeat.tasks()) {
      write(out, status);
    }
  }

  private static void write(DataOutputStream out, TaskStatus status) throws IOException {
    write(out, status.task());
    out.writeLong(status.attempt());
    boolean waiting = status.stage() == Stage.WAITING;
    out.writeByte((waiting ? Stage.FETCHING : status.stage()).ordinal());
    out.writeUTF(waiting ? WAITING_CAUSE : status.cause());
  }

  static void write(DataOutputStream out, HeartbeatResponse response) throws IOException {
    out.writeShort(response.status());
    out.writeLong(response.fencingToken());
    out.writeInt(response.commands().size());
    for (AgentCommand command : response.commands()) {
      out.writeByte(command.verb().ordinal());
      write(out, command.task());
      out.writeLong(command.attempt());
      out.writeLong(command.gracePeriod().toNanos());
    }
  }

  private static void write(DataOutputStream out, TaskId task) throws IOException {
    out.writeUTF(task.job());
    out.writeInt(task.index());
  }

  static Heartbeat readHeartbeat(DataInputStream in) throws IOException, MalformedMessageException {
    String machine = in.readUTF();
    String address = in.readUTF();
    String machineType = in.readUTF();
    String zone = in.readUTF();
    boolean spot = in.readBoolean();
    long incarnation = in.readLong();
    long sequence = in.readLong();
    long fencingToken = in.readLong();
    long preemptionNoticeNanos = in.readLong();
    return new Heartbeat(
        machine,
        address,
        machineType,
        zone,
        spot,
        incarnation,
        sequence,
        fencingToken,
        preemptionNoticeNanos < 0
            ? Optional.empty()
            : Optional.of(Duration.ofNanos(preemptionNoticeNanos)),
        readTasks(in));
  }

  private static List<TaskStatus> readTasks(DataInputStream in)
      throws IOException, MalformedMessageException {
    List<TaskStatus> tasks = new ArrayList<>();
    for (int remaining = PeerMessageCodec.readCount(in); remaining > 0; remaining--) {
      tasks.add(readTaskStatus(in));
    }
    return tasks;
  }

  private static TaskStatus readTaskStatus(DataInputStream in)
      throws IOException, MalformedMessageException {
    TaskId task = readTask(in);
    long attempt = in.readLong();
    Stage stage = readEnum(in, Stage.values());
    String cause = in.readUTF();
    return stage == Stage.FETCHING && cause.equals(WAITING_CAUSE)
        ? new TaskStatus(task, attempt, Stage.WAITING, "")
        : new TaskStatus(task, attempt, stage, cause);
  }

  static HeartbeatResponse readResponse(DataInputStream in)
      throws IOException, MalformedMessageException {
    int status = in.readShort();
    long fencingToken = in.readLong();
    List<AgentCommand> commands = new ArrayList<>();
    for (int remaining = PeerMessageCodec.readCount(in); remaining > 0; remaining--) {
      commands.add(readCommand(in));
    }
    return new HeartbeatResponse(status, fencingToken, commands);
  }

  private static AgentCommand readCommand(DataInputStream in)
      throws IOException, MalformedMessageException {
    AgentCommand.Verb verb = readEnum(in, AgentCommand.Verb.values());
    return new AgentCommand(verb, readTask(in), in.readLong(), Duration.ofNanos(in.readLong()));
  }

  private static TaskId readTask(DataInputStream in) throws IOException {
    return new TaskId(in.readUTF(), in.readInt());
  }

  private static <T> T readEnum(DataInputStream in, T[] values)
      throws IOException, MalformedMessageException {
    int ordinal = in.readByte();
    if (ordinal < 0 || ordinal >= values.length) {
      throw new MalformedMessageException("peer record with an unknown value");
    }
    return values[ordinal];
  }
}
