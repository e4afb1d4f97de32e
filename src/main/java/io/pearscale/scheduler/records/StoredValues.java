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

/** A leader's records as the state service holds them, so far as the watch has told. */
public final class StoredValues {
  private final Map<String, JsonNode> placementValues = new TreeMap<>();
  private final Map<String, JsonNode> machineValues = new TreeMap<>();
  private final Set<String> machineTypeNames = new HashSet<>();

  /** All keys are about to be read anew. */
  public void clear() {
    placementValues.clear();
    machineValues.clear();
  }

  /** A value of marks or of the roster has changed. */
  public void apply(KeyChange change) {
    Map<String, JsonNode> stored =
        Keys.isPlacementRecords(change.key()) ? placementValues : machineValues;
    change
        .entry()
        .ifPresentOrElse(
            entry -> stored.put(change.key(), entry.value()), () -> stored.remove(change.key()));
  }

  /** The catalogue has these types. */
  public void updateCatalogue(List<MachineType> stored) {
    machineTypeNames.clear();
    stored.forEach(type -> machineTypeNames.add(type.name()));
  }

  /** The values that say where tasks are, by key. */
  Map<String, JsonNode> placementValues() {
    return Collections.unmodifiableMap(placementValues);
  }

  /** The values that say which machines there are, by key. */
  Map<String, JsonNode> machineValues() {
    return Collections.unmodifiableMap(machineValues);
  }

  /** The names of the types of machines in the catalogue. */
  Set<String> machineTypeNames() {
    return Collections.unmodifiableSet(machineTypeNames);
  }
}
