package io.pearscale.golden;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.pearscale.drain.Disruption;
import io.pearscale.drain.DrainRequest;
import io.pearscale.drain.DrainStatus;
import io.pearscale.protocol.AgentCommand;
import io.pearscale.protocol.Heartbeat;
import io.pearscale.protocol.HeartbeatDecoder;
import io.pearscale.protocol.HeartbeatResponse;
import io.pearscale.protocol.JobSpec;
import io.pearscale.protocol.MachineType;
import io.pearscale.protocol.MalformedMessageException;
import io.pearscale.protocol.PeerMessage;
import io.pearscale.protocol.PeerVersions;
import io.pearscale.protocol.Settings;
import io.pearscale.protocol.TaskId;
import io.pearscale.storage.KeyValueStoreClient;
import io.pearscale.storage.KeyValueStoreClient.Mutation;
import io.pearscale.storage.KeyValueStoreClient.Precondition;
import io.pearscale.storage.Keys;
import io.pearscale.storage.MachineRecordCodec;
import io.pearscale.storage.Maintenance;
import io.pearscale.storage.PlacementRecordCodec;
import io.pearscale.storage.RecordLayout;
import io.pearscale.transport.CountingEventLoop;
import io.pearscale.transport.HttpClient;
import io.pearscale.transport.MessagePack;
import io.pearscale.upgrade.ControllerSupport;
import io.pearscale.upgrade.SchemaLevel;
import io.pearscale.upgrade.SupportedLevels;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Compares the encoding of messages and stored values with golden files. */
class GoldenTest {
  private static final TaskId TASK = new TaskId("wk-000412", 4);
  private final List<String> lines = new ArrayList<>();

  /** Decodes or encodes a value that may be malformed. */
  private interface Conversion {
    String run() throws MalformedMessageException;
  }

  private void addLine(String name, Conversion conversion) {
    try {
      lines.add(name + ": " + conversion.run());
    } catch (MalformedMessageException e) {
      lines.add(name + ": malformed: " + e.getMessage());
    }
  }

  private static String hex(byte[] bytes) {
    return HexFormat.of().formatHex(bytes);
  }

  private static JsonNode json(String text) {
    try {
      return new ObjectMapper().readTree(text);
    } catch (IOException e) {
      throw new IllegalArgumentException(text, e);
    }
  }

  /** Returns the tree as JSON, then its MessagePack bytes in hexadecimal. */
  private static String jsonAndHex(JsonNode tree) {
    return tree + " " + hex(MessagePack.encode(tree));
  }

  // ---- Between controllers ----

  private static Heartbeat.TaskStatus task(int attempt, Heartbeat.Stage stage, String cause) {
    return new Heartbeat.TaskStatus(TASK, attempt, stage, cause);
  }

  private static Heartbeat sampleHeartbeat(Optional<Duration> preemptionNotice) {
    List<Heartbeat.TaskStatus> tasks = new ArrayList<>();
    for (Heartbeat.Stage stage : Heartbeat.Stage.values()) {
      tasks.add(task(stage.ordinal() + 1, stage, ""));
    }
    tasks.add(task(9, Heartbeat.Stage.ENDED, "done"));
    return new Heartbeat(
        "m-000231", "10.1.0.232:9000", "g8", "a", true, 3, 88, 50331649L, preemptionNotice, tasks);
  }

  private static List<AgentCommand> sampleCommands() {
    return List.of(
        AgentCommand.start(TASK, 1L << 40),
        AgentCommand.stop(TASK, 7, Duration.ofMillis(2500)),
        AgentCommand.stop(TASK, 8, Duration.ZERO),
        AgentCommand.forget(TASK, 3));
  }

