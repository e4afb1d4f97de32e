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
import io.pearscale.storage.StoreReplicaActor.Entry;
import io.pearscale.storage.StoreReplicaActor.KeyChange;
import io.pearscale.transport.HttpClient;
import io.pearscale.upgrade.LevelGate;
import io.pearscale.upgrade.SupportedLevels;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
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
 * Runs a script against the scheduler actor of a leader alone. The script lists each message to the
 * actor and the expected responses and commands. It covers interleavings that a simulation of the
 * whole cluster is unlikely to reach.
 */
final class LeaderScript extends SimulatedEventLoop implements HttpClient, SchedulerActor.Listener {
  private record PendingRequest(String path, JsonNode body, Consumer<Reply> answer) {}

  private final SchedulerActor scheduler;
  private final KeyValueStoreClient client;
  private final Map<String, PendingRequest> sentCommands = new TreeMap<>();
  private final List<PendingRequest> heldCommits = new ArrayList<>();
  private final ScriptedHeartbeats heartbeats = new ScriptedHeartbeats();
  private final List<String> startedAttempts = new ArrayList<>();
  private final List<String> log = new ArrayList<>();
  private final List<String> provisionRequests = new ArrayList<>();

  private final ScriptedRecords records = new ScriptedRecords(cluster);
  private String heartbeatReceiver = "hive-0";
  private boolean holdCommits;
  private long storeRevision;
  private long term;
  private final Map<String, Entry> keys = new LinkedHashMap<>();
  private Optional<HeartbeatResponse> response = Optional.empty();
  private boolean higherTermSeen;
  private String unreadableReason = "";

  private LeaderScript(OperatorSettings operations) {
    cluster.controllers.put("hive-0", new SimController(cluster, "hive-0"));
    cluster.teams.add(new Settings.Team("t", 0, 0, 0, 0));
    cluster.teams.add(new Settings.Team("q", 0, 2, 0, 0));
    Settings settings = cluster.settings("hive-0");
    client = new KeyValueStoreClient(this, this, settings);
    scheduler =
        new SchedulerActor(
            new SchedulerActor.Environment(
                this,
                client,
                this,
                settings,
                Tuning.defaults(),
                operations,
                RandomGeneratorFactory.of("L64X128MixRandom").create(1),
                () -> cluster.now,
                new LevelGate(SupportedLevels.OF_THIS_BUILD),
                this));
  }

  @Override
  public void higherTermSeen(long term) {
    higherTermSeen = true;
  }

  @Override
  public void recordUnreadable(String reason) {
    unreadableReason = reason;
  }

  @Override
  public void taskCountsChanged(List<JobTaskCount> counts) {}

  /** Runs a script; returns the first failed expectation with a log, or empty. */
  static Optional<String> play(String text) throws MalformedMessageException {
    LeaderScript s =
        new LeaderScript(
            text.contains("\ndrains on\n") ? drainsEnabled() : OperatorSettings.disabled());
    int number = 0;
    for (String line : text.split("\n")) {
      number++;
      String clean = line.replaceAll("#.*", "").strip();
      if (clean.isEmpty()) {
        continue;
      }
      Optional<String> failure = s.executeLine(Arrays.asList(clean.split("\\s+")));
      if (failure.isPresent()) {
        return Optional.of(
            "line "
                + number
                + ": "
                + clean
                + "\n"
                + failure.get()
                + "\n"
                + String.join("\n", s.log));
      }
    }
    return Optional.empty();
  }

  private static OperatorSettings drainsEnabled() {
    return new OperatorSettings(
        Optional.empty(),
        OperatorSettings.disabled().highestLevel(),
        /* automaticLevel= */ false,
        Optional.of(new DrainSettings(List.of(), Map.of())));
  }

