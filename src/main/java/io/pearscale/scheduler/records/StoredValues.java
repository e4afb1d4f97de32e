package io.pearscale.scheduler.records;

import com.fasterxml.jackson.databind.JsonNode;
import io.pearscale.protocol.MachineType;
import io.pearscale.storage.Keys;
import io.pearscale.storage.StoreReplicaActor.KeyChange;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The stored values of machine and placement records, and the names of the machine types in the
 * stored catalogue, as far as the watch has delivered them.
 */
public final class StoredValues {
  private final Map<String, JsonNode> placementValues = new TreeMap<>();
  private final Map<String, JsonNode> machineValues = new TreeMap<>();
  private final Set<String> machineTypeNames = new HashSet<>();

  /**
   * Removes all values of records before a new snapshot is delivered. The names of machine types
   * stay.
   */
  public void clear() {
    placementValues.clear();
    machineValues.clear();
  }

  /** Applies a change of a value of placement or machine records. */
  public void apply(KeyChange change) {
    Map<String, JsonNode> stored =
        Keys.isPlacementRecords(change.key()) ? placementValues : machineValues;
    change
        .entry()
        .ifPresentOrElse(
            entry -> stored.put(change.key(), entry.value()), () -> stored.remove(change.key()));
  }

  /** Applies a change of the stored catalogue. */
  public void updateCatalogue(List<MachineType> stored) {
    machineTypeNames.clear();
    stored.forEach(type -> machineTypeNames.add(type.name()));
  }

  /** Returns the values of placement records, by key. */
  Map<String, JsonNode> placementValues() {
    return Collections.unmodifiableMap(placementValues);
  }

  /** Returns the values of machine records, by key. */
  Map<String, JsonNode> machineValues() {
    return Collections.unmodifiableMap(machineValues);
  }

  /** Returns the names of the machine types in the stored catalogue. */
  Set<String> machineTypeNames() {
    return Collections.unmodifiableSet(machineTypeNames);
  }
}
