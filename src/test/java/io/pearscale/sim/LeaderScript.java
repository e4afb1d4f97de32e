package io.pearscale.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.drain.DrainSettings;
import io.pearscale.protocol.Heartbeat;
import io.pearscale.protocol.HeartbeatResponse;
import io.pearscale.protocol.JobSpec;
import io.pearscale.protocol.MalformedMessageException;
import io.pearscale.protocol.PeerMessage.JobTaskCount;
import io.pearscale.protocol.PeerMessage.LiveJobs;
import io.pearscale.protocol.Settings;
import io.pearscale.protocol.WorkloadType;
import io.pearscale.scheduler.OperatorSettings;
import io.pearscale.scheduler.SchedulerActor;
import io.pearscale.scheduler.model.Tuning;
import io.pearscale.storage.KeyValueStoreClient;
import io.pearscale.storage.Keys;
import io.pearscale.storage.MachineRecordCodec;
import io.pearscale.storage.Maintenance;
import io.pearscale.storage.PlacementRecordCodec;
import io.pearscale.storage.RecordLayout;
import io.pearscale.storage.StoreReplicaActor.Entry;
import io.pearscale.storage.StoreReplicaActor.KeyChange;
import io.pearscale.transport.HttpClient;
import io.pearscale.upgrade.LevelGate;
import io.pearscale.upgrade.SupportedLevels;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.random.RandomGeneratorFactory;

/**
 * Plays a script against the leader's core alone: each message to it is written out, and so is what
 * it must answer. For what can't be met by chance in a whole simulated world.
 */
final class LeaderScript extends SimulatedEventLoop implements HttpClient, SchedulerActor.Listener {
  private record Pending(String path, JsonNode body, Consumer<Reply> answer) {}

  private final SchedulerActor core;
  private final KeyValueStoreClient client;
  private final Map<String, Pending> direct = new TreeMap<>();
  private final List<Pending> heldCommits = new ArrayList<>();
  private final Map<String, Long> attempts = new HashMap<>();
  private final List<String> terminatedMachines = new ArrayList<>();
  private final List<String> log = new ArrayList<>();
  private final List<String> provisionRequests = new ArrayList<>();

  /** Places in a value of the roster, as the leader counts them. */
  private static final int PLACES = 64;

  private final List<MachineRecordCodec.MachineRecord> hosts = new ArrayList<>();
  private int nextTaskRecord;
  private String via = "hive-0";
  private boolean holdCommits;
  private long revision;
  private long term;
  private final Map<String, Entry> keys = new LinkedHashMap<>();
  private Optional<HeartbeatResponse> answer = Optional.empty();
  private boolean higherTermSeen;
  private String unfitReason = "";

  private LeaderScript(OperatorSettings operations) {
    world.controllers.put("hive-0", new SimController(world, "hive-0"));
    world.teams.add(new Settings.Team("t", 0, 0, 0, 0));
    world.teams.add(new Settings.Team("q", 0, 2, 0, 0));
    Settings settings = world.settings("hive-0");
    client = new KeyValueStoreClient(this, this, settings);
    core =
        new SchedulerActor(
            new SchedulerActor.Environment(
                this,
                client,
                this,
                settings,
                Tuning.defaults(),
                operations,
                RandomGeneratorFactory.of("L64X128MixRandom").create(1),
                () -> world.now,
                new LevelGate(SupportedLevels.OF_THIS_BUILD),
                this));
  }

  @Override
  public void higherTermSeen(long term) {
    higherTermSeen = true;
  }

  @Override
  public void recordUnreadable(String reason) {
    unfitReason = reason;
  }

  @Override
  public void taskCountsChanged(List<JobTaskCount> counts) {}

  /** Plays the script; empty when all came as written. */
  static Optional<String> play(String text) throws MalformedMessageException {
    LeaderScript s =
        new LeaderScript(
            text.contains("\ndrains on\n") ? withDrains() : OperatorSettings.disabled());
    int number = 0;
    for (String line : text.split("\n")) {
      number++;
      String clean = line.replaceAll("#.*", "").strip();
      if (clean.isEmpty()) {
        continue;
      }
      Optional<String> wrong = s.line(Arrays.asList(clean.split("\\s+")));
      if (wrong.isPresent()) {
        return Optional.of(
            "line " + number + ": " + clean + "\n" + wrong.get() + "\n" + String.join("\n", s.log));
      }
    }
    return Optional.empty();
  }