  private Optional<String> executeLine(List<String> words) throws MalformedMessageException {
    switch (words.get(0)) {
      case "drains" -> {
        // Evaluated before the first line runs.
      }
      case "type" ->
          cluster.cloud.types.put(words.get(1), Scenario.type(words.get(1), cluster.zones, words));
      case "job" -> writeJob(words);
      case "delete-job" -> applyChange("c/live/" + words.get(1), Optional.empty());
      case "placements" -> {
        String job = words.get(1);
        JsonNode spec = keys.get("c/live/" + job).value().path("spec");
        applyChange(
            records.nextPlacementKey(),
            Optional.of(records.encodePlacements(job, spec, words.subList(2, words.size()))));
      }
      case "machine" -> {
        String name = words.get(1);
        boolean retiring = words.get(2).equals("retiring");
        applyChange(
            ScriptedRecords.MACHINES_KEY,
            Optional.of(records.addMachine(name, ScriptedHeartbeats.zoneOf(name), retiring)));
      }
      case "corrupt-record" ->
          applyChange(words.get(1), Optional.of(SimulatedCluster.map().put("wk-1/0", "?")));
      case "corrupt-job" ->
          applyChange(
              "c/live/" + words.get(1), Optional.of(SimulatedCluster.map().put("spec", "?")));
      case "elected" -> elect(Long.parseLong(words.get(1)), words.contains("stale-replica"));
      case "replica-caught-up" -> {
        scheduler.tell(new SchedulerActor.KeysChanged(List.of(), storeRevision));
        advance(Duration.ofMillis(100));
      }
      case "peers-confirm" -> receiveConfirmation(List.of(), words.subList(1, words.size()));
      case "peers-confirm-live" ->
          receiveConfirmation(
              List.of(new LiveJobs(storeRevision, words.subList(1, words.size()))), List.of());
      case "election-acknowledged" -> scheduler.tell(new SchedulerActor.ElectionAcknowledged(term));
      case "confirm" -> proveLeadership();
      case "wait" -> {
        for (int i = 0; i < 20 * Double.parseDouble(words.get(1)); i++) {
          if (!words.contains("unconfirmed")) {
            proveLeadership();
          }
          if (words.contains("unconfirmed") && words.contains("stale")) {
            scheduler.tell(new SchedulerActor.LeadershipProven(cluster.now));
          }
          advance(Duration.ofMillis(50));
        }
      }
      case "raise-stored-term" -> {
        ObjectNode body = SimulatedCluster.map();
        ObjectNode change = body.putArray("then").addObject().put("write", "c/term");
        change.set("value", SimulatedCluster.map().put("term", Long.parseLong(words.get(1))));
        cluster.store.handleRequest("x", "POST", "/commit", body, r -> {});
      }
      case "delete-job-unobserved" -> {
        ObjectNode body = SimulatedCluster.map();
        body.putArray("then").addObject().put("drop", "c/live/" + words.get(1));
        cluster.store.handleRequest("x", "POST", "/commit", body, r -> {});
      }
      case "hold-commits" -> holdCommits = true;
      case "release-commits" -> {
        holdCommits = false;
        List<PendingRequest> delayed = List.copyOf(heldCommits);
        heldCommits.clear();
        delayed.forEach(p -> cluster.store.handleRequest("x", "POST", p.path, p.body, p.answer));
        advance(Duration.ofMillis(200));
      }
      case "lose-commits" -> {
        // The sender gets no response; release-commits applies the transactions later.
        heldCommits.replaceAll(
            p -> {
              p.answer.accept(Reply.NO_RESPONSE);
              return new PendingRequest(p.path, p.body, r -> {});
            });
        holdCommits = false;
        advance(Duration.ofSeconds(2));
      }
      case "heartbeat" -> receiveHeartbeat(parseHeartbeat(words));
      case "heartbeats" -> receiveHeartbeats(words);
      case "list-machines" ->
          cluster.cloud.provisionWithoutAgents("small", "a", Integer.parseInt(words.get(1)));
      case "via" -> heartbeatReceiver = words.get(1);
      case "reply" -> {
        PendingRequest p = sentCommands.remove(words.get(1));
        if (p == null) {
          return Optional.of("no command was sent to " + words.get(1));
        }
        p.answer.accept(
            words.get(2).equals("none")
                ? Reply.NO_RESPONSE
                : new Reply(
                    Integer.parseInt(words.get(2)),
                    heartbeats.body(term, words.get(1), words.subList(3, words.size()))));
        advance(Duration.ofMillis(60));
      }
      case "expect" -> {
        return checkExpectation(words.subList(1, words.size()));
      }
      default -> throw new IllegalArgumentException("unknown script statement: " + words);
    }
    return Optional.empty();
  }

  private void receiveHeartbeat(Heartbeat heartbeat) {
    response = Optional.empty();
    scheduler.tell(
        new SchedulerActor.HeartbeatReceived(
            heartbeat, heartbeatReceiver, a -> response = Optional.of(a)));
    advance(Duration.ofMillis(1));
    response.ifPresent(a -> a.commands().forEach(command -> recordStart(command.toNode())));
  }

  /**
   * Receives a heartbeat every second until the given time since the start, while leadership is
   * proven. Words: machine, incarnation, first sequence number, fencing token, {@code until}, time,
   * and tasks.
   */
  private void receiveHeartbeats(List<String> words) throws MalformedMessageException {
    Duration until = Scenario.parseSeconds(words.get(6));
    long sequence = Long.parseLong(words.get(3));
    while (cluster.elapsed().compareTo(until) < 0) {
      List<String> state =
          new ArrayList<>(List.of(words.get(2), Long.toString(sequence++), words.get(4)));
      state.addAll(words.subList(7, words.size()));
      receiveHeartbeat(Heartbeat.parse(heartbeats.body(term, words.get(1), state)));
      Duration next = cluster.elapsed().plusSeconds(1);
      Duration end = next.compareTo(until) < 0 ? next : until;
      while (cluster.elapsed().compareTo(end) < 0) {
        proveLeadership();
        advance(Duration.ofMillis(50));
      }
    }
  }