  @Test
  void peerMessages() {
    List<PeerMessage> messages =
        List.of(
            new PeerMessage.ControllerHeartbeat(9, "hive-2", true),
            new PeerMessage.ControllerHeartbeat(10, "", false),
            new PeerMessage.ForwardedHeartbeat(
                4, sampleHeartbeat(Optional.of(Duration.ofSeconds(12)))),
            new PeerMessage.ForwardedHeartbeat(5, sampleHeartbeat(Optional.empty())),
            new PeerMessage.ForwardedHeartbeatResponse(
                4, new HeartbeatResponse(200, 77, sampleCommands())),
            new PeerMessage.ForwardedHeartbeatResponse(6, HeartbeatResponse.UNAVAILABLE),
            new PeerMessage.TaskCounts(
                List.of(
                    new PeerMessage.JobTaskCount("wk-7", 1, 2),
                    new PeerMessage.JobTaskCount("wk-000412", 70000, 0))),
            new PeerMessage.ConfirmationRequest(12, 431),
            new PeerMessage.Confirmation(12, 9, List.of("wk-3", "wk-5"), Optional.empty()),
            new PeerMessage.Confirmation(
                12,
                9,
                List.of(),
                Optional.of(new PeerMessage.LiveJobs(430, List.of("wk-8", "wk-9")))),
            new PeerMessage.JobCancelled("wk-3"));
    for (PeerMessage message : messages) {
      byte[] bytes = PeerMessage.encode(message);
      addLine("kind " + bytes[0], () -> hex(bytes));
      addLine("again", () -> hex(PeerMessage.encode(PeerMessage.decode(bytes))));
      byte[] truncated = java.util.Arrays.copyOf(bytes, bytes.length - 1);
      addLine("cut", () -> hex(PeerMessage.encode(PeerMessage.decode(truncated))));
      byte[] extended = java.util.Arrays.copyOf(bytes, bytes.length + 1);
      addLine("more", () -> hex(PeerMessage.encode(PeerMessage.decode(extended))));
    }
    for (String invalid : List.of("", "00", "08", "04ffffffff", "047fffffff", "0300")) {
      byte[] bytes = HexFormat.of().parseHex(invalid);
      addLine("bad " + invalid, () -> hex(PeerMessage.encode(PeerMessage.decode(bytes))));
    }
    lines.add("version: " + PeerMessage.VERSION);
    lines.add("greeting: " + new PeerVersions(3, 3).greeting());
    lines.add("greeting: " + new PeerVersions(3, 12).greeting());
    GoldenFile.check("peer-records.txt", lines);
  }

  // ---- Agents and users ----

  /** Adds a heartbeat as an agent sends it, then the message in which a controller forwards it. */
  private void addHeartbeat(JsonNode body) {
    byte[] bytes = MessagePack.encode(body);
    lines.add("body: " + jsonAndHex(body));
    addLine(
        "read",
        () ->
            hex(
                PeerMessage.encode(
                    new PeerMessage.ForwardedHeartbeat(1, HeartbeatDecoder.decode(bytes)))));
    addLine(
        "parsed",
        () ->
            hex(PeerMessage.encode(new PeerMessage.ForwardedHeartbeat(1, Heartbeat.parse(body)))));
  }

  @Test
  void agentMessages() {
    String template =
        "{'hive':'m-1','address':'10.0.0.1:9','breed':'g','yard':'a','windfall':true,'stint':2,"
            + "'tally':88,'baton':50331649,'warningS':2.5,'pieces':["
            + "{'piece':'wk-1/0','try':1,'stage':'fetching'},"
            + "{'piece':'wk-1/1','try':2,'stage':'waiting'},"
            + "{'piece':'wk-1/2','try':3,'stage':'running','cause':null},"
            + "{'piece':'wk-1/3','try':4,'stage':'flushing'},"
            + "{'piece':'wk-1/4','try':5,'stage':'ended','cause':'done'},"
            + "{'piece':'wk-1/5','try':6,'stage':'ended','cause':'error'}]}";
    String text = template.replace('\'', '"');
    addHeartbeat(json(text));
    addHeartbeat(json(text.replace("2.5", "null")));
    addHeartbeat(json(text.replace("\"warningS\":2.5,", "\"other\":{\"a\":[1]},")));
    addHeartbeat(json(text.replace("running", "walking")));
    addHeartbeat(json(text.replace("wk-1/2", "wk-1")));
    addHeartbeat(json(text.replace("\"try\":3", "\"try\":-3")));
    addHeartbeat(json(text.replace("\"try\":3", "\"try\":3.5")));
    addHeartbeat(json(text.replace("\"warningS\":2.5", "\"warningS\":-1")));
    for (String name :
        List.of("hive", "address", "breed", "yard", "windfall", "stint", "tally", "baton")) {
      addHeartbeat(json(text.replace("\"" + name + "\":", "\"x\":")));
      addHeartbeat(json(text.replaceFirst("\"" + name + "\":[^,]*,", "\"" + name + "\":[],")));
    }
    addHeartbeat(json("{}"));
    addHeartbeat(json("[]"));
    HeartbeatResponse response = new HeartbeatResponse(200, 50331649L, sampleCommands());
    lines.add("response: " + hex(response.encode()));
    lines.add("response: " + hex(HeartbeatResponse.UNAVAILABLE.encode()));
    sampleCommands().forEach(command -> lines.add("command: " + jsonAndHex(command.toNode())));
    GoldenFile.check("agents.txt", lines);
  }

