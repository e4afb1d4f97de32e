package io.pearscale.golden;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.pearscale.drain.Disruption;
import io.pearscale.drain.DrainRequest;
import io.pearscale.drain.DrainStatus;
import io.pearscale.protocol.JobSpec;
import io.pearscale.protocol.MachineType;
import io.pearscale.protocol.Malformed;
import io.pearscale.protocol.Order;
import io.pearscale.protocol.PeerMessage;
import io.pearscale.protocol.PeerVersions;
import io.pearscale.protocol.Report;
import io.pearscale.protocol.ReportAnswer;
import io.pearscale.protocol.ReportReader;
import io.pearscale.protocol.Settings;
import io.pearscale.protocol.TaskId;
import io.pearscale.storage.Keys;
import io.pearscale.storage.Maintenance;
import io.pearscale.storage.Marks;
import io.pearscale.storage.RecordLayout;
import io.pearscale.storage.Roster;
import io.pearscale.storage.StateClient;
import io.pearscale.storage.StateClient.Change;
import io.pearscale.storage.StateClient.Guard;
import io.pearscale.transport.Calls;
import io.pearscale.transport.CountingLoop;
import io.pearscale.transport.MessagePack;
import io.pearscale.upgrade.ClusterLevel;
import io.pearscale.upgrade.MemberSupport;
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

/** The bytes of single messages and stored values, as they must stay. */
class GoldenTest {
  private static final TaskId TASK = new TaskId("wk-000412", 4);
  private final List<String> lines = new ArrayList<>();

  /** Reads or writes something that may be malformed. */
  private interface Step {
    String run() throws Malformed;
  }