  private static OperatorSettings withDrains() {
    return new OperatorSettings(
        Optional.empty(),
        OperatorSettings.disabled().highestLevel(),
        /* automaticLevel= */ false,
        Optional.of(new DrainSettings(List.of(), Map.of())));
  }

  private Optional<String> line(List<String> words) throws MalformedMessageException {
    switch (words.get(0)) {
      case "drains" -> {
        // Read before the first line is played.
      }
      case "type" ->
          world.cloud.types.put(words.get(1), Scenario.type(words.get(1), world.zones, words));
      case "job" -> job(words);
      case "drop" -> changed("c/live/" + words.get(1), Optional.empty());
      case "marks" -> writePlacementRecords(words.get(1), words.subList(2, words.size()));
      case "host" -> {
        String m = words.get(1);
        hosts.add(
            new MachineRecordCodec.MachineRecord(
                hosts.size(),
                m,
                m,
                "small",
                zone(m),
                false,
                1,
                words.get(2).equals("retiring"),
                Maintenance.IN_SERVICE));
        changed("c/roster/0", Optional.of(MachineRecordCodec.encode(hosts, 0)));
      }
      case "damaged" ->
          changed(words.get(1), Optional.of(SimulatedCluster.map().put("wk-1/0", "?")));
      case "damaged-job" ->
          changed("c/live/" + words.get(1), Optional.of(SimulatedCluster.map().put("spec", "?")));
      case "won" -> won(Long.parseLong(words.get(1)), words.contains("on-old-copy"));
      case "caught-up" -> {
        core.tell(new SchedulerActor.KeysChanged(List.of(), revision));
        settle(Duration.ofMillis(100));
      }
      case "vouch" -> receiveConfirmation(List.of(), words.subList(1, words.size()));
      case "vouch-live" ->
          receiveConfirmation(
              List.of(new LiveJobs(revision, words.subList(1, words.size()))), List.of());
      case "acknowledged" -> core.tell(new SchedulerActor.ElectionAcknowledged(term));
      case "confirm" -> confirm();
      case "wait" -> {
        for (int i = 0; i < 20 * Double.parseDouble(words.get(1)); i++) {
          if (!words.contains("unconfirmed")) {
            confirm();
          }
          if (words.contains("unconfirmed") && words.contains("stale")) {
            core.tell(new SchedulerActor.LeadershipProven(world.now));
          }
          settle(Duration.ofMillis(50));
        }
      }
      case "raise-term" -> {
        ObjectNode body = SimulatedCluster.map();
        ObjectNode change = body.putArray("then").addObject().put("write", "c/term");
        change.set("value", SimulatedCluster.map().put("term", Long.parseLong(words.get(1))));
        world.store.handleRequest("x", "POST", "/commit", body, r -> {});
      }
      case "cancelled-unseen" -> {
        ObjectNode body = SimulatedCluster.map();
        body.putArray("then").addObject().put("drop", "c/live/" + words.get(1));
        world.store.handleRequest("x", "POST", "/commit", body, r -> {});
      }
      case "hold-commits" -> holdCommits = true;
      case "release-commits" -> {
        holdCommits = false;
        List<Pending> late = List.copyOf(heldCommits);
        heldCommits.clear();
        late.forEach(p -> world.store.handleRequest("x", "POST", p.path, p.body, p.answer));
        settle(Duration.ofMillis(200));
      }
      case "lose-commits" -> {
        // No answer; the transactions come later, with release-commits.
        heldCommits.replaceAll(
            p -> {
              p.answer.accept(Reply.NO_RESPONSE);
              return new Pending(p.path, p.body, r -> {});
            });
        holdCommits = false;
        settle(Duration.ofSeconds(2));
      }
      case "report" -> {
        answer = Optional.empty();
        core.tell(
            new SchedulerActor.HeartbeatReceived(report(words), via, a -> answer = Optional.of(a)));
        settle(Duration.ofMillis(1));
        answer.ifPresent(a -> a.commands().forEach(command -> note(command.toNode())));
      }
      case "via" -> via = words.get(1);
      case "reply" -> {
        Pending p = direct.remove(words.get(1));
        if (p == null) {
          return Optional.of("nothing was sent to " + words.get(1));
        }
        p.answer.accept(
            words.get(2).equals("none")
                ? Reply.NO_RESPONSE
                : new Reply(
                    Integer.parseInt(words.get(2)),
                    body(words.get(1), words.subList(3, words.size()))));
        settle(Duration.ofMillis(60));
      }
      case "expect" -> {
        return expect(words.subList(1, words.size()));
      }
      default -> throw new IllegalArgumentException("script: " + words);
    }
    return Optional.empty();
  }

