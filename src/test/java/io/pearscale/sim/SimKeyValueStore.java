package io.pearscale.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.protocol.MalformedMessageException;
import io.pearscale.storage.MachineRecordCodec;
import io.pearscale.storage.PlacementRecordCodec;
import io.pearscale.storage.RecordLayout;
import io.pearscale.transport.HttpClient.Reply;
import io.pearscale.upgrade.SchemaLevel;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

/** A stand-in for the state service, by its protocol. */
final class SimKeyValueStore {
  private record Pair(JsonNode value, long revision, long leaseId) {}

  private record Changed(String key, JsonNode value, long revision) {}

  private record Watch(String from, String prefix, long since, Consumer<Reply> answer) {}

  private final SimulatedCluster world;
  private final TreeMap<String, Pair> pairs = new TreeMap<>();
  private final List<Changed> history = new ArrayList<>();
  private final Map<Long, Instant> leaseDeadlines = new HashMap<>();
  private final Map<Long, Duration> leaseTtls = new HashMap<>();
  private final List<Watch> watches = new ArrayList<>();
  private final Map<String, JsonNode> damaged = new HashMap<>();
  private long storeRevision;
  private long oldestWatchable;
  private long lastLeaseId;

  /** Puts and deletes of all that were applied, and requests of any kind. */
  long writes;

  long requests;
  boolean down;

  /** How much longer each answer takes than by itself; a watch that waits is told as late. */
  Duration extraLatency = Duration.ZERO;

  final Set<String> refusedClients = new HashSet<>();

  /** The next so many commits of anybody are applied late, and their answers are lost. */
  int lateCommits;

  Duration lateCommitDelay = Duration.ofSeconds(5);

  /** Its limits: how long a value and how large a transaction may be. */
  int valueBytes = 8192;

  int txnOps = 24;

  /** Changes a second that it takes; it does not count them before the limits are lowered. */
  Optional<Double> writeRate = Optional.empty();

  private double writeTokens;
  private Instant tokensAt = SimulatedCluster.START;

  /** The numbers under which machines were ever recorded. */
  private final Set<Integer> recordedMachineNumbers = new HashSet<>();

  private int commitsUntilFault;
  private String fault = "";

  SimKeyValueStore(SimulatedCluster cluster) {
    this.world = cluster;
  }

  /** After an outage every lease has its full time again. */
  void up() {
    down = false;
    leaseDeadlines.replaceAll((id, end) -> world.now.plus(leaseTtls.get(id)));
  }

  private static Reply ok(JsonNode body) {
    return new Reply(200, body);
  }

  void serve(String from, String method, String path, JsonNode body, Consumer<Reply> to) {
    requests++;
    Duration slow = extraLatency;
    Consumer<Reply> answer = slow.isZero() ? to : r -> world.after(slow, () -> to.accept(r));
    if (path.startsWith("/watch")) {
      watch(from, path, answer);
      return;
    }
    if (down || refusedClients.contains(from)) {
      answer.accept(new Reply(503, SimulatedCluster.map()));
      return;
    }
    expire();
    if (path.startsWith("/keys/")) {
      String key = path.substring(6);
      Pair p = pairs.get(key);
      if (p == null) {
        answer.accept(new Reply(404, SimulatedCluster.map().put("epoch", storeRevision)));
      } else {
        ObjectNode n =
            SimulatedCluster.map().put("key", key).put("stamp", p.revision).put("claim", p.leaseId);
        n.set("value", p.value);
        answer.accept(ok(n));
      }
    } else if (path.startsWith("/keys?")) {
      list(query(path), answer);
    } else if (path.equals("/commit")) {
      if (faultIsDue(from, body)) {
        applyFault(from, body);
        return;
      }
      if (lateCommits > 0) {
        lateCommits--;
        world.after(lateCommitDelay, () -> commit(from, body, r -> {}));
        return;
      }
      commit(from, body, answer);
    } else if (path.equals("/grants")) {
      Duration ttl = Duration.ofMillis(body.path("ttlMs").asLong());
      leaseDeadlines.put(++lastLeaseId, world.now.plus(ttl));
      leaseTtls.put(lastLeaseId, ttl);
      long id = lastLeaseId;
      world.after(ttl, () -> expireLater(id));
      answer.accept(ok(SimulatedCluster.map().put("claim", id)));
    } else if (path.startsWith("/grants/")) {
      long id = Long.parseLong(path.split("/")[2]);
      if (!leaseDeadlines.containsKey(id)) {
        answer.accept(new Reply(404, SimulatedCluster.map()));
      } else if (method.equals("DELETE")) {
        leaseDeadlines.put(id, world.now.minusMillis(1));
        expire();
        answer.accept(ok(SimulatedCluster.map()));
      } else {
        leaseDeadlines.put(id, world.now.plus(leaseTtls.get(id)));
        answer.accept(ok(SimulatedCluster.map()));
      }
    }
  }

