package io.pearscale.protocol;

import java.util.Optional;

/** Priorities, lowest first, with their names on the wire. */
public enum Priority {
  IDLE,
  NORMAL,
  HIGH,
  CRITICAL;

  /** The name on the wire. */
  public String wire() {
    return name().toLowerCase(java.util.Locale.ROOT);
  }

  /** Finds a priority by its name on the wire. */
  public static Optional<Priority> parse(String name) {
    for (Priority p : values()) {
      if (p.wire().equals(name)) {
        return Optional.of(p);
      }
    }
    return Optional.empty();
  }
}
