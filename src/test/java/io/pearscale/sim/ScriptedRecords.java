package io.pearscale.sim;

import com.fasterxml.jackson.databind.JsonNode;
import io.pearscale.protocol.MalformedMessageException;
import io.pearscale.storage.Keys;
import io.pearscale.storage.MachineRecordCodec;
import io.pearscale.storage.MachineRecordCodec.MachineRecord;
import io.pearscale.storage.Maintenance;
import io.pearscale.storage.PlacementRecordCodec;
import io.pearscale.storage.PlacementRecordCodec.PartitionRecord;
import io.pearscale.storage.PlacementRecordCodec.QuotaClaim;
import io.pearscale.storage.RecordLayout;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Machine and placement records of leader scripts, in the layout below level 2: what a previous
 * leader has stored, and what the leader under test stores.
 */
final class ScriptedRecords {
  /** The key of all machine records that a script writes. */
  static final String MACHINES_KEY = "c/roster/0";

  private static final String MACHINES_PREFIX = "c/roster/";
  private static final String PLACEMENTS_PREFIX = "c/marks/";

  /** Machine records per stored value; must match the number that the leader uses. */
  private static final int MACHINES_PER_RECORD = 64;

  private final SimulatedCluster cluster;
  private final List<MachineRecord> machines = new ArrayList<>();
  private int placementValues;

  ScriptedRecords(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  /** Adds the record of a machine, and returns the value with the records of all machines. */
  JsonNode addMachine(String name, String zone, boolean retiring) {
    machines.add(
        new MachineRecord(
            machines.size(),
            name,
            name,
            "small",
            zone,
            false,
            1,
            retiring,
            Maintenance.IN_SERVICE));
    return MachineRecordCodec.encode(machines, 0);
  }

  /** Returns the key for the next value with placement records. */
  String nextPlacementKey() {
    return PLACEMENTS_PREFIX + placementValues++;
  }

  /**
   * Returns a value with the placement record of a job.
   *
   * @param spec the stored specification of the job
   * @param words {@code 0@m-1} for a task on a machine, or {@code 0=done}
   */
  JsonNode encodePlacements(String job, JsonNode spec, List<String> words) {
    BitSet doneTasks = new BitSet();
    int[] machineReferences = new int[words.size()];
    for (String word : words) {
      String[] parts = word.split("[@=]");
      int task = Integer.parseInt(parts[0]);
      if (word.endsWith("=done")) {
        doneTasks.set(task);
      } else {
        machineReferences[task] = referenceTo(parts[1]);
      }
    }
    return PlacementRecordCodec.encode(
        List.of(new PartitionRecord(job, 0, doneTasks, machineReferences, quotaClaim(spec))),
        RecordLayout.POSITIONAL);
  }

  private int referenceTo(String machine) {
    MachineRecord record =
        machines.stream().filter(each -> each.machine().equals(machine)).findFirst().orElseThrow();
    return PlacementRecordCodec.positionalReference(0, record.number(), MACHINES_PER_RECORD);
  }

  /** Returns the share of the team's limit that a job takes, as a leader records it. */
  private Optional<QuotaClaim> quotaClaim(JsonNode spec) {
    String team = spec.path("crew").asText();
    return cluster.teams.stream().anyMatch(t -> t.name().equals(team) && t.hasQuotaLimit())
        ? Optional.of(
            new QuotaClaim(
                team,
                spec.path("vcpus").asDouble(),
                spec.path("accelerators").asDouble(),
                spec.path("memoryGb").asDouble()))
        : Optional.empty();
  }

  /** Returns the stored placement of a task: {@code done}, a machine, or {@code none}. */
  String placementOf(String task) throws MalformedMessageException {
    String job = task.split("/")[0];
    int index = Integer.parseInt(task.split("/")[1]);
    for (JsonNode value : cluster.store.entriesWithPrefix(PLACEMENTS_PREFIX).values()) {
      for (PartitionRecord partition : PlacementRecordCodec.decode(value)) {
        if (partition.job().equals(job) && partition.doneTasks().get(index)) {
          return "done";
        } else if (partition.job().equals(job) && index < partition.machineReferences().length) {
          return storedMachineNames().getOrDefault(partition.machineReferences()[index], "none");
        }
      }
    }
    return "none";
  }

  private Map<Integer, String> storedMachineNames() throws MalformedMessageException {
    Map<Integer, String> names = new HashMap<>();
    for (Map.Entry<String, JsonNode> value :
        cluster.store.entriesWithPrefix(MACHINES_PREFIX).entrySet()) {
      int number = Keys.valueNumber(value.getKey());
      for (MachineRecord record : MachineRecordCodec.decode(value.getValue())) {
        names.put(
            PlacementRecordCodec.positionalReference(number, record.number(), MACHINES_PER_RECORD),
            record.machine());
      }
    }
    return names;
  }

  /** Returns the stored state of a machine: {@code usable}, {@code retiring} or {@code none}. */
  String machineStateOf(String machine) throws MalformedMessageException {
    for (JsonNode value : cluster.store.entriesWithPrefix(MACHINES_PREFIX).values()) {
      for (MachineRecord record : MachineRecordCodec.decode(value)) {
        if (record.machine().equals(machine)) {
          return record.retiring() ? "retiring" : "usable";
        }
      }
    }
    return "none";
  }
}