  private void expireLater(long id) {
    Instant end = leaseDeadlines.get(id);
    if (end == null) {
      return;
    }
    if (end.isAfter(world.now)) {
      world.at(end, () -> expireLater(id));
    } else if (down) {
      world.after(Duration.ofMillis(100), () -> expireLater(id));
    } else {
      expire();
    }
  }

  private void expire() {
    if (down) {
      return;
    }
    for (long id : List.copyOf(leaseDeadlines.keySet())) {
      if (leaseDeadlines.get(id).isBefore(world.now) || leaseDeadlines.get(id).equals(world.now)) {
        leaseDeadlines.remove(id);
        for (String key : List.copyOf(pairs.keySet())) {
          if (pairs.get(key).leaseId == id) {
            pairs.remove(key);
            storeRevision++;
            history.add(new Changed(key, null, storeRevision));
          }
        }
      }
    }
    notifyWatches();
  }

  private static Map<String, String> query(String path) {
    Map<String, String> q = new HashMap<>();
    for (String part : path.substring(path.indexOf('?') + 1).split("&")) {
      String[] kv = part.split("=", 2);
      q.put(kv[0], kv[1]);
    }
    return q;
  }

  private void list(Map<String, String> query, Consumer<Reply> answer) {
    ObjectNode n = SimulatedCluster.map().put("epoch", storeRevision);
    var list = n.putArray("pairs");
    int left = Integer.parseInt(query.get("limit"));
    boolean more = false;
    for (var e :
        pairs.tailMap(query.getOrDefault("since", query.get("prefix")), false).entrySet()) {
      if (!e.getKey().startsWith(query.get("prefix"))) {
        break;
      }
      if (left-- == 0) {
        more = true;
        break;
      }
      list.addObject()
          .put("key", e.getKey())
          .put("stamp", e.getValue().revision)
          .set("value", e.getValue().value);
    }
    answer.accept(ok(n.put("more", more)));
  }

  private void commit(String from, JsonNode body, Consumer<Reply> answer) {
    List<String> failed = new ArrayList<>();
    for (JsonNode g : body.path("guards")) {
      Pair p = pairs.get(g.path("key").asText());
      if ((p == null ? 0 : p.revision) != g.path("stamp").asLong()) {
        failed.add(g.path("key").asText());
      }
    }
    if (!failed.isEmpty()) {
      ObjectNode n = SimulatedCluster.map().put("epoch", storeRevision);
      var list = n.putArray("failed");
      failed.forEach(list::add);
      answer.accept(new Reply(409, n));
      return;
    }
    for (JsonNode c : body.path("then")) {
      if (c.has("claim") && !leaseDeadlines.containsKey(c.path("claim").asLong())) {
        answer.accept(new Reply(400, SimulatedCluster.map().put("error", "no such lease")));
        return;
      }
    }
    if (refusesSize(body)) {
      answer.accept(new Reply(400, SimulatedCluster.map().put("error", "too large")));
      return;
    }
    if (overRate(body.path("then").size())) {
      answer.accept(new Reply(429, SimulatedCluster.map()));
      return;
    }
    checkLevel(from);
    storeRevision++;
    for (JsonNode c : body.path("then")) {
      writes++;
      if (c.hasNonNull("write")) {
        String key = c.path("write").asText();
        pairs.put(key, new Pair(c.path("value"), storeRevision, c.path("claim").asLong(0)));
        history.add(new Changed(key, c.path("value"), storeRevision));
      } else if (pairs.remove(c.path("drop").asText()) != null) {
        history.add(new Changed(c.path("drop").asText(), null, storeRevision));
      }
    }
    checkForms();
    checkNumbers(body);
    notifyWatches();
    answer.accept(ok(SimulatedCluster.map().put("epoch", storeRevision)));
  }