  private void receiveConfirmation(List<LiveJobs> live, List<String> cancelled) {
    scheduler.tell(new SchedulerActor.ConfirmedByPeers(cluster.now, Set.copyOf(cancelled), live));
    advance(Duration.ofMillis(10));
  }

  private void writeJob(List<String> words) {
    Map<String, String> o = new HashMap<>();
    words
        .subList(3, words.size())
        .forEach(x -> o.put(x.split("=")[0], x.contains("=") ? x.split("=")[1] : "true"));
    JobSpec spec =
        Scenario.job(words.get(1), WorkloadType.valueOf(words.get(2).toUpperCase(Locale.ROOT)), o);
    ObjectNode v = SimulatedCluster.map().put("at", cluster.now.toEpochMilli());
    v.set("spec", spec.toNode());
    applyChange("c/live/" + words.get(1), Optional.of(v));
  }

  private void applyChange(String key, Optional<JsonNode> value) {
    ObjectNode body = SimulatedCluster.map();
    ObjectNode change = body.putArray("then").addObject();
    if (value.isPresent()) {
      change.put("write", key).set("value", value.get());
    } else {
      change.put("drop", key);
    }
    cluster.store.handleRequest("x", "POST", "/commit", body, r -> {});
    storeRevision = cluster.store.storeRevision();
    Optional<Entry> entry = value.map(v -> new Entry(v, storeRevision));
    entry.ifPresentOrElse(e -> keys.put(key, e), () -> keys.remove(key));
    if (term > 0) {
      scheduler.tell(
          new SchedulerActor.KeysChanged(List.of(new KeyChange(key, entry)), storeRevision));
      advance(Duration.ofMillis(100));
    }
  }

  private void elect(long electedTerm, boolean staleReplica) {
    term = electedTerm;
    ObjectNode types = SimulatedCluster.map();
    var list = types.putArray("breeds");
    cluster.cloud.types.values().forEach(x -> list.add(x.toNode()));
    keys.put("c/catalogue", new Entry(types, 1));
    writeTerm();
    scheduler.tell(
        new SchedulerActor.ReplicaLoaded(new TreeMap<>(keys), staleReplica ? 1 : storeRevision));
    scheduler.tell(new SchedulerActor.ReplicaCaughtUp(cluster.now));
    scheduler.tell(
        new SchedulerActor.Elected(electedTerm, cluster.store.revisionOf("c/term"), cluster.now));
    advance(Duration.ofMillis(5));
  }

  private void proveLeadership() {
    scheduler.tell(new SchedulerActor.LeadershipProven(cluster.now));
    scheduler.tell(new SchedulerActor.ReplicaCaughtUp(cluster.now));
  }

  private void writeTerm() {
    ObjectNode body = SimulatedCluster.map();
    body.putArray("then")
        .addObject()
        .put("write", "c/term")
        .set("value", SimulatedCluster.map().put("term", term));
    cluster.store.handleRequest("x", "POST", "/commit", body, r -> {});
    storeRevision = cluster.store.storeRevision();
  }

  private Heartbeat parseHeartbeat(List<String> words) throws MalformedMessageException {
    return Heartbeat.parse(heartbeats.body(term, words.get(1), words.subList(2, words.size())));
  }

  private void recordStart(JsonNode command) {
    if (command.path("verb").asText().equals("run")) {
      startedAttempts.add(command.path("piece").asText() + ":" + command.path("try").asLong());
      heartbeats.useAttempt(command.path("piece").asText(), command.path("try").asLong());
    }
  }

  private static SortedSet<String> commandNames(JsonNode commands) {
    TreeSet<String> set = new TreeSet<>();
    commands.forEach(o -> set.add(o.path("verb").asText() + ":" + o.path("piece").asText()));
    return set;
  }

