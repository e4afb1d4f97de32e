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

/**
 * A simulated key-value store with leases, watches and conditional transactions. It checks what the
 * controllers write and injects faults at commits.
 */
final class SimKeyValueStore {
  private record Entry(JsonNode value, long revision, long leaseId) {}

  private record Change(String key, JsonNode value, long revision) {}

  private record Watch(String client, String prefix, long sinceRevision, Consumer<Reply> answer) {}

  private final SimulatedCluster cluster;
  private final TreeMap<String, Entry> entries = new TreeMap<>();
  private final List<Change> history = new ArrayList<>();
  private final Map<Long, Instant> leaseDeadlines = new HashMap<>();
  private final Map<Long, Duration> leaseTtls = new HashMap<>();
  private final List<Watch> watches = new ArrayList<>();
  private final Map<String, JsonNode> originalValues = new HashMap<>();
  private long storeRevision;
  private long oldestWatchableRevision;
  private long lastLeaseId;

  /** How many puts and deletes were applied. */
  long writes;

  /** How many requests of any kind were received. */
  long requests;

  boolean down;

  /** Added to the latency of each response, also of pending watches. */
  Duration extraLatency = Duration.ZERO;

  final Set<String> refusedClients = new HashSet<>();

  /** How many of the next commits are applied late, with their responses lost. */
  int lateCommits;

  Duration lateCommitDelay = Duration.ofSeconds(5);

  /** The maximum length of a value. */
  int maxValueBytes = 8192;

  /** The maximum number of changes in a transaction. */
  int maxTransactionOps = 24;

  /** The limit of changes per second; not enforced until a scenario lowers the limits. */
  Optional<Double> writeRate = Optional.empty();

  private double writeTokens;
  private Instant writeTokensAt = SimulatedCluster.START;

  /** All machine numbers that machine records have ever contained. */
  private final Set<Integer> recordedMachineNumbers = new HashSet<>();

  private int commitsUntilFault;
  private String fault = "";

  SimKeyValueStore(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  /** Ends an outage; every lease starts again with its full TTL. */
  void recover() {
    down = false;
    leaseDeadlines.replaceAll((id, end) -> cluster.now.plus(leaseTtls.get(id)));
  }

  private static Reply okReply(JsonNode body) {
    return new Reply(200, body);
  }

  void handleRequest(
      String from, String method, String path, JsonNode body, Consumer<Reply> responseHandler) {
    requests++;
    Duration latency = extraLatency;
    Consumer<Reply> answer =
        latency.isZero()
            ? responseHandler
            : r -> cluster.after(latency, () -> responseHandler.accept(r));
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
      Entry entry = entries.get(key);
      if (entry == null) {
        answer.accept(new Reply(404, SimulatedCluster.map().put("epoch", storeRevision)));
      } else {
        ObjectNode response =
            SimulatedCluster.map()
                .put("key", key)
                .put("stamp", entry.revision)
                .put("claim", entry.leaseId);
        response.set("value", entry.value);
        answer.accept(okReply(response));
      }
    } else if (path.startsWith("/keys?")) {
      list(queryParameters(path), answer);
    } else if (path.equals("/commit")) {
      if (faultIsDue(from, body)) {
        applyFault(from, body);
        return;
      }
      if (lateCommits > 0) {
        lateCommits--;
        cluster.after(lateCommitDelay, () -> commit(from, body, r -> {}));
        return;
      }
      commit(from, body, answer);
    } else if (path.equals("/grants")) {
      Duration ttl = Duration.ofMillis(body.path("ttlMs").asLong());
      leaseDeadlines.put(++lastLeaseId, cluster.now.plus(ttl));
      leaseTtls.put(lastLeaseId, ttl);
      long id = lastLeaseId;
      cluster.after(ttl, () -> expireWhenDue(id));
      answer.accept(okReply(SimulatedCluster.map().put("claim", id)));
    } else if (path.startsWith("/grants/")) {
      long id = Long.parseLong(path.split("/")[2]);
      if (!leaseDeadlines.containsKey(id)) {
        answer.accept(new Reply(404, SimulatedCluster.map()));
      } else if (method.equals("DELETE")) {
        leaseDeadlines.put(id, cluster.now.minusMillis(1));
        expire();
        answer.accept(okReply(SimulatedCluster.map()));
      } else {
        leaseDeadlines.put(id, cluster.now.plus(leaseTtls.get(id)));
        answer.accept(okReply(SimulatedCluster.map()));
      }
    }
  }

