package io.pearscale.protocol;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** What controllers say to each other, as {@code DataOutputStream} records. */
public sealed interface PeerMessage {
  /** The record format, see {@link PeerVersions}. */
  int VERSION = 3;

  /**
   * What the cause of a task says that fetches no image, but waits for the others of its gang. For
   * builds that know of no gangs it is one that fetches; a stage of its own they could not read.
   */
  String WAITING_CAUSE = "waiting";

  /**
   * Sent all the time.
   *
   * @param term the highest term that the sender knows
   * @param leader who holds it, or empty
   * @param storeHealthy whether the state service has answered the sender lately
   */
  record ControllerHeartbeat(long term, String leader, boolean storeHealthy)
      implements PeerMessage {}

  /** A worker's report, on its way to the leader. */
  record ForwardedHeartbeat(long exchange, Heartbeat heartbeat) implements PeerMessage {}

  /** The leader's answer to a forwarded report. */
  record ForwardedHeartbeatResponse(long exchange, HeartbeatResponse response)
      implements PeerMessage {}

  /**
   * The leader asks for a word that nothing has happened that it doesn't know.
   *
   * @param storeRevision how new the leader's copy of the keys is
   */
  record ConfirmationRequest(long nonce, long storeRevision) implements PeerMessage {}

  /**
   * The word of a peer, as of after the question.
   *
   * @param term the highest term that it knows
   * @param cancelledJobs the jobs of which it told somebody lately that they are cancelled
   * @param liveJobs what was live when it was last told, from a peer that began to know later than
   *     the leader's copy ends: what its former life told is in this alone
   */
  record Confirmation(
      long nonce, long term, List<String> cancelledJobs, Optional<LiveJobs> liveJobs)
      implements PeerMessage {}

  /**
   * The jobs that were not over at a revision of the state service; of those submitted by then, all
   * others are.
   */
  record LiveJobs(long storeRevision, List<String> jobs) {}

  /** Users are told, or about to be, that the job is cancelled. It is durable and stays so. */
  record JobCancelled(String job) implements PeerMessage {}

  /** Task counts of jobs, for display. */
  record TaskCounts(List<JobTaskCount> jobs) implements PeerMessage {}

  /** How many tasks of a job are done and run. */
  record JobTaskCount(String job, int done, int running) {}