  private void line(String name, Step step) {
    try {
      lines.add(name + ": " + step.run());
    } catch (Malformed e) {
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

  /** The tree as text, then its bytes. */
  private static String both(JsonNode tree) {
    return tree + " " + hex(MessagePack.encode(tree));
  }

  // ---- Between controllers ----

  private static Report.TaskReport task(int attempt, Report.Stage stage, String cause) {
    return new Report.TaskReport(TASK, attempt, stage, cause);
  }

  private static Report report(Optional<Duration> notice) {
    List<Report.TaskReport> tasks = new ArrayList<>();
    for (Report.Stage stage : Report.Stage.values()) {
      tasks.add(task(stage.ordinal() + 1, stage, ""));
    }
    tasks.add(task(9, Report.Stage.ENDED, "done"));
    return new Report(
        "m-000231", "10.1.0.232:9000", "g8", "a", true, 3, 88, 50331649L, notice, tasks);
  }

  private static List<Order> orders() {
    return List.of(
        Order.run(TASK, 1L << 40),
        Order.kill(TASK, 7, Duration.ofMillis(2500)),
        Order.kill(TASK, 8, Duration.ZERO),
        Order.clear(TASK, 3));
  }

  @Test
  void recordsBetweenControllers() {
    List<PeerMessage> messages =
        List.of(
            new PeerMessage.Heartbeat(9, "hive-2", true),
            new PeerMessage.Heartbeat(10, "", false),
            new PeerMessage.ForwardedReport(4, report(Optional.of(Duration.ofSeconds(12)))),
            new PeerMessage.ForwardedReport(5, report(Optional.empty())),
            new PeerMessage.ForwardedAnswer(4, new ReportAnswer(200, 77, orders())),
            new PeerMessage.ForwardedAnswer(6, ReportAnswer.UNAVAILABLE),
            new PeerMessage.Counts(
                List.of(
                    new PeerMessage.JobCount("wk-7", 1, 2),
                    new PeerMessage.JobCount("wk-000412", 70000, 0))),
            new PeerMessage.Question(12, 431),
            new PeerMessage.Vouch(12, 9, List.of("wk-3", "wk-5"), Optional.empty()),
            new PeerMessage.Vouch(
                12,
                9,
                List.of(),
                Optional.of(new PeerMessage.LiveJobs(430, List.of("wk-8", "wk-9")))),
            new PeerMessage.Cancelled("wk-3"));
    for (PeerMessage message : messages) {
      byte[] bytes = PeerMessage.encode(message);
      line("kind " + bytes[0], () -> hex(bytes));
      line("again", () -> hex(PeerMessage.encode(PeerMessage.decode(bytes))));
      byte[] cut = java.util.Arrays.copyOf(bytes, bytes.length - 1);
      line("cut", () -> hex(PeerMessage.encode(PeerMessage.decode(cut))));
      byte[] more = java.util.Arrays.copyOf(bytes, bytes.length + 1);
      line("more", () -> hex(PeerMessage.encode(PeerMessage.decode(more))));
    }
    for (String bad : List.of("", "00", "08", "04ffffffff", "047fffffff", "0300")) {
      byte[] bytes = HexFormat.of().parseHex(bad);
      line("bad " + bad, () -> hex(PeerMessage.encode(PeerMessage.decode(bytes))));
    }
    lines.add("version: " + PeerMessage.VERSION);
    lines.add("greeting: " + new PeerVersions(3, 3).greeting());
    lines.add("greeting: " + new PeerVersions(3, 12).greeting());
    GoldenFile.check("peer-records.txt", lines);
  }

  // ---- Agents and users ----

  /** A body as the agent sends it, then the record in which a controller passes it on. */
  private void heartbeat(JsonNode body) {
    byte[] bytes = MessagePack.encode(body);
    lines.add("body: " + both(body));
    line(
        "read",
        () ->
            hex(PeerMessage.encode(new PeerMessage.ForwardedReport(1, ReportReader.read(bytes)))));
    line(
        "parsed",
        () -> hex(PeerMessage.encode(new PeerMessage.ForwardedReport(1, Report.parse(body)))));
  }

  @Test
  void whatAgentsSendAndGet() {
    String whole =
        "{'hive':'m-1','address':'10.0.0.1:9','breed':'g','yard':'a','windfall':true,'stint':2,"
            + "'tally':88,'baton':50331649,'warningS':2.5,'pieces':["
            + "{'piece':'wk-1/0','try':1,'stage':'fetching'},"
            + "{'piece':'wk-1/1','try':2,'stage':'waiting'},"
            + "{'piece':'wk-1/2','try':3,'stage':'running','cause':null},"
            + "{'piece':'wk-1/3','try':4,'stage':'flushing'},"
            + "{'piece':'wk-1/4','try':5,'stage':'ended','cause':'done'},"
            + "{'piece':'wk-1/5','try':6,'stage':'ended','cause':'error'}]}";
    String text = whole.replace('\'', '"');
    heartbeat(json(text));
    heartbeat(json(text.replace("2.5", "null")));
    heartbeat(json(text.replace("\"warningS\":2.5,", "\"other\":{\"a\":[1]},")));
    heartbeat(json(text.replace("running", "walking")));
    heartbeat(json(text.replace("wk-1/2", "wk-1")));
    heartbeat(json(text.replace("\"try\":3", "\"try\":-3")));
    heartbeat(json(text.replace("\"try\":3", "\"try\":3.5")));
    heartbeat(json(text.replace("\"warningS\":2.5", "\"warningS\":-1")));
    for (String name :
        List.of("hive", "address", "breed", "yard", "windfall", "stint", "tally", "baton")) {
      heartbeat(json(text.replace("\"" + name + "\":", "\"x\":")));
      heartbeat(json(text.replaceFirst("\"" + name + "\":[^,]*,", "\"" + name + "\":[],")));
    }
    heartbeat(json("{}"));
    heartbeat(json("[]"));
    ReportAnswer answer = new ReportAnswer(200, 50331649L, orders());
    lines.add("response: " + hex(answer.encode()));
    lines.add("response: " + hex(ReportAnswer.UNAVAILABLE.encode()));
    orders().forEach(order -> lines.add("command: " + both(order.toNode())));
    GoldenFile.check("agents.txt", lines);
  }

  private static final String JOB =
      "{'uid':'wk-000412','lineup':'train','crew':'vision','shape':'batch','rank':'high',"
          + "'pieces':3,'vcpus':1.5,'accelerators':0,'memoryGb':4,'bundle':'i','imageGb':1.25,"
          + "'breeds':['g8','c4'],'yard':'a','oneZone':true,'spread':false,'windfall':true,"
          + "'guessS':10,'bookmarkS':30,'stashS':2.5,'dueS':60}";

  private void job(String text) {
    JsonNode body = json(text);
    lines.add("body: " + body);
    line("kept", () -> both(JobSpec.parse(body).toNode()));
  }

  @Test
  void jobsAndMachineTypes() {
    String text = JOB.replace('\'', '"');
    job(text);
    job(text.replace("batch", "service").replace("\"dueS\":60", "\"dueS\":null"));
    job(text.replace("batch", "group").replace("\"yard\":\"a\",", ""));
    job(text.replace("[\"g8\",\"c4\"]", "null").replace("high", "idle"));
    job(text.replace("batch", "heap"));
    job(text.replace("high", "higher"));
    job(text.replace("wk-000412", "000412"));
    job(text.replace("\"pieces\":3", "\"pieces\":0"));
    for (var name = json(text).fieldNames(); name.hasNext(); ) {
      String each = name.next();
      job(text.replace("\"" + each + "\"", "\"x\""));
      job(text.replaceFirst("\"" + each + "\":([^\\[,]*|\\[.*\\])([,}])", "\"" + each + "\":{}$2"));
    }
    String type =
        "{'sku':'g8','vcpus':32,'accelerators':8,'memoryGb':256,'cacheGb':100,'fetchGbPerS':0.5,"
            + "'rate':9.5,'marketPrice':3.25,'readyS':40,'yards':['a','b']}";
    String small = "{'sku':'c4','vcpus':4,'memoryGb':16,'rate':0.4,'readyS':20.5}";
    String bad = "{'sku':'c4','vcpus':4,'memoryGb':16,'rate':0.4}";
    String catalogue = "{'breeds':[" + type + "," + small + "," + bad + ",7]}";
    for (MachineType each : MachineType.parseAll(json(catalogue.replace('\'', '"')))) {
      lines.add("type: " + both(each.toNode()));
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

  private void marks(JsonNode value) {
    line(
        "read",
        () -> {
          StringBuilder text = new StringBuilder();
          for (Marks.Part part : Marks.decode(value)) {
            text.append(part.job()).append(' ').append(part.first()).append(' ');
            text.append(part.done()).append(java.util.Arrays.toString(part.hosts()));
            part.claim()
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
  void recordsOfTasks() {
    Optional<Marks.Claim> claim = Optional.of(new Marks.Claim("a|b", 1.5, 0, 4));
    for (RecordLayout layout : RecordLayout.values()) {
      int second = layout.partTasks();
      List<Marks.Part> parts =
          List.of(
              new Marks.Part("wk-1", 0, bits(), new int[] {}, Optional.empty()),
              new Marks.Part("wk-2", 0, bits(0, 9), new int[] {0, 1, 258, 0, 0}, Optional.empty()),
              new Marks.Part("wk-2", second, bits(1), new int[] {65535}, claim),
              new Marks.Part("wk-000412", 0, bits(), new int[] {0, 0, 7}, claim));
      JsonNode value = Marks.encode(parts, layout);
      lines.add(layout.ordinal() + ": " + both(value));
      lines.add("length: " + Marks.length(value) + " " + Marks.size("wk-2", second, layout));
      marks(value);
      lines.add("keys: " + layout.marksKey(0) + " " + layout.rosterKey(12));
      lines.add("part of " + layout.partTasks());
    }
    lines.add("claim size: " + claim.get().size());
    lines.add("number: " + Marks.numberOfPlace(2, 5, 64));
    for (String bad :
        List.of("7", "{\"wk-1/0\":\"?\"}", "{\"wk-1\":\"|\"}", "{\"wk-1:0\":\"|AA|1|x|2|t\"}")) {
      lines.add("bad: " + bad);
      marks(json(bad));
    }
    for (int level = 0; level < 4; level++) {
      lines.add("level " + level + ": " + RecordLayout.ofLevel(level).ordinal());
    }
    GoldenFile.check("task-records.txt", lines);
  }

  private void roster(JsonNode value) {
    line(
        "read",
        () -> {
          StringBuilder text = new StringBuilder();
          for (Roster.Entry entry : Roster.decode(value)) {
            text.append(entry.number() + " " + entry.machine() + ' ' + entry.address() + ' ');
            text.append(entry.type() + ' ' + entry.zone() + ' ' + entry.spot() + ' ');
            text.append(entry.session() + " " + entry.retiring() + ' ');
            text.append(entry.maintenance().stage().ordinal() + entry.maintenance().drain() + "; ");
          }
          return text.toString();
        });
    lines.add("level: " + Roster.levelOf(value));
  }

  @Test
  void recordsOfMachines() {
    List<Roster.Entry> entries = new ArrayList<>();
    entries.add(new Roster.Entry(0, "m-000000", "", "g8", "a", false, 0, false, Maintenance.NONE));
    for (Maintenance.Stage stage : Maintenance.Stage.values()) {
      if (stage != Maintenance.Stage.NONE) {
        entries.add(
            new Roster.Entry(
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
      JsonNode value = Roster.encode(entries, level);
      lines.add(level + ": " + both(value));
      lines.add("length: " + Roster.length(value) + " " + Roster.size(entries.get(1)));
      roster(value);
    }
    for (String bad :
        List.of(
            "{\"m\":[]}",
            "{}",
            "{\"m\":7}",
            "{\"m\":[[1]]}",
            "{\"m\":[[1,\"m-1\"]]}",
            "{\"m\":[[1,\"m\",\"\",\"t\",\"z\",true,1,false,\"x:d\"]]}")) {
      lines.add("bad: " + bad);
      roster(json(bad));
    }
    GoldenFile.check("machine-records.txt", lines);
  }

  @Test
  void levelsMembersAndDrains() {
    ClusterLevel level = new ClusterLevel(1, 1, true);
    JsonNode later = json("{\"level\":0,\"newer\":[1]}");
    for (ClusterLevel each :
        List.of(
            ClusterLevel.UNVERSIONED,
            level,
            level.raisedTo(2),
            level.raisedTo(2).completed(),
            level.goingBack(),
            level.goingBack().completed(),
            level.goingBack().resumed())) {
      lines.add("level: " + both(each.toNode(MessagePack.MISSING)) + " " + each.toNode(later));
    }
    for (String text :
        List.of("{\"level\":2}", "{\"level\":0}", "{\"level\":1,\"written\":2}", "{}", "7")) {
      line("read " + text, () -> ClusterLevel.parse(json(text)).toNode(json("{}")).toString());
    }
    MemberSupport member = new MemberSupport(new SupportedLevels(0, 2), 1L << 50, "0.1.0");
    lines.add("member: " + both(member.toNode()));
    for (String text : List.of("{\"lowest\":1,\"highest\":0}", "{\"lowest\":1,\"highest\":2}")) {
      line("read " + text, () -> MemberSupport.parse(json(text)).toNode().toString());
    }
    for (DrainRequest.Afterwards afterwards : DrainRequest.Afterwards.values()) {
      for (DrainRequest.Wish wish : DrainRequest.Wish.values()) {
        DrainRequest request =
            new DrainRequest(
                "d-1",
                "zone a",
                3,
                afterwards,
                wish,
                Instant.ofEpochMilli(1_700_000_000_000L),
                Instant.ofEpochMilli(1_700_000_360_000L),
                wish == DrainRequest.Wish.PAUSE ? Optional.of("night") : Optional.empty());
        lines.add("drain: " + both(request.toNode()));
        line("read", () -> DrainRequest.parse("d-1", request.toNode()).toNode().toString());
        lines.add("wish: " + DrainRequest.withWish(json("{\"wish\":\"x\",\"newer\":1}"), wish));
        if (wish == DrainRequest.Wish.CANCEL) {
          request
              .changes(List.of("m-000001", "m-000002", "m-000003", "m-000004"), 40)
              .forEach(change -> lines.add("names: " + change.key() + " " + change.value()));
        }
      }
    }
    line("bad", () -> DrainRequest.parse("d", json("{\"selector\":\"a\"}")).toNode().toString());
    for (DrainStatus.State state : DrainStatus.State.values()) {
      DrainStatus status = new DrainStatus(state, 1, 2, 3, 4, 5, List.of("one", "two", "three"));
      lines.add("status: " + status.toNode(2) + " over: " + DrainStatus.isOver(status.toNode(2)));
    }
    List<Disruption> disruptions =
        List.of(
            new Disruption(TASK, "t", "c", true, Duration.ofMillis(1500)),
            new Disruption(new TaskId("wk-1", 0), "u", "d", false, Duration.ZERO));
    JsonNode disrupted = Disruption.encode(disruptions);
    lines.add("disrupted: " + both(disrupted));
    line("read", () -> Disruption.encode(Disruption.decode(disrupted)).toString());
    line("bad", () -> Disruption.encode(Disruption.decode(json("{\"d\":[[1]]}"))).toString());
    GoldenFile.check("levels-and-drains.txt", lines);
  }

  // ---- Key-value store ----

  /** Writes down what is asked. */
  private final class Recorder implements Calls {
    @Override
    public void call(
        String address,
        String method,
        String path,
        JsonNode body,
        Duration timeout,
        java.util.function.Consumer<Reply> answer) {
      lines.add(
          String.join(" ", address, method, path, timeout.toString())
              + " "
              + (body.isMissingNode() ? "-" : both(body)));
      answer.accept(new Reply(200, MessagePack.map()));
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
        new Settings.Workers(second, second, second, Optional.empty()),
        new Settings.State(1000, 1000, 8192, 24),
        new Settings.Cloud(1, second),
        1000,
        1);
  }

  @Test
  void requestsToTheKeyValueStore() {
    StateClient client =
        new StateClient(new CountingLoop(), new Recorder(), settings(), () -> OptionalLong.of(431));
    JsonNode value = json("{\"a\":[1,2.5,\"x\"]}");
    client.commit(
        List.of(new Guard("c/term", 0), new Guard("c/live/wk-1", 1L << 40)),
        List.of(
            Change.write("c/live/wk-1", value),
            Change.drop("c/live/wk-2"),
            new Change("c/lead", Optional.of(value), Optional.of(77L))),
        reply -> {});
    client.read("c/lead", reply -> {});
    client.list("c/", Optional.empty(), 500, reply -> {});
    client.list("c/", Optional.of("c/live/wk-1"), 500, reply -> {});
    client.watch("c/", 431, Duration.ofMillis(2000), reply -> {});
    client.grant(Duration.ofMillis(2200), reply -> {});
    client.extend(77, reply -> {});
    client.revoke(77, reply -> {});
    lines.add("live: " + Keys.live("wk-1") + " past: " + Keys.past("wk-1"));
    lines.add("member: " + Keys.member("h") + " drain: " + Keys.drain("d-1"));
    lines.add("machines: " + Keys.drainMachines("d-1") + " status: " + Keys.drainStatus("d-1"));
    lines.add("disruptions: " + Keys.disruptions(3));
    lines.add(
        String.join(" ", Keys.CURRENT, Keys.LEADER, Keys.TERM, Keys.LEVEL, Keys.CATALOGUE)
            + " "
            + String.join(" ", Keys.MEMBERS, Keys.DRAINS, Keys.STATUS, Keys.LIVE_JOBS));
    GoldenFile.check("key-value-store.txt", lines);
  }
}