  private static final String JOB =
      "{'uid':'wk-000412','lineup':'train','crew':'vision','shape':'batch','rank':'high',"
          + "'pieces':3,'vcpus':1.5,'accelerators':0,'memoryGb':4,'bundle':'i','imageGb':1.25,"
          + "'breeds':['g8','c4'],'yard':'a','oneZone':true,'spread':false,'windfall':true,"
          + "'guessS':10,'bookmarkS':30,'stashS':2.5,'dueS':60}";

  private void addJob(String text) {
    JsonNode body = json(text);
    lines.add("body: " + body);
    addLine("kept", () -> jsonAndHex(JobSpec.parse(body).toNode()));
  }

  @Test
  void jobsAndMachineTypes() {
    String text = JOB.replace('\'', '"');
    addJob(text);
    addJob(text.replace("batch", "service").replace("\"dueS\":60", "\"dueS\":null"));
    addJob(text.replace("batch", "group").replace("\"yard\":\"a\",", ""));
    addJob(text.replace("[\"g8\",\"c4\"]", "null").replace("high", "idle"));
    addJob(text.replace("batch", "heap"));
    addJob(text.replace("high", "higher"));
    addJob(text.replace("wk-000412", "000412"));
    addJob(text.replace("\"pieces\":3", "\"pieces\":0"));
    for (var fieldNames = json(text).fieldNames(); fieldNames.hasNext(); ) {
      String field = fieldNames.next();
      addJob(text.replace("\"" + field + "\"", "\"x\""));
      addJob(
          text.replaceFirst(
              "\"" + field + "\":([^\\[,]*|\\[.*\\])([,}])", "\"" + field + "\":{}$2"));
    }
    String completeType =
        "{'sku':'g8','vcpus':32,'accelerators':8,'memoryGb':256,'cacheGb':100,'fetchGbPerS':0.5,"
            + "'rate':9.5,'marketPrice':3.25,'readyS':40,'yards':['a','b']}";
    String minimalType = "{'sku':'c4','vcpus':4,'memoryGb':16,'rate':0.4,'readyS':20.5}";
    String invalidType = "{'sku':'c4','vcpus':4,'memoryGb':16,'rate':0.4}";
    String catalogue =
        "{'breeds':[" + completeType + "," + minimalType + "," + invalidType + ",7]}";
    for (MachineType machineType : MachineType.parseAll(json(catalogue.replace('\'', '"')))) {
      lines.add("type: " + jsonAndHex(machineType.toNode()));
    }
    lines.add("none: " + MachineType.parseAll(json("{\"breeds\":7}")));
    GoldenFile.check("jobs.txt", lines);
  }

  // ---- Stored values ----

  private static BitSet bits(int... set) {
    BitSet bits = new BitSet();
    for (int i : set) {
      bits.set(i);
    }
    return bits;
  }