  /** Encodes a record. */
  static byte[] encode(PeerMessage message) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
    try (DataOutputStream out = new DataOutputStream(bytes)) {
      if (message instanceof ControllerHeartbeat m) {
        out.writeByte(1);
        out.writeLong(m.term);
        out.writeUTF(m.leader);
        out.writeBoolean(m.storeHealthy);
      } else if (message instanceof ForwardedHeartbeat m) {
        out.writeByte(2);
        out.writeLong(m.exchange);
        write(out, m.heartbeat);
      } else if (message instanceof ForwardedHeartbeatResponse m) {
        out.writeByte(3);
        out.writeLong(m.exchange);
        out.writeShort(m.response.status());
        out.writeLong(m.response.fencingToken());
        out.writeInt(m.response.commands().size());
        for (AgentCommand command : m.response.commands()) {
          out.writeByte(command.verb().ordinal());
          write(out, command.task());
          out.writeLong(command.attempt());
          out.writeLong(command.gracePeriod().toNanos());
        }
      } else if (message instanceof TaskCounts m) {
        out.writeByte(4);
        out.writeInt(m.jobs.size());
        for (JobTaskCount c : m.jobs) {
          out.writeUTF(c.job);
          out.writeInt(c.done);
          out.writeInt(c.running);
        }
      } else if (message instanceof ConfirmationRequest m) {
        out.writeByte(5);
        out.writeLong(m.nonce);
        out.writeLong(m.storeRevision);
      } else if (message instanceof Confirmation m) {
        out.writeByte(6);
        out.writeLong(m.nonce);
        out.writeLong(m.term);
        write(out, m.cancelledJobs);
        out.writeBoolean(m.liveJobs.isPresent());
        if (m.liveJobs.isPresent()) {
          out.writeLong(m.liveJobs.get().storeRevision);
          write(out, m.liveJobs.get().jobs);
        }
      } else if (message instanceof JobCancelled m) {
        out.writeByte(7);
        out.writeUTF(m.job);
      }
    } catch (IOException e) {
      throw new IllegalStateException("memory does not fail", e);
    }
    return bytes.toByteArray();
  }

  /** Decodes a record; bytes that are none of ours are said to be malformed and change nothing. */
  static PeerMessage decode(byte[] frame) throws MalformedMessageException {
    try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(frame))) {
      PeerMessage message =
          switch (in.readByte()) {
            case 1 -> new ControllerHeartbeat(in.readLong(), in.readUTF(), in.readBoolean());
            case 2 -> new ForwardedHeartbeat(in.readLong(), readHeartbeat(in));
            case 3 -> {
              long exchange = in.readLong();
              int status = in.readShort();
              long token = in.readLong();
              List<AgentCommand> orders = new ArrayList<>();
              for (int n = readCount(in); n > 0; n--) {
                orders.add(
                    new AgentCommand(
                        enumValue(AgentCommand.Verb.values(), in.readByte()),
                        readTask(in),
                        in.readLong(),
                        Duration.ofNanos(in.readLong())));
              }
              yield new ForwardedHeartbeatResponse(
                  exchange, new HeartbeatResponse(status, token, orders));
            }
            case 4 -> {
              List<JobTaskCount> jobs = new ArrayList<>();
              for (int n = readCount(in); n > 0; n--) {
                jobs.add(new JobTaskCount(in.readUTF(), in.readInt(), in.readInt()));
              }
              yield new TaskCounts(jobs);
            }
            case 5 -> new ConfirmationRequest(in.readLong(), in.readLong());
            case 6 ->
                new Confirmation(
                    in.readLong(),
                    in.readLong(),
                    readTexts(in),
                    in.readBoolean()
                        ? Optional.of(new LiveJobs(in.readLong(), readTexts(in)))
                        : Optional.empty());
            case 7 -> new JobCancelled(in.readUTF());
            default -> throw new MalformedMessageException("peer record of unknown kind");
          };
      if (in.read() >= 0) {
        throw new MalformedMessageException("peer record with bytes left over");
      }
      return message;
    } catch (IOException e) {
      throw new MalformedMessageException("peer record cut short");
    }
  }

  private static int readCount(DataInputStream in) throws IOException, MalformedMessageException {
    int count = in.readInt();
    // Each entry takes at least one byte: a larger count is garbage and must not reserve memory.
    if (count < 0 || count > in.available()) {
      throw new MalformedMessageException("peer record with an impossible count");
    }
    return count;
  }

  private static <T> T enumValue(T[] values, int ordinal) throws MalformedMessageException {
    if (ordinal < 0 || ordinal >= values.length) {
      throw new MalformedMessageException("peer record with an unknown value");
    }
    return values[ordinal];
  }

  private static void write(DataOutputStream out, List<String> texts) throws IOException {
    out.writeInt(texts.size());
    for (String text : texts) {
      out.writeUTF(text);
    }
  }

  private static List<String> readTexts(DataInputStream in)
      throws IOException, MalformedMessageException {
    List<String> texts = new ArrayList<>();
    for (int n = readCount(in); n > 0; n--) {
      texts.add(in.readUTF());
    }
    return texts;
  }

  private static void write(DataOutputStream out, TaskId task) throws IOException {
    out.writeUTF(task.job());
    out.writeInt(task.index());
  }

  private static TaskId readTask(DataInputStream in) throws IOException {
    return new TaskId(in.readUTF(), in.readInt());
  }

  private static void write(DataOutputStream out, Heartbeat heartbeat) throws IOException {
    out.writeUTF(heartbeat.machine());
    out.writeUTF(heartbeat.address());
    out.writeUTF(heartbeat.machineType());
    out.writeUTF(heartbeat.zone());
    out.writeBoolean(heartbeat.spot());
    out.writeLong(heartbeat.incarnation());
    out.writeLong(heartbeat.sequence());
    out.writeLong(heartbeat.fencingToken());
    out.writeLong(heartbeat.preemptionNotice().map(Duration::toNanos).orElse(-1L));
    out.writeInt(heartbeat.tasks().size());
    for (Heartbeat.TaskStatus status : heartbeat.tasks()) {
      write(out, status.task());
      out.writeLong(status.attempt());
      boolean waiting = status.stage() == Heartbeat.Stage.WAITING;
      out.writeByte(waiting ? Heartbeat.Stage.FETCHING.ordinal() : status.stage().ordinal());
      out.writeUTF(waiting ? WAITING_CAUSE : status.cause());
    }
  }

  private static Heartbeat.TaskStatus readTaskStatus(DataInputStream in)
      throws IOException, MalformedMessageException {
    TaskId task = readTask(in);
    long attempt = in.readLong();
    Heartbeat.Stage stage = enumValue(Heartbeat.Stage.values(), in.readByte());
    String cause = in.readUTF();
    return stage == Heartbeat.Stage.FETCHING && cause.equals(WAITING_CAUSE)
        ? new Heartbeat.TaskStatus(task, attempt, Heartbeat.Stage.WAITING, "")
        : new Heartbeat.TaskStatus(task, attempt, stage, cause);
  }

  private static Heartbeat readHeartbeat(DataInputStream in)
      throws IOException, MalformedMessageException {
    String machine = in.readUTF();
    String address = in.readUTF();
    String type = in.readUTF();
    String zone = in.readUTF();
    boolean spot = in.readBoolean();
    long incarnation = in.readLong();
    long sequence = in.readLong();
    long fencingToken = in.readLong();
    long preemptionNotice = in.readLong();
    List<Heartbeat.TaskStatus> tasks = new ArrayList<>();
    for (int n = readCount(in); n > 0; n--) {
      tasks.add(readTaskStatus(in));
    }
    return new Heartbeat(
        machine,
        address,
        type,
        zone,
        spot,
        incarnation,
        sequence,
        fencingToken,
        preemptionNotice < 0 ? Optional.empty() : Optional.of(Duration.ofNanos(preemptionNotice)),
        tasks);
  }
}