  private boolean refusesSize(JsonNode body) {
    boolean tooLong = false;
    for (JsonNode change : body.path("then")) {
      tooLong |= change.path("value").toString().length() > valueBytes;
    }
    return tooLong || body.path("then").size() > txnOps;
  }

  /** Bursts of one second's worth are taken. */
  private boolean overRate(int changes) {
    if (writeRate.isEmpty()) {
      return false;
    }
    double passed = Duration.between(tokensAt, world.now).toMillis() / 1000.0;
    writeTokens = Math.min(writeRate.get(), writeTokens + passed * writeRate.get());
    tokensAt = world.now;
    if (writeTokens < changes) {
      return true;
    }
    writeTokens -= changes;
    return false;
  }

  /**
   * Marks name a machine by its number only once a successor finds the machine of that number: else
   * it would take the task to be nowhere.
   */
  private void checkNumbers(JsonNode body) {
    try {
      for (JsonNode change : body.path("then")) {
        if (change.path("write").asText().startsWith(RecordLayout.NUMBERED.machinePrefix())) {
          MachineRecordCodec.decode(change.path("value"))
              .forEach(entry -> recordedMachineNumbers.add(entry.number()));
        }
      }
      for (JsonNode change : body.path("then")) {
        String key = change.path("write").asText();
        if (key.startsWith(RecordLayout.NUMBERED.placementPrefix())) {
          for (PlacementRecordCodec.PartitionRecord part :
              PlacementRecordCodec.decode(change.path("value"))) {
            for (int host : part.machineReferences()) {
              if (host > 0 && !recordedMachineNumbers.contains(host)) {
                world.reportViolation(
                    "mark_without_machine", key + " names " + host + " for " + part.job());
              }
            }
          }
        }
      }
    } catch (MalformedMessageException e) {
      throw new IllegalStateException(e);
    }
  }

  /** No record has a later form than the level in force, nor another one once all are migrated. */
  private void checkForms() {
    SchemaLevel level = level();
    boolean byNumberOnly = level.migrated() && level.level() >= 2;
    for (RecordLayout layout : RecordLayout.values()) {
      boolean mayStand = layout == RecordLayout.POSITIONAL ? !byNumberOnly : level.level() >= 2;
      if (!mayStand
          && !(under(layout.placementPrefix()).isEmpty()
              && under(layout.machinePrefix()).isEmpty())) {
        world.reportViolation("form_of_other_level", layout + " at " + level);
      }
    }
    under("c/roster/")
        .forEach(
            (key, value) -> {
              int form = MachineRecordCodec.levelOf(value).orElse(level.writtenLevel());
              if (form > level.level() || (level.migrated() && form < level.level())) {
                world.reportViolation(
                    "form_of_other_level", key + " has form " + form + " at " + level);
              }
            });
  }

  /** The stored level. */
  SchemaLevel level() {
    try {
      return pairs.containsKey("c/level")
          ? SchemaLevel.parse(pairs.get("c/level").value)
          : SchemaLevel.UNVERSIONED;
    } catch (MalformedMessageException e) {
      throw new IllegalStateException(e);
    }
  }

  /** The leader meets a trouble at its next transaction but so many. */
  void faultAtCommit(int number, String kind) {
    commitsUntilFault = number;
    fault = kind;
  }

  private boolean faultIsDue(String from, JsonNode body) {
    boolean leaders = false;
    for (JsonNode change : body.path("then")) {
      leaders |= change.path("write").asText().equals("c/term");
    }
    return leaders
        && world.controllers.containsKey(from)
        && commitsUntilFault > 0
        && --commitsUntilFault == 0;
  }

