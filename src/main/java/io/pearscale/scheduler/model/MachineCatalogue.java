package io.pearscale.scheduler.model;

import io.pearscale.protocol.MachineType;
import java.time.Duration;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The machine types that the cloud offers, as they were last heard of. */
public final class MachineCatalogue {
  private final Map<String, MachineType> types = new LinkedHashMap<>();

  /** All types, as they are known at any time. */
  public Collection<MachineType> types() {
    return Collections.unmodifiableCollection(types.values());
  }

  /** The names of all types. */
  public Set<String> names() {
    return Collections.unmodifiableSet(types.keySet());
  }

  /** The type of that name. */
  public Optional<MachineType> find(String name) {
    return Optional.ofNullable(types.get(name));
  }

  /** The type of that name; one without any room while it is not known. */
  public MachineType typeOf(String name) {
    return find(name).orElseGet(() -> withoutCapacity(name));
  }

  /** Takes a catalogue in; an empty one changes nothing. */
  void update(List<MachineType> offered) {
    if (!offered.isEmpty()) {
      types.clear();
      offered.forEach(type -> types.put(type.name(), type));
    }
  }

  private static MachineType withoutCapacity(String name) {
    return new MachineType(name, 0, 0, 0, 0, 0.1, 0, 0, Duration.ofSeconds(60), List.of());
  }
}