  private Optional<String> checkExpectation(List<String> words) throws MalformedMessageException {
    switch (words.get(0)) {
      case "response" -> {
        if (response.isEmpty() || response.get().status() != Integer.parseInt(words.get(1))) {
          return Optional.of("response was " + response);
        }
        TreeSet<String> actual = new TreeSet<>();
        response
            .get()
            .commands()
            .forEach(
                command ->
                    actual.addAll(
                        commandNames(SimulatedCluster.map().putArray("x").add(command.toNode()))));
        SortedSet<String> expected = new TreeSet<>(words.subList(2, words.size()));
        return actual.equals(expected) ? Optional.empty() : Optional.of("commands were " + actual);
      }
      case "commands" -> {
        PendingRequest p = sentCommands.get(words.get(1));
        SortedSet<String> actual =
            p == null ? new TreeSet<>() : commandNames(p.body.path("orders"));
        SortedSet<String> expected = new TreeSet<>(words.subList(2, words.size()));
        return actual.equals(expected)
            ? Optional.empty()
            : Optional.of("sent commands were " + actual);
      }
      case "grace-period" -> {
        JsonNode orders = sentCommands.get(words.get(1)).body.path("orders");
        double actual = orders.path(0).path("leewayS").asDouble(-1);
        return actual == Double.parseDouble(words.get(2))
            ? Optional.empty()
            : Optional.of("grace period was " + actual);
      }
      case "token" -> {
        long token = response.map(HeartbeatResponse::fencingToken).orElse(-1L);
        return checkTokenOffset(token, Long.parseLong(words.get(1)));
      }
      case "command-token" -> {
        long token = sentCommands.get(words.get(1)).body.path("baton").asLong();
        return checkTokenOffset(token, Long.parseLong(words.get(2)));
      }
      case "stored" -> {
        boolean stored =
            cluster.store.valueContains(words.get(1), words.size() > 2 ? words.get(2) : "");
        return stored
            ? Optional.empty()
            : Optional.of("stored value was " + cluster.store.valueAsText(words.get(1)));
      }
      case "not-stored" -> {
        return cluster.store.valueContains(words.get(1), "")
            ? Optional.of("the key is stored")
            : Optional.empty();
      }
      case "started" -> {
        return startedAttempts.stream().anyMatch(g -> g.startsWith(words.get(1) + ":"))
            ? Optional.empty()
            : Optional.of("the task was not started");
      }
      case "not-started" -> {
        return startedAttempts.stream().noneMatch(g -> g.startsWith(words.get(1) + ":"))
            ? Optional.empty()
            : Optional.of("the task was started");
      }
      case "attempts" -> {
        long actual =
            startedAttempts.stream()
                .filter(g -> g.startsWith(words.get(1) + ":"))
                .distinct()
                .count();
        return actual == Long.parseLong(words.get(2))
            ? Optional.empty()
            : Optional.of("attempts of the task: " + actual);
      }
      case "attempts-unique" -> {
        return startedAttempts.size() == new TreeSet<>(startedAttempts).size()
            ? Optional.empty()
            : Optional.of("attempts are not unique: " + startedAttempts);
      }
      case "placement" -> {
        String actual = records.placementOf(words.get(1));
        return actual.equals(words.get(2))
            ? Optional.empty()
            : Optional.of("placement was " + actual);
      }
      case "machine-record" -> {
        String actual = records.machineStateOf(words.get(1));
        return actual.equals(words.get(2))
            ? Optional.empty()
            : Optional.of("machine record was " + actual);
      }
      case "unreadable-record" -> {
        return unreadableReason.contains(words.get(1))
            ? Optional.empty()
            : Optional.of("unreadable record: " + unreadableReason);
      }
      case "higher-term" -> {
        return higherTermSeen ? Optional.empty() : Optional.of("the higher term was not detected");
      }
      default -> throw new IllegalArgumentException("unknown script statement: " + words);
    }
  }

  /** Compares a token with an offset from the first token of the term. */
  private Optional<String> checkTokenOffset(long token, long expected) {
    long actual = token - ScriptedHeartbeats.firstTokenOf(term);
    return actual == expected ? Optional.empty() : Optional.of("token offset was " + actual);
  }

  private void advance(Duration time) {
    cluster.runUntil(cluster.elapsed().plus(time));
  }

  // ---- Simulated HTTP client ----

  @Override
  public void call(
      String address,
      String method,
      String path,
      JsonNode body,
      Duration timeout,
      Consumer<Reply> onReply) {
    log.add(cluster.elapsed() + " " + address + " " + path + " " + body);
    if (address.equals("state")) {
      if (path.equals("/commit") && holdCommits) {
        heldCommits.add(new PendingRequest(path, body, onReply));
      } else {
        cluster.store.handleRequest("x", method, path, body, onReply);
      }
    } else if (address.equals("cloud")) {
      if (path.equals("/hosts")) {
        provisionRequests.add(body.path("hire").asText());
      }
      cluster.cloud.handleRequest(method, path, body, onReply);
    } else {
      body.path("orders").forEach(this::recordStart);
      sentCommands.put(address, new PendingRequest(path, body, onReply));
    }
  }
}