  /** The transaction is lost, is applied unanswered, or is applied late; its sender ends. */
  private void applyFault(String from, JsonNode body) {
    world.trace("trouble " + fault + " for " + from);
    switch (fault) {
      case "crash-before" -> world.controllers.get(from).crash();
      case "crash-after" -> {
        commit(from, body, r -> {});
        world.controllers.get(from).crash();
      }
      case "crash-late" -> {
        world.after(lateCommitDelay, () -> commit(from, body, r -> {}));
        world.controllers.get(from).crash();
      }
      case "freeze" -> {
        world.controllers.get(from).freeze(lateCommitDelay, false);
        world.after(lateCommitDelay, () -> commit(from, body, r -> {}));
        return;
      }
      default -> throw new IllegalArgumentException(fault);
    }
    world.after(Duration.ofSeconds(3), world.controllers.get(from)::start);
  }

  /** No controller writes under a level that its build does not support. */
  private void checkLevel(String from) {
    SimController node = world.controllers.get(from);
    int level = pairs.containsKey("c/level") ? pairs.get("c/level").value.path("level").asInt() : 0;
    if (node != null && !node.runningLevels.contains(level)) {
      world.reportViolation("wrote_unsupported_level", from + " at level " + level);
    }
  }

  private void watch(String from, String path, Consumer<Reply> answer) {
    Map<String, String> q = query(path);
    Watch w = new Watch(from, q.get("prefix"), Long.parseLong(q.get("since")), answer);
    long block = Long.parseLong(q.get("blockMs"));
    if (down || refusedClients.contains(from)) {
      answer.accept(new Reply(503, SimulatedCluster.map()));
      return;
    }
    if (w.since < oldestWatchable) {
      answer.accept(new Reply(410, SimulatedCluster.map()));
      return;
    }
    if (block == 0 || !events(w).isEmpty()) {
      answerWatch(w);
      return;
    }
    watches.add(w);
    world.after(
        Duration.ofMillis(block),
        () -> {
          if (!down && !refusedClients.contains(from) && watches.remove(w)) {
            answerWatch(w);
          }
        });
  }

  private List<Changed> events(Watch watch) {
    return history.stream()
        .filter(c -> c.revision > watch.since && c.key.startsWith(watch.prefix))
        .toList();
  }

  private void answerWatch(Watch watch) {
    ObjectNode n = SimulatedCluster.map().put("epoch", storeRevision);
    var list = n.putArray("events");
    for (Changed c : events(watch)) {
      ObjectNode e = list.addObject().put(c.value == null ? "drop" : "write", c.key);
      e.put("stamp", c.revision);
      if (c.value != null) {
        e.set("value", c.value);
      }
    }
    watch.answer.accept(ok(n));
  }

  private void notifyWatches() {
    if (down) {
      return;
    }
    for (Watch w : List.copyOf(watches)) {
      // Whoever is refused alone has its open watches wait as during an outage.
      if (!refusedClients.contains(w.from) && !events(w).isEmpty()) {
        watches.remove(w);
        answerWatch(w);
      }
    }
  }

  long storeRevision() {
    return storeRevision;
  }

  long revisionOf(String key) {
    return pairs.containsKey(key) ? pairs.get(key).revision : 0;
  }

  /** Writes a key as an operator's command would. */
  void set(String key, JsonNode value) {
    ObjectNode body = SimulatedCluster.map();
    body.putArray("then").addObject().put("write", key).set("value", value);
    commit("operator", body, r -> {});
  }

  /** Spoils a value, which {@link #repair} brings back. */
  void damage(String key) {
    damaged.put(key, pairs.get(key).value);
    set(key, SimulatedCluster.map().put("m", "?").put("x/0", "?"));
  }

  void repair(String key) {
    set(key, damaged.remove(key));
  }

  /** The service retains no changes from before now. */
  void forgetHistory() {
    oldestWatchable = storeRevision;
    history.clear();
  }

  /** Whether a key is there and its value, as text, holds the given one. */
  boolean holds(String key, String text) {
    return pairs.containsKey(key) && show(key).contains(text);
  }

  /** All keys with a prefix. */
  Map<String, JsonNode> under(String prefix) {
    Map<String, JsonNode> found = new TreeMap<>();
    pairs.forEach(
        (key, pair) -> {
          if (key.startsWith(prefix)) {
            found.put(key, pair.value);
          }
        });
    return found;
  }

  String show(String key) {
    return pairs.containsKey(key) ? pairs.get(key).value.toString() : "nothing";
  }

  Optional<String> leader() {
    return Optional.ofNullable(pairs.get("c/lead")).map(p -> p.value.path("node").asText());
  }
}