  /** Words like 0@m-1 for a task that may be on a machine, and 0=done. */
  private void writePlacementRecords(String job, List<String> words) {
    BitSet done = new BitSet();
    int[] on = new int[words.size()];
    for (String word : words) {
      String[] parts = word.split("[@=]");
      int task = Integer.parseInt(parts[0]);
      if (word.endsWith("=done")) {
        done.set(task);
      } else {
        MachineRecordCodec.MachineRecord e =
            hosts.stream().filter(h -> h.machine().equals(parts[1])).findFirst().orElseThrow();
        on[task] = PlacementRecordCodec.positionalReference(0, e.number(), PLACES);
      }
    }
    changed(
        "c/marks/" + nextTaskRecord++,
        Optional.of(
            PlacementRecordCodec.encode(
                List.of(new PlacementRecordCodec.PartitionRecord(job, 0, done, on, claim(job))),
                RecordLayout.POSITIONAL)));
  }

  /** As a leader writes it: what the tasks of a job take of their team's limit. */
  private Optional<PlacementRecordCodec.QuotaClaim> claim(String job) {
    JsonNode spec = keys.get("c/live/" + job).value().path("spec");
    String team = spec.path("crew").asText();
    return world.teams.stream().anyMatch(t -> t.name().equals(team) && t.hasQuotaLimit())
        ? Optional.of(
            new PlacementRecordCodec.QuotaClaim(
                team,
                spec.path("vcpus").asDouble(),
                spec.path("accelerators").asDouble(),
                spec.path("memoryGb").asDouble()))
        : Optional.empty();
  }

  private void receiveConfirmation(List<LiveJobs> live, List<String> cancelled) {
    core.tell(new SchedulerActor.ConfirmedByPeers(world.now, Set.copyOf(cancelled), live));
    settle(Duration.ofMillis(10));
  }

  /** What the state service holds of a task: done, the name of a machine, or none. */
  private String placementOf(String task) throws MalformedMessageException {
    String job = task.split("/")[0];
    int index = Integer.parseInt(task.split("/")[1]);
    Map<Integer, String> names = new HashMap<>();
    for (Map.Entry<String, JsonNode> value :
        world.store.entriesWithPrefix("c/roster/").entrySet()) {
      int number = Keys.valueNumber(value.getKey());
      for (MachineRecordCodec.MachineRecord e : MachineRecordCodec.decode(value.getValue())) {
        names.put(
            PlacementRecordCodec.positionalReference(number, e.number(), PLACES), e.machine());
      }
    }
    for (JsonNode value : world.store.entriesWithPrefix("c/marks/").values()) {
      for (PlacementRecordCodec.PartitionRecord p : PlacementRecordCodec.decode(value)) {
        if (p.job().equals(job) && p.doneTasks().get(index)) {
          return "done";
        } else if (p.job().equals(job) && index < p.machineReferences().length) {
          return names.getOrDefault(p.machineReferences()[index], "none");
        }
      }
    }
    return "none";
  }

  /** What the roster says of a machine. */
  private String machineRecordOf(String machine) throws MalformedMessageException {
    for (JsonNode value : world.store.entriesWithPrefix("c/roster/").values()) {
      for (MachineRecordCodec.MachineRecord e : MachineRecordCodec.decode(value)) {
        if (e.machine().equals(machine)) {
          return e.retiring() ? "retiring" : "usable";
        }
      }
    }
    return "none";
  }

  private static String zone(String machine) {
    return machine.startsWith("b") ? "b" : "a";
  }

