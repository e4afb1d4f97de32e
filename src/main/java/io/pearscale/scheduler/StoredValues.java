package io.pearscale.scheduler;

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
final class StoredValues {
  private final Map<String, JsonNode> marks = new TreeMap<>();
  private final Map<String, JsonNode> roster = new TreeMap<>();
  private final Set<String> types = new HashSet<>();

  /** All keys are about to be read anew. */
  void forget() {
    marks.clear();
    roster.clear();
  }

  /** A value of marks or of the roster has changed. */
  void changed(KeyChange change) {
    Map<String, JsonNode> stored = Keys.isPlacementRecords(change.key()) ? marks : roster;
    change
        .entry()
        .ifPresentOrElse(
            entry -> stored.put(change.key(), entry.value()), () -> stored.remove(change.key()));
  }

  /** The catalogue has these types. */
  void catalogueIs(List<MachineType> stored) {
    types.clear();
    stored.forEach(type -> types.add(type.name()));
  }

  /** The values that say where tasks are, by key. */
  Map<String, JsonNode> marks() {
    return Collections.unmodifiableMap(marks);
  }

  /** The values that say which machines there are, by key. */
  Map<String, JsonNode> roster() {
    return Collections.unmodifiableMap(roster);
  }

  /** The names of the types of machines in the catalogue. */
  Set<String> types() {
    return Collections.unmodifiableSet(types);
  }
}
