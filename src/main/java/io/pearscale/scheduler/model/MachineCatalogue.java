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

/** The machine types that the cloud provider offers, as last reported. */
public final class MachineCatalogue {
  private final Map<String, MachineType> types = new LinkedHashMap<>();

  /** Returns a live view of all types. */
  public Collection<MachineType> types() {
    return Collections.unmodifiableCollection(types.values());
  }

  /** Returns a live view of the names of all types. */
  public Set<String> names() {
    return Collections.unmodifiableSet(types.keySet());
  }

  /** Returns the type with the given name. */
  public Optional<MachineType> find(String name) {
    return Optional.ofNullable(types.get(name));
  }

  /**
   * Returns the type with the given name, or a placeholder without capacity while it is unknown.
   */
  public MachineType typeOf(String name) {
    return find(name).orElseGet(() -> withoutCapacity(name));
  }

  /** Replaces the types with the offered ones; an empty list has no effect. */
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