  private void addDecodedPlacements(JsonNode value) {
    addLine(
        "read",
        () -> {
          StringBuilder text = new StringBuilder();
          for (PlacementRecordCodec.PartitionRecord partition :
              PlacementRecordCodec.decode(value)) {
            text.append(partition.job()).append(' ').append(partition.firstTask()).append(' ');
            text.append(partition.doneTasks())
                .append(java.util.Arrays.toString(partition.machineReferences()));
            partition
                .quotaClaim()
                .ifPresent(
                    claim ->
                        text.append(' ' + claim.team() + ' ' + claim.cpus())
                            .append(" " + claim.gpus() + ' ' + claim.memoryGb()));
            text.append("; ");
          }
          return text.toString();
        });
  }

  @Test
  void placementRecords() {
    Optional<PlacementRecordCodec.QuotaClaim> claim =
        Optional.of(new PlacementRecordCodec.QuotaClaim("a|b", 1.5, 0, 4));
    for (RecordLayout layout : RecordLayout.values()) {
      int secondPartition = layout.tasksPerPartition();
      List<PlacementRecordCodec.PartitionRecord> partitions =
          List.of(
              new PlacementRecordCodec.PartitionRecord(
                  "wk-1", 0, bits(), new int[] {}, Optional.empty()),
              new PlacementRecordCodec.PartitionRecord(
                  "wk-2", 0, bits(0, 9), new int[] {0, 1, 258, 0, 0}, Optional.empty()),
              new PlacementRecordCodec.PartitionRecord(
                  "wk-2", secondPartition, bits(1), new int[] {65535}, claim),
              new PlacementRecordCodec.PartitionRecord(
                  "wk-000412", 0, bits(), new int[] {0, 0, 7}, claim));
      JsonNode value = PlacementRecordCodec.encode(partitions, layout);
      lines.add(layout.ordinal() + ": " + jsonAndHex(value));
      lines.add(
          "length: "
              + PlacementRecordCodec.jsonLength(value)
              + " "
              + PlacementRecordCodec.maxEncodedSize("wk-2", secondPartition, layout));
      addDecodedPlacements(value);
      lines.add("keys: " + layout.placementKey(0) + " " + layout.machineKey(12));
      lines.add("part of " + layout.tasksPerPartition());
    }
    lines.add("claim size: " + claim.get().maxEncodedSize());
    lines.add("number: " + PlacementRecordCodec.positionalReference(2, 5, 64));
    for (String invalid :
        List.of("7", "{\"wk-1/0\":\"?\"}", "{\"wk-1\":\"|\"}", "{\"wk-1:0\":\"|AA|1|x|2|t\"}")) {
      lines.add("bad: " + invalid);
      addDecodedPlacements(json(invalid));
    }
    for (int level = 0; level < 4; level++) {
      lines.add("level " + level + ": " + RecordLayout.ofLevel(level).ordinal());
    }
    GoldenFile.check("task-records.txt", lines);
  }

  private void addDecodedMachines(JsonNode value) {
    addLine(
        "read",
        () -> {
          StringBuilder text = new StringBuilder();
          for (MachineRecordCodec.MachineRecord machineRecord : MachineRecordCodec.decode(value)) {
            text.append(
                machineRecord.number()
                    + " "
                    + machineRecord.machine()
                    + ' '
                    + machineRecord.address()
                    + ' ');
            text.append(
                machineRecord.type()
                    + ' '
                    + machineRecord.zone()
                    + ' '
                    + machineRecord.spot()
                    + ' ');
            text.append(machineRecord.incarnation() + " " + machineRecord.retiring() + ' ');
            text.append(
                machineRecord.maintenance().stage().ordinal()
                    + machineRecord.maintenance().drain()
                    + "; ");
          }
          return text.toString();
        });
    lines.add("level: " + MachineRecordCodec.levelOf(value));
  }