  private void job(List<String> words) {
    Map<String, String> o = new HashMap<>();
    words
        .subList(3, words.size())
        .forEach(x -> o.put(x.split("=")[0], x.contains("=") ? x.split("=")[1] : "true"));
    JobSpec spec =
        Scenario.job(words.get(1), WorkloadType.valueOf(words.get(2).toUpperCase(Locale.ROOT)), o);
    ObjectNode v = SimulatedCluster.map().put("at", world.now.toEpochMilli());
    v.set("spec", spec.toNode());
    changed("c/live/" + words.get(1), Optional.of(v));
  }

  private void changed(String key, Optional<JsonNode> value) {
    ObjectNode body = SimulatedCluster.map();
    ObjectNode change = body.putArray("then").addObject();
    if (value.isPresent()) {
      change.put("write", key).set("value", value.get());
    } else {
      change.put("drop", key);
    }
    world.store.handleRequest("x", "POST", "/commit", body, r -> {});
    revision = world.store.storeRevision();
    Optional<Entry> entry = value.map(v -> new Entry(v, revision));
    entry.ifPresentOrElse(e -> keys.put(key, e), () -> keys.remove(key));
    if (term > 0) {
      core.tell(new SchedulerActor.KeysChanged(List.of(new KeyChange(key, entry)), revision));
      settle(Duration.ofMillis(100));
    }
  }

  private void won(long wonTerm, boolean old) {
    term = wonTerm;
    ObjectNode types = SimulatedCluster.map();
    var list = types.putArray("breeds");
    world.cloud.types.values().forEach(x -> list.add(x.toNode()));
    keys.put("c/catalogue", new Entry(types, 1));
    changedTerm();
    core.tell(new SchedulerActor.Loaded(new TreeMap<>(keys), old ? 1 : revision));
    core.tell(new SchedulerActor.ReplicaFresh(world.now));
    core.tell(new SchedulerActor.Elected(wonTerm, world.store.revisionOf("c/term"), world.now));
    settle(Duration.ofMillis(5));
  }

  private void confirm() {
    core.tell(new SchedulerActor.LeadershipProven(world.now));
    core.tell(new SchedulerActor.ReplicaFresh(world.now));
  }

  private void changedTerm() {
    ObjectNode body = SimulatedCluster.map();
    body.putArray("then")
        .addObject()
        .put("write", "c/term")
        .set("value", SimulatedCluster.map().put("term", term));
    world.store.handleRequest("x", "POST", "/commit", body, r -> {});
    revision = world.store.storeRevision();
  }

  private Heartbeat report(List<String> words) throws MalformedMessageException {
    return Heartbeat.parse(body(words.get(1), words.subList(2, words.size())));
  }

  /** Words: session sequence token, then tasks like wk-1/0:running or wk-1/0:ended:done. */
  private ObjectNode body(String machine, List<String> words) {
    long current = (term << 24) + 1;
    long token =
        words.get(2).startsWith("current")
            ? current + Long.parseLong("0" + words.get(2).substring(7).replace("+", ""))
            : Long.parseLong(words.get(2));
    ObjectNode n =
        SimulatedCluster.map()
            .put("hive", machine)
            .put("address", machine)
            .put("breed", "small")
            .put("yard", zone(machine))
            .put("windfall", false)
            .put("stint", Long.parseLong(words.get(0)))
            .put("tally", Long.parseLong(words.get(1)))
            .put("baton", token);
    var list = n.putArray("pieces");
    for (String t : words.subList(3, words.size())) {
      String[] parts = t.split(":");
      ObjectNode p = list.addObject().put("piece", parts[0]).put("stage", parts[1]);
      p.put("try", attempts.getOrDefault(parts[0], 7L));
      if (parts.length > 2) {
        p.put("cause", parts[2]);
      }
    }
    return n;
  }

  private void note(JsonNode order) {
    if (order.path("verb").asText().equals("run")) {
      terminatedMachines.add(order.path("piece").asText() + ":" + order.path("try").asLong());
      attempts.put(order.path("piece").asText(), order.path("try").asLong());
    }
  }

  private static SortedSet<String> names(JsonNode orders) {
    TreeSet<String> set = new TreeSet<>();
    orders.forEach(o -> set.add(o.path("verb").asText() + ":" + o.path("piece").asText()));
    return set;
  }