  private void expireWhenDue(long id) {
    Instant end = leaseDeadlines.get(id);
    if (end == null) {
      return;
    }
    if (end.isAfter(cluster.now)) {
      cluster.at(end, () -> expireWhenDue(id));
    } else if (down) {
      cluster.after(Duration.ofMillis(100), () -> expireWhenDue(id));
    } else {
      expire();
    }
  }

  private void expire() {
    if (down) {
      return;
    }
    for (long id : List.copyOf(leaseDeadlines.keySet())) {
      if (leaseDeadlines.get(id).isBefore(cluster.now)
          || leaseDeadlines.get(id).equals(cluster.now)) {
        leaseDeadlines.remove(id);
        for (String key : List.copyOf(entries.keySet())) {
          if (entries.get(key).leaseId == id) {
            entries.remove(key);
            storeRevision++;
            history.add(new Change(key, null, storeRevision));
          }
        }
      }
    }
    notifyWatches();
  }

  private static Map<String, String> queryParameters(String path) {
    Map<String, String> parameters = new HashMap<>();
    for (String part : path.substring(path.indexOf('?') + 1).split("&")) {
      String[] kv = part.split("=", 2);
      parameters.put(kv[0], kv[1]);
    }
    return parameters;
  }

  private void list(Map<String, String> query, Consumer<Reply> answer) {
    ObjectNode response = SimulatedCluster.map().put("epoch", storeRevision);
    var list = response.putArray("pairs");
    int remaining = Integer.parseInt(query.get("limit"));
    boolean more = false;
    for (var entry :
        entries.tailMap(query.getOrDefault("since", query.get("prefix")), false).entrySet()) {
      if (!entry.getKey().startsWith(query.get("prefix"))) {
        break;
      }
      if (remaining-- == 0) {
        more = true;
        break;
      }
      list.addObject()
          .put("key", entry.getKey())
          .put("stamp", entry.getValue().revision)
          .set("value", entry.getValue().value);
    }
    answer.accept(okReply(response.put("more", more)));
  }

  private void commit(String from, JsonNode body, Consumer<Reply> answer) {
    List<String> failed = new ArrayList<>();
    for (JsonNode guard : body.path("guards")) {
      Entry entry = entries.get(guard.path("key").asText());
      if ((entry == null ? 0 : entry.revision) != guard.path("stamp").asLong()) {
        failed.add(guard.path("key").asText());
      }
    }
    if (!failed.isEmpty()) {
      ObjectNode response = SimulatedCluster.map().put("epoch", storeRevision);
      var list = response.putArray("failed");
      failed.forEach(list::add);
      answer.accept(new Reply(409, response));
      return;
    }
    for (JsonNode operation : body.path("then")) {
      if (operation.has("claim") && !leaseDeadlines.containsKey(operation.path("claim").asLong())) {
        answer.accept(new Reply(400, SimulatedCluster.map().put("error", "no such lease")));
        return;
      }
    }
    if (exceedsSizeLimits(body)) {
      answer.accept(new Reply(400, SimulatedCluster.map().put("error", "too large")));
      return;
    }
    if (isRateLimited(body.path("then").size())) {
      answer.accept(new Reply(429, SimulatedCluster.map()));
      return;
    }
    checkWriterLevel(from);
    storeRevision++;
    for (JsonNode operation : body.path("then")) {
      writes++;
      if (operation.hasNonNull("write")) {
        String key = operation.path("write").asText();
        entries.put(
            key,
            new Entry(operation.path("value"), storeRevision, operation.path("claim").asLong(0)));
        history.add(new Change(key, operation.path("value"), storeRevision));
      } else if (entries.remove(operation.path("drop").asText()) != null) {
        history.add(new Change(operation.path("drop").asText(), null, storeRevision));
      }
    }
    checkRecordLevels();
    checkMachineReferences(body);
    notifyWatches();
    answer.accept(okReply(SimulatedCluster.map().put("epoch", storeRevision)));
  }