  @Test
  void machineRecords() {
    List<MachineRecordCodec.MachineRecord> machineRecords = new ArrayList<>();
    machineRecords.add(
        new MachineRecordCodec.MachineRecord(
            0, "m-000000", "", "g8", "a", false, 0, false, Maintenance.IN_SERVICE));
    for (Maintenance.Stage stage : Maintenance.Stage.values()) {
      if (stage != Maintenance.Stage.IN_SERVICE) {
        machineRecords.add(
            new MachineRecordCodec.MachineRecord(
                300 + stage.ordinal(),
                "m-00000" + stage.ordinal(),
                "10.0.0.1:9000",
                "c4",
                "b",
                true,
                1L << 33,
                stage == Maintenance.Stage.DRAINED,
                new Maintenance(stage, "d-1")));
      }
    }
    for (int level = 0; level < 3; level++) {
      JsonNode value = MachineRecordCodec.encode(machineRecords, level);
      lines.add(level + ": " + jsonAndHex(value));
      lines.add(
          "length: "
              + MachineRecordCodec.jsonLength(value)
              + " "
              + MachineRecordCodec.maxEncodedSize(machineRecords.get(1)));
      addDecodedMachines(value);
    }
    for (String invalid :
        List.of(
            "{\"m\":[]}",
            "{}",
            "{\"m\":7}",
            "{\"m\":[[1]]}",
            "{\"m\":[[1,\"m-1\"]]}",
            "{\"m\":[[1,\"m\",\"\",\"t\",\"z\",true,1,false,\"x:d\"]]}")) {
      lines.add("bad: " + invalid);
      addDecodedMachines(json(invalid));
    }
    GoldenFile.check("machine-records.txt", lines);
  }

  @Test
  void levelsSupportRecordsAndDrains() {
    SchemaLevel level = new SchemaLevel(1, 1, true);
    JsonNode laterRecord = json("{\"level\":0,\"newer\":[1]}");
    for (SchemaLevel each :
        List.of(
            SchemaLevel.UNVERSIONED,
            level,
            level.upgradedTo(2),
            level.upgradedTo(2).migrationCompleted(),
            level.rollingBack(),
            level.rollingBack().migrationCompleted(),
            level.rollingBack().resumed())) {
      lines.add(
          "level: "
              + jsonAndHex(each.toNode(MessagePack.MISSING))
              + " "
              + each.toNode(laterRecord));
    }
    for (String text :
        List.of("{\"level\":2}", "{\"level\":0}", "{\"level\":1,\"written\":2}", "{}", "7")) {
      addLine("read " + text, () -> SchemaLevel.parse(json(text)).toNode(json("{}")).toString());
    }
    ControllerSupport support = new ControllerSupport(new SupportedLevels(0, 2), 1L << 50, "0.1.0");
    lines.add("member: " + jsonAndHex(support.toNode()));
    for (String text : List.of("{\"lowest\":1,\"highest\":0}", "{\"lowest\":1,\"highest\":2}")) {
      addLine("read " + text, () -> ControllerSupport.parse(json(text)).toNode().toString());
    }
    for (DrainRequest.CompletionAction completionAction : DrainRequest.CompletionAction.values()) {
      for (DrainRequest.DesiredState desiredState : DrainRequest.DesiredState.values()) {
        DrainRequest request =
            new DrainRequest(
                "d-1",
                "zone a",
                3,
                completionAction,
                desiredState,
                Instant.ofEpochMilli(1_700_000_000_000L),
                Instant.ofEpochMilli(1_700_000_360_000L),
                desiredState == DrainRequest.DesiredState.PAUSE
                    ? Optional.of("night")
                    : Optional.empty());
        lines.add("drain: " + jsonAndHex(request.toNode()));
        addLine("read", () -> DrainRequest.parse("d-1", request.toNode()).toNode().toString());
        lines.add(
            "wish: "
                + DrainRequest.withDesiredState(
                    json("{\"wish\":\"x\",\"newer\":1}"), desiredState));
        if (desiredState == DrainRequest.DesiredState.CANCEL) {
          request
              .toMutations(List.of("m-000001", "m-000002", "m-000003", "m-000004"), 40)
              .forEach(change -> lines.add("names: " + change.key() + " " + change.value()));
        }
      }
    }
    addLine("bad", () -> DrainRequest.parse("d", json("{\"selector\":\"a\"}")).toNode().toString());
    for (DrainStatus.State state : DrainStatus.State.values()) {
      DrainStatus status = new DrainStatus(state, 1, 2, 3, 4, 5, List.of("one", "two", "three"));
      lines.add("status: " + status.toNode(2) + " over: " + DrainStatus.isFinal(status.toNode(2)));
    }
    List<Disruption> disruptions =
        List.of(
            new Disruption(TASK, "t", "c", true, Duration.ofMillis(1500)),
            new Disruption(new TaskId("wk-1", 0), "u", "d", false, Duration.ZERO));
    JsonNode disrupted = Disruption.encode(disruptions);
    lines.add("disrupted: " + jsonAndHex(disrupted));
    addLine("read", () -> Disruption.encode(Disruption.decode(disrupted)).toString());
    addLine("bad", () -> Disruption.encode(Disruption.decode(json("{\"d\":[[1]]}"))).toString());
    GoldenFile.check("levels-and-drains.txt", lines);
  }