  private Optional<String> expect(List<String> words) throws MalformedMessageException {
    switch (words.get(0)) {
      case "answer" -> {
        if (answer.isEmpty() || answer.get().status() != Integer.parseInt(words.get(1))) {
          return Optional.of("answered " + answer);
        }
        TreeSet<String> got = new TreeSet<>();
        answer
            .get()
            .commands()
            .forEach(
                command ->
                    got.addAll(names(SimulatedCluster.map().putArray("x").add(command.toNode()))));
        SortedSet<String> want = new TreeSet<>(words.subList(2, words.size()));
        return got.equals(want) ? Optional.empty() : Optional.of("orders " + got);
      }
      case "do" -> {
        Pending p = direct.get(words.get(1));
        SortedSet<String> got = p == null ? new TreeSet<>() : names(p.body.path("orders"));
        SortedSet<String> want = new TreeSet<>(words.subList(2, words.size()));
        return got.equals(want) ? Optional.empty() : Optional.of("sent " + got);
      }
      case "leeway" -> {
        JsonNode orders = direct.get(words.get(1)).body.path("orders");
        double got = orders.path(0).path("leewayS").asDouble(-1);
        return got == Double.parseDouble(words.get(2))
            ? Optional.empty()
            : Optional.of("leeway " + got);
      }
      case "token" -> {
        long got = answer.map(HeartbeatResponse::fencingToken).orElse(-1L) - (term << 24) - 1;
        return got == Long.parseLong(words.get(1))
            ? Optional.empty()
            : Optional.of("token +" + got);
      }
      case "stored" -> {
        boolean has = world.store.valueContains(words.get(1), words.size() > 2 ? words.get(2) : "");
        return has
            ? Optional.empty()
            : Optional.of("stored " + world.store.valueAsText(words.get(1)));
      }
      case "not-stored" -> {
        return world.store.valueContains(words.get(1), "")
            ? Optional.of("is stored")
            : Optional.empty();
      }
      case "started" -> {
        return terminatedMachines.stream().anyMatch(g -> g.startsWith(words.get(1) + ":"))
            ? Optional.empty()
            : Optional.of("never started");
      }
      case "not-started" -> {
        return terminatedMachines.stream().noneMatch(g -> g.startsWith(words.get(1) + ":"))
            ? Optional.empty()
            : Optional.of("started");
      }
      case "attempts-unique" -> {
        return terminatedMachines.size() == new TreeSet<>(terminatedMachines).size()
            ? Optional.empty()
            : Optional.of("attempts " + terminatedMachines);
      }
      case "mark" -> {
        String got = placementOf(words.get(1));
        return got.equals(words.get(2)) ? Optional.empty() : Optional.of("marked " + got);
      }
      case "roster" -> {
        String got = machineRecordOf(words.get(1));
        return got.equals(words.get(2)) ? Optional.empty() : Optional.of("roster " + got);
      }
      case "unfit" -> {
        return unfitReason.contains(words.get(1))
            ? Optional.empty()
            : Optional.of("unfit: " + unfitReason);
      }
      case "higher-term" -> {
        return higherTermSeen ? Optional.empty() : Optional.of("not noticed");
      }
      default -> throw new IllegalArgumentException("script: " + words);
    }
  }

  private void settle(Duration time) {
    world.playTo(world.elapsed().plus(time));
  }

  // ---- The seams ----

  @Override
  public void call(
      String address,
      String method,
      String path,
      JsonNode body,
      Duration timeout,
      Consumer<Reply> to) {
    log.add(world.elapsed() + " " + address + " " + path + " " + body);
    if (address.equals("state")) {
      if (path.equals("/commit") && holdCommits) {
        heldCommits.add(new Pending(path, body, to));
      } else {
        world.store.handleRequest("x", method, path, body, to);
      }
    } else if (address.equals("cloud")) {
      if (path.equals("/hosts")) {
        provisionRequests.add(body.path("hire").asText());
      }
      world.cloud.handleRequest(method, path, body, to);
    } else {
      body.path("orders").forEach(this::note);
      direct.put(address, new Pending(path, body, to));
    }
  }
}
