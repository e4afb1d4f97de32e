package io.pearscale.protocol;

import java.util.Optional;

/** Priorities, lowest first, with their names on the wire. */
public enum Priority {
  IDLE,
  NORMAL,
  HIGH,
  CRITICAL;

  /** The name on the wire. */
  public String wireName() {
    return name().toLowerCase(java.util.Locale.ROOT);
  }

  /** Finds a priority by its name on the wire. */
  public static Optional<Priority> parse(String name) {
    for (Priority priority : values()) {
      if (priority.wireName().equals(name)) {
        return Optional.of(priority);
      }
    }
    return Optional.empty();
  }
}