  // ---- Key-value store ----

  /** Records each request, and answers it with status 200 and an empty body. */
  private final class Recorder implements HttpClient {
    @Override
    public void call(
        String address,
        String method,
        String path,
        JsonNode body,
        Duration timeout,
        java.util.function.Consumer<Reply> callback) {
      lines.add(
          String.join(" ", address, method, path, timeout.toString())
              + " "
              + (body.isMissingNode() ? "-" : jsonAndHex(body)));
      callback.accept(new Reply(200, MessagePack.map()));
    }
  }

  private static Settings settings() {
    InetSocketAddress address = InetSocketAddress.createUnresolved("h", 1);
    Duration second = Duration.ofSeconds(1);
    return new Settings(
        "h",
        "a",
        address,
        address,
        Map.of(),
        "cloud",
        "state",
        List.of(),
        List.of(),
        new Settings.AgentSettings(second, second, second, Optional.empty()),
        new Settings.StoreLimits(1000, 1000, 8192, 24),
        new Settings.CloudLimits(1, second),
        1000,
        1);
  }

  @Test
  void requestsToTheKeyValueStore() {
    KeyValueStoreClient client =
        new KeyValueStoreClient(
            new CountingEventLoop(), new Recorder(), settings(), () -> OptionalLong.of(431));
    JsonNode value = json("{\"a\":[1,2.5,\"x\"]}");
    client.compareAndSwap(
        List.of(new Precondition("c/term", 0), new Precondition("c/live/wk-1", 1L << 40)),
        List.of(
            Mutation.put("c/live/wk-1", value),
            Mutation.delete("c/live/wk-2"),
            new Mutation("c/lead", Optional.of(value), Optional.of(77L))),
        reply -> {});
    client.get("c/lead", reply -> {});
    client.list("c/", Optional.empty(), 500, reply -> {});
    client.list("c/", Optional.of("c/live/wk-1"), 500, reply -> {});
    client.watch("c/", 431, Duration.ofSeconds(2), reply -> {});
    client.grantLease(Duration.ofMillis(2200), reply -> {});
    client.renewLease(77, reply -> {});
    client.revokeLease(77, reply -> {});
    lines.add("live: " + Keys.liveJob("wk-1") + " past: " + Keys.finishedJob("wk-1"));
    lines.add("member: " + Keys.supportRecord("h") + " drain: " + Keys.drain("d-1"));
    lines.add("machines: " + Keys.drainMachines("d-1") + " status: " + Keys.drainStatus("d-1"));
    lines.add("disruptions: " + Keys.disruptions(3));
    lines.add(
        String.join(" ", Keys.WATCHED_PREFIX, Keys.LEADER, Keys.TERM, Keys.LEVEL, Keys.CATALOGUE)
            + " "
            + String.join(" ", Keys.SUPPORT_RECORDS, Keys.DRAINS, Keys.STATUS, Keys.LIVE_JOBS));
    GoldenFile.check("key-value-store.txt", lines);
  }
}
