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
import io.pearscale.upgrade.ControllerSupport;
import io.pearscale.upgrade.Feature;
import io.pearscale.upgrade.LevelGate;
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
 * The upgrade state of the cluster, as read from the key-value store. It also provides the
 * preconditions that make a step fail when this state has changed meanwhile.
 *
 * @param storedLevelRecord the stored record of the schema level; empty if none was ever stored
 * @param incompatibility why this build must not participate in the cluster; empty if it may
 * @param supportRecords the support records of the running controllers, by controller name
 * @param valuesToMigrate how many values have another encoding or layout than is written now
 * @param plan decides which steps are allowed; empty if the level can't be read
 */
record UpgradeView(
    Optional<StoredValue> storedLevelRecord,
    SupportedLevels build,
    Optional<String> incompatibility,
    Set<String> controllerNames,
    Map<String, StoredValue> supportRecords,
    int valuesToMigrate,
    Optional<UpgradePlan> plan,
    Optional<String> leader,
    long term) {

  /** Reads the level, the controllers' support and all records that an upgrade may migrate. */
  static UpgradeView read(KeyValueStoreSession session, Settings settings, SupportedLevels build)
      throws IOException {
    Optional<StoredValue> storedLevelRecord = session.read(Keys.LEVEL);
    LevelGate gate = new LevelGate(build);
    gate.update(
        storedLevelRecord.map(StoredValue::value),
        storedLevelRecord.map(StoredValue::revision).orElse(0L));
    Set<String> controllerNames = settings.controllerNames();
    Map<String, StoredValue> supportRecords = new TreeMap<>();
    session
        .list(Keys.SUPPORT_RECORDS)
        .forEach(
            (key, stored) ->
                supportRecords.put(key.substring(Keys.SUPPORT_RECORDS.length()), stored));
    Map<String, StoredValue> records = new TreeMap<>();
    for (RecordLayout layout : RecordLayout.values()) {
      records.putAll(session.list(layout.machinePrefix()));
      records.putAll(session.list(layout.placementPrefix()));
    }
    Map<Feature, List<String>> recordsByFeature = new EnumMap<>(Feature.class);
    recordsByFeature.put(Feature.MACHINE_MAINTENANCE, machinesInMaintenance(records));
    recordsByFeature.putAll(jobsRequiringLaterLevels(session.list(Keys.LIVE_JOBS), settings));
    Optional<SchemaLevel> schemaLevel = parseLevel(storedLevelRecord);
    return new UpgradeView(
        storedLevelRecord,
        build,
        gate.incompatibility(),
        controllerNames,
        supportRecords,
        schemaLevel
            .map(currentLevel -> countValuesToMigrate(records, currentLevel.writtenLevel()))
            .orElse(0),
        schemaLevel.map(
            currentLevel ->
                new UpgradePlan(
                    currentLevel,
                    controllerNames,
                    supportByController(supportRecords),
                    recordsByFeature)),
        session.read(Keys.LEADER).map(stored -> stored.value().path("node").asText()),
        session.read(Keys.TERM).map(stored -> stored.value().path("term").asLong()).orElse(0L));
  }

  private static Optional<SchemaLevel> parseLevel(Optional<StoredValue> storedLevelRecord) {
    try {
      return Optional.of(SchemaLevel.fromStored(storedLevelRecord.map(StoredValue::value)));
    } catch (MalformedMessageException e) {
      return Optional.empty();
    }
  }

  /** Parses the support records. A controller whose record can't be parsed counts as not seen. */
  private static Map<String, ControllerSupport> supportByController(
      Map<String, StoredValue> supportRecords) {
    Map<String, ControllerSupport> supportByController = new TreeMap<>();
    supportRecords.forEach(
        (controllerName, stored) -> {
          try {
            supportByController.put(controllerName, ControllerSupport.parse(stored.value()));
          } catch (MalformedMessageException e) {
            supportByController.remove(controllerName);
          }
        });
    return supportByController;
  }

  private static int countValuesToMigrate(Map<String, StoredValue> records, int writtenLevel) {
    RecordLayout layout = RecordLayout.ofLevel(writtenLevel);
    int pending = 0;
    for (Map.Entry<String, StoredValue> record : records.entrySet()) {
      String key = record.getKey();
      boolean migrated =
          layout.containsKey(key)
              && (Keys.isPlacementRecords(key)
                  || hasEncodingOf(record.getValue().value(), writtenLevel));
      pending += migrated ? 0 : 1;
    }
    return pending;
  }

  private static boolean hasEncodingOf(JsonNode machineRecords, int writtenLevel) {
    return RecordLayout.ofLevel(writtenLevel) == RecordLayout.NUMBERED
        || MachineRecordCodec.levelOf(machineRecords).orElse(writtenLevel) == writtenLevel;
  }

  /**
   * Returns jobs that an earlier level can't store: gangs, and jobs whose records are too large.
   */
  private static Map<Feature, List<String>> jobsRequiringLaterLevels(
      Map<String, StoredValue> jobs, Settings settings) {
    RecordLayout earlierLayout = RecordLayout.POSITIONAL;
    List<String> gangJobs = new ArrayList<>();
    List<String> largeJobs = new ArrayList<>();
    jobs.forEach(
        (key, stored) -> {
          String id = Keys.lastSegment(key);
          JsonNode spec = stored.value().path("spec");
          int tasks = Math.min(earlierLayout.tasksPerPartition(), spec.path("pieces").asInt());
          if (JobSpec.isStoredGang(spec)) {
            gangJobs.add(id);
          }
          if (PlacementRecordCodec.maxEncodedSize(id, tasks, earlierLayout)
              > settings.storeLimits().maxValueBytes()) {
            largeJobs.add(id);
          }
        });
    return Map.of(Feature.GANG_JOBS, gangJobs, Feature.SMALL_VALUES, largeJobs);
  }

  private static List<String> machinesInMaintenance(Map<String, StoredValue> records) {
    Set<String> names = new TreeSet<>();
    for (Map.Entry<String, StoredValue> record : records.entrySet()) {
      if (!Keys.isMachineRecords(record.getKey())) {
        continue;
      }
      try {
        MachineRecordCodec.decode(record.getValue().value()).stream()
            .filter(machineRecord -> !machineRecord.maintenance().isInService())
            .forEach(machineRecord -> names.add(machineRecord.machine()));
      } catch (MalformedMessageException e) {
        names.add("(unreadable: " + e.getMessage() + ")");
      }
    }
    return List.copyOf(names);
  }

  /** Returns preconditions which require that no controller's support record has changed. */
  List<Precondition> preconditions() {
    List<Precondition> preconditions = new ArrayList<>();
    for (String controllerName : controllerNames) {
      long revision =
          supportRecords.containsKey(controllerName)
              ? supportRecords.get(controllerName).revision()
              : 0;
      preconditions.add(new Precondition(Keys.supportRecord(controllerName), revision));
    }
    return preconditions;
  }

  /** Returns the stored record of the level, with fields that a later release may have added. */
  JsonNode storedLevel() {
    return storedLevelRecord.map(StoredValue::value).orElse(MessagePack.MISSING);
  }

  private String levelInForce() {
    return storedLevelRecord
        .map(stored -> stored.value().path("level").asText("unreadable"))
        .orElse("0");
  }

  private String writtenLevel() {
    return plan.map(upgradePlan -> Integer.toString(upgradePlan.currentLevel().writtenLevel()))
        .orElse("unknown");
  }

  private String migrationProgress() {
    return plan.map(
            upgradePlan ->
                upgradePlan.currentLevel().migrated()
                    ? "complete"
                    : valuesToMigrate + " values are to be rewritten or copied")
        .orElse("unknown");
  }

  private String nextStep() {
    return plan.map(upgradePlan -> upgradePlan.nextStep(build)).orElse("repair " + Keys.LEVEL);
  }

  private Map<String, String> supportTextByController() {
    Map<String, ControllerSupport> supportByController = supportByController(supportRecords);
    Map<String, String> textByController = new TreeMap<>();
    for (String controllerName : controllerNames) {
      ControllerSupport support = supportByController.get(controllerName);
      textByController.put(
          controllerName,
          support == null ? "not seen" : support.levels() + " (release " + support.release() + ")");
    }
    return textByController;
  }

  String asTable() {
    List<String> lines = new ArrayList<>();
    lines.add(
        "level in force   "
            + levelInForce()
            + (storedLevelRecord.isEmpty() ? " (none stored)" : ""));
    lines.add("level written    " + writtenLevel());
    lines.add("migration        " + migrationProgress());
    lines.add("this build       " + build);
    lines.add("takes part       " + incompatibility.map(reason -> "no: " + reason).orElse("yes"));
    lines.add("leader           " + leader.orElse("nobody"));
    lines.add("term             " + term);
    supportTextByController()
        .forEach((host, support) -> lines.add("%-16s %s".formatted(host, support)));
    lines.add("next step        " + nextStep());
    return String.join(System.lineSeparator(), lines);
  }

  String asJson() {
    ObjectNode node = new ObjectMapper().createObjectNode();
    node.put("levelInForce", levelInForce());
    node.put("levelWritten", writtenLevel());
    node.put("migration", migrationProgress());
    node.put("valuesToMigrate", valuesToMigrate);
    node.put("lowestSupported", build.lowest());
    node.put("highestSupported", build.highest());
    node.put("takesPart", incompatibility.isEmpty());
    incompatibility.ifPresent(reason -> node.put("reason", reason));
    leader.ifPresent(name -> node.put("leader", name));
    node.put("term", term);
    ObjectNode controllers = node.putObject("controllers");
    supportTextByController().forEach(controllers::put);
    return node.put("nextStep", nextStep()).toString();
  }
}