  private boolean exceedsSizeLimits(JsonNode body) {
    boolean tooLong = false;
    for (JsonNode change : body.path("then")) {
      tooLong |= change.path("value").toString().length() > maxValueBytes;
    }
    return tooLong || body.path("then").size() > maxTransactionOps;
  }

  /** A burst may have the changes of one second. */
  private boolean isRateLimited(int changes) {
    if (writeRate.isEmpty()) {
      return false;
    }
    double secondsPassed = Duration.between(writeTokensAt, cluster.now).toMillis() / 1000.0;
    writeTokens = Math.min(writeRate.get(), writeTokens + secondsPassed * writeRate.get());
    writeTokensAt = cluster.now;
    if (writeTokens < changes) {
      return true;
    }
    writeTokens -= changes;
    return false;
  }

  /**
   * Checks that placement records refer only to machine numbers that are in a machine record. With
   * a dangling number, a new leader would conclude that the task is on no machine.
   */
  private void checkMachineReferences(JsonNode body) {
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
          for (PlacementRecordCodec.PartitionRecord partition :
              PlacementRecordCodec.decode(change.path("value"))) {
            for (int machineNumber : partition.machineReferences()) {
              if (machineNumber > 0 && !recordedMachineNumbers.contains(machineNumber)) {
                cluster.reportViolation(
                    "mark_without_machine",
                    key + " refers to machine number " + machineNumber + " for " + partition.job());
              }
            }
          }
        }
      }
    } catch (MalformedMessageException e) {
      throw new IllegalStateException(e);
    }
  }

  /**
   * Checks that no record has a later format than the current level, nor, once migrated, an
   * earlier.
   */
  private void checkRecordLevels() {
    SchemaLevel level = level();
    boolean numberedOnly = level.migrated() && level.level() >= 2;
    for (RecordLayout layout : RecordLayout.values()) {
      boolean allowed = layout == RecordLayout.POSITIONAL ? !numberedOnly : level.level() >= 2;
      if (!allowed
          && !(entriesWithPrefix(layout.placementPrefix()).isEmpty()
              && entriesWithPrefix(layout.machinePrefix()).isEmpty())) {
        cluster.reportViolation("form_of_other_level", layout + " at " + level);
      }
    }
    entriesWithPrefix("c/roster/")
        .forEach(
            (key, value) -> {
              int recordLevel = MachineRecordCodec.levelOf(value).orElse(level.writtenLevel());
              if (recordLevel > level.level()
                  || (level.migrated() && recordLevel < level.level())) {
                cluster.reportViolation(
                    "form_of_other_level",
                    key + " has record level " + recordLevel + " at " + level);
              }
            });
  }

  /** Returns the stored schema level. */
  SchemaLevel level() {
    try {
      return entries.containsKey("c/level")
          ? SchemaLevel.parse(entries.get("c/level").value)
          : SchemaLevel.UNVERSIONED;
    } catch (MalformedMessageException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Injects a fault at the leader's transaction with the given number, counted from 1. */
  void faultAtCommit(int number, String kind) {
    commitsUntilFault = number;
    fault = kind;
  }

  private boolean faultIsDue(String from, JsonNode body) {
    boolean writtenByLeader = false;
    for (JsonNode change : body.path("then")) {
      writtenByLeader |= change.path("write").asText().equals("c/term");
    }
    return writtenByLeader
        && cluster.controllers.containsKey(from)
        && commitsUntilFault > 0
        && --commitsUntilFault == 0;
  }

  /**
   * Drops the transaction, applies it without a response, or applies it late; its sender crashes or
   * freezes.
   */
  private void applyFault(String from, JsonNode body) {
    cluster.trace("injected fault " + fault + " at " + from);
    switch (fault) {
      case "crash-before" -> cluster.controllers.get(from).crash();
      case "crash-after" -> {
        commit(from, body, r -> {});
        cluster.controllers.get(from).crash();
      }
      case "crash-late" -> {
        cluster.after(lateCommitDelay, () -> commit(from, body, r -> {}));
        cluster.controllers.get(from).crash();
      }
      case "freeze" -> {
        cluster.controllers.get(from).freeze(lateCommitDelay, false);
        cluster.after(lateCommitDelay, () -> commit(from, body, r -> {}));
        return;
      }
      default -> throw new IllegalArgumentException(fault);
    }
    cluster.after(Duration.ofSeconds(3), cluster.controllers.get(from)::start);
  }

  /** Checks that no controller writes at a schema level that its build does not support. */
  private void checkWriterLevel(String from) {
    SimController controller = cluster.controllers.get(from);
    int level =
        entries.containsKey("c/level") ? entries.get("c/level").value.path("level").asInt() : 0;
    if (controller != null && !controller.runningLevels.contains(level)) {
      cluster.reportViolation("wrote_unsupported_level", from + " at level " + level);
    }
  }

  private void watch(String from, String path, Consumer<Reply> answer) {
    Map<String, String> parameters = queryParameters(path);
    Watch watch =
        new Watch(from, parameters.get("prefix"), Long.parseLong(parameters.get("since")), answer);
    long blockMs = Long.parseLong(parameters.get("blockMs"));
    if (down || refusedClients.contains(from)) {
      answer.accept(new Reply(503, SimulatedCluster.map()));
      return;
    }
    if (watch.sinceRevision < oldestWatchableRevision) {
      answer.accept(new Reply(410, SimulatedCluster.map()));
      return;
    }
    if (blockMs == 0 || !events(watch).isEmpty()) {
      answerWatch(watch);
      return;
    }
    watches.add(watch);
    cluster.after(
        Duration.ofMillis(blockMs),
        () -> {
          if (!down && !refusedClients.contains(from) && watches.remove(watch)) {
            answerWatch(watch);
          }
        });
  }

  private List<Change> events(Watch watch) {
    return history.stream()
        .filter(
            change -> change.revision > watch.sinceRevision && change.key.startsWith(watch.prefix))
        .toList();
  }

  private void answerWatch(Watch watch) {
    ObjectNode response = SimulatedCluster.map().put("epoch", storeRevision);
    var list = response.putArray("events");
    for (Change change : events(watch)) {
      ObjectNode event = list.addObject().put(change.value == null ? "drop" : "write", change.key);
      event.put("stamp", change.revision);
      if (change.value != null) {
        event.set("value", change.value);
      }
    }
    watch.answer.accept(okReply(response));
  }

  private void notifyWatches() {
    if (down) {
      return;
    }
    for (Watch watch : List.copyOf(watches)) {
      // Open watches of a refused client stay pending, as during an outage.
      if (!refusedClients.contains(watch.client) && !events(watch).isEmpty()) {
        watches.remove(watch);
        answerWatch(watch);
      }
    }
  }

  long storeRevision() {
    return storeRevision;
  }

  long revisionOf(String key) {
    return entries.containsKey(key) ? entries.get(key).revision : 0;
  }

  /** Writes a key without a precondition, as an operator's command would. */
  void put(String key, JsonNode value) {
    ObjectNode body = SimulatedCluster.map();
    body.putArray("then").addObject().put("write", key).set("value", value);
    commit("operator", body, r -> {});
  }

  /** Replaces a value by a malformed one; {@link #repair} restores it. */
  void corrupt(String key) {
    originalValues.put(key, entries.get(key).value);
    put(key, SimulatedCluster.map().put("m", "?").put("x/0", "?"));
  }

  void repair(String key) {
    put(key, originalValues.remove(key));
  }

  /** Discards the change history, so that watches from earlier revisions fail. */
  void discardHistory() {
    oldestWatchableRevision = storeRevision;
    history.clear();
  }

  /** Returns whether a key exists and its value, as text, contains the given text. */
  boolean valueContains(String key, String text) {
    return entries.containsKey(key) && valueAsText(key).contains(text);
  }

  /** Returns all keys with a prefix and their values. */
  Map<String, JsonNode> entriesWithPrefix(String prefix) {
    Map<String, JsonNode> found = new TreeMap<>();
    entries.forEach(
        (key, entry) -> {
          if (key.startsWith(prefix)) {
            found.put(key, entry.value);
          }
        });
    return found;
  }

  String valueAsText(String key) {
    return entries.containsKey(key) ? entries.get(key).value.toString() : "nothing";
  }

  Optional<String> leader() {
    return Optional.ofNullable(entries.get("c/lead")).map(p -> p.value.path("node").asText());
  }
}
