package io.pearscale.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.cli.KeyValueStoreSession.StoredValue;
import io.pearscale.protocol.JobSpec;
import io.pearscale.protocol.MalformedMessageException;
import io.pearscale.protocol.Settings;
import io.pearscale.storage.KeyValueStoreClient.Precondition;
import io.pearscale.storage.Keys;
import io.pearscale.storage.MachineRecordCodec;
import io.pearscale.storage.PlacementRecordCodec;
import io.pearscale.storage.RecordLayout;
import io.pearscale.transport.MessagePack;
import io.pearscale.upgrade.Feature;
import io.pearscale.upgrade.LevelGate;
import io.pearscale.upgrade.MemberSupport;
import io.pearscale.upgrade.SchemaLevel;
import io.pearscale.upgrade.SupportedLevels;
import io.pearscale.upgrade.UpgradePlan;
import java.io.IOException;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * What the state service says of an upgrade, read at one moment, and the guards that hold a step to
 * it.
 *
 * @param level the stored level as it is, empty if none was ever stored
 * @param objection why this build must stay out, if it must
 * @param members the records of the controllers that run, by host
 * @param pendingValues values that have another form, or stand in another layout, than is written
 * @param plan decides on steps; empty if the level can't be read
 */
record UpgradeView(
    Optional<StoredValue> level,
    SupportedLevels build,
    Optional<String> objection,
    Set<String> hosts,
    Map<String, StoredValue> members,
    int pendingValues,
    Optional<UpgradePlan> plan,
    Optional<String> leader,
    long term) {

  /** Reads all of it. */
  static UpgradeView read(KeyValueStoreSession state, Settings settings, SupportedLevels build)
      throws IOException {
    Optional<StoredValue> level = state.read(Keys.LEVEL);
    LevelGate gate = new LevelGate(build);
    gate.update(level.map(StoredValue::value), level.map(StoredValue::revision).orElse(0L));
    Set<String> hosts = settings.controllerNames();
    Map<String, StoredValue> members = new TreeMap<>();
    state
        .list(Keys.MEMBERS)
        .forEach((key, stored) -> members.put(key.substring(Keys.MEMBERS.length()), stored));
    Map<String, StoredValue> records = new TreeMap<>();
    for (RecordLayout layout : RecordLayout.values()) {
      records.putAll(state.list(layout.machinePrefix()));
      records.putAll(state.list(layout.placementPrefix()));
    }
    Map<Feature, List<String>> unsayable = new EnumMap<>(Feature.class);
    unsayable.put(Feature.MACHINE_MAINTENANCE, inMaintenance(records));
    unsayable.putAll(jobsOfLaterLevels(state.list(Keys.LIVE_JOBS), settings));
    Optional<SchemaLevel> inForce = parse(level);
    return new UpgradeView(
        level,
        build,
        gate.objection(),
        hosts,
        members,
        inForce.map(l -> pendingValues(records, l.writtenLevel())).orElse(0),
        inForce.map(l -> new UpgradePlan(l, hosts, supportByHost(members), unsayable)),
        state.read(Keys.LEADER).map(stored -> stored.value().path("node").asText()),
        state.read(Keys.TERM).map(stored -> stored.value().path("term").asLong()).orElse(0L));
  }

  private static Optional<SchemaLevel> parse(Optional<StoredValue> level) {
    try {
      return Optional.of(SchemaLevel.fromStored(level.map(StoredValue::value)));
    } catch (MalformedMessageException e) {
      return Optional.empty();
    }
  }

  /** A record that can't be read says nothing: its controller counts as not seen. */
  private static Map<String, MemberSupport> supportByHost(Map<String, StoredValue> members) {
    Map<String, MemberSupport> supports = new TreeMap<>();
    members.forEach(
        (host, stored) -> {
          try {
            supports.put(host, MemberSupport.parse(stored.value()));
          } catch (MalformedMessageException e) {
            supports.remove(host);
          }
        });
    return supports;
  }

  private static int pendingValues(Map<String, StoredValue> records, int written) {
    RecordLayout layout = RecordLayout.ofLevel(written);
    int pending = 0;
    for (Map.Entry<String, StoredValue> record : records.entrySet()) {
      String key = record.getKey();
      boolean inPlace =
          layout.containsKey(key)
              && (Keys.isPlacementRecords(key) || hasFormOf(record.getValue().value(), written));
      pending += inPlace ? 0 : 1;
    }
    return pending;
  }

  private static boolean hasFormOf(JsonNode roster, int written) {
    return RecordLayout.ofLevel(written) == RecordLayout.NUMBERED
        || MachineRecordCodec.levelOf(roster).orElse(written) == written;
  }

  /** Jobs that an earlier level can't hold: gangs, and such as need larger values. */
  private static Map<Feature, List<String>> jobsOfLaterLevels(
      Map<String, StoredValue> jobs, Settings settings) {
    RecordLayout earlier = RecordLayout.POSITIONAL;
    List<String> gangs = new ArrayList<>();
    List<String> large = new ArrayList<>();
    jobs.forEach(
        (key, stored) -> {
          String id = Keys.lastSegment(key);
          JsonNode spec = stored.value().path("spec");
          int tasks = Math.min(earlier.tasksPerPartition(), spec.path("pieces").asInt());
          if (JobSpec.isStoredGang(spec)) {
            gangs.add(id);
          }
          if (PlacementRecordCodec.maximumSize(id, tasks, earlier)
              > settings.storeLimits().maxValueBytes()) {
            large.add(id);
          }
        });
    return Map.of(Feature.GANG_JOBS, gangs, Feature.SMALL_VALUES, large);
  }

  private static List<String> inMaintenance(Map<String, StoredValue> records) {
    Set<String> names = new TreeSet<>();
    for (Map.Entry<String, StoredValue> record : records.entrySet()) {
      if (!Keys.isMachineRecords(record.getKey())) {
        continue;
      }
      try {
        MachineRecordCodec.decode(record.getValue().value()).stream()
            .filter(entry -> !entry.maintenance().isInService())
            .forEach(entry -> names.add(entry.machine()));
      } catch (MalformedMessageException e) {
        names.add("(unreadable: " + e.getMessage() + ")");
      }
    }
    return List.copyOf(names);
  }

  /** What a step is held to: none of the records of controllers that it rests on has changed. */
  List<Precondition> preconditions() {
    List<Precondition> guards = new ArrayList<>();
    for (String host : hosts) {
      long stamp = members.containsKey(host) ? members.get(host).revision() : 0;
      guards.add(new Precondition(Keys.member(host), stamp));
    }
    return guards;
  }

  /** The stored record of the level, with fields that a later release may have added. */
  JsonNode storedLevel() {
    return level.map(StoredValue::value).orElse(MessagePack.MISSING);
  }

  private String levelInForce() {
    return level.map(stored -> stored.value().path("level").asText("unreadable")).orElse("0");
  }

  private String written() {
    return plan.map(p -> Integer.toString(p.inForce().writtenLevel())).orElse("unknown");
  }

  private String migration() {
    return plan.map(
            p ->
                p.inForce().migrated()
                    ? "complete"
                    : pendingValues + " values are to be rewritten or copied")
        .orElse("unknown");
  }

  private String nextStep() {
    return plan.map(p -> p.nextStep(build)).orElse("repair " + Keys.LEVEL);
  }

  private Map<String, String> controllers() {
    Map<String, MemberSupport> supports = supportByHost(members);
    Map<String, String> controllers = new TreeMap<>();
    for (String host : hosts) {
      MemberSupport support = supports.get(host);
      controllers.put(
          host,
          support == null ? "not seen" : support.levels() + " (release " + support.release() + ")");
    }
    return controllers;
  }

  String asTable() {
    List<String> lines = new ArrayList<>();
    lines.add("level in force   " + levelInForce() + (level.isEmpty() ? " (none stored)" : ""));
    lines.add("level written    " + written());
    lines.add("migration        " + migration());
    lines.add("this build       " + build);
    lines.add("takes part       " + objection.map(reason -> "no: " + reason).orElse("yes"));
    lines.add("leader           " + leader.orElse("nobody"));
    lines.add("term             " + term);
    controllers().forEach((host, says) -> lines.add("%-16s %s".formatted(host, says)));
    lines.add("next step        " + nextStep());
    return String.join(System.lineSeparator(), lines);
  }

  String asJson() {
    ObjectNode node = new ObjectMapper().createObjectNode();
    node.put("levelInForce", levelInForce());
    node.put("levelWritten", written());
    node.put("migration", migration());
    node.put("valuesToMigrate", pendingValues);
    node.put("lowestSupported", build.lowest());
    node.put("highestSupported", build.highest());
    node.put("takesPart", objection.isEmpty());
    objection.ifPresent(reason -> node.put("reason", reason));
    leader.ifPresent(name -> node.put("leader", name));
    node.put("term", term);
    ObjectNode controllers = node.putObject("controllers");
    controllers().forEach(controllers::put);
    return node.put("nextStep", nextStep()).toString();
  }
}
