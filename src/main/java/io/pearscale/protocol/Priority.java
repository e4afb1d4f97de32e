package io.pearscale.protocol;

import java.util.Optional;

/** The priorities of jobs, in ascending order. */
public enum Priority {
  IDLE,
  NORMAL,
  HIGH,
  CRITICAL;

  /** Returns the name on the wire. */
  public String wireName() {
    return name().toLowerCase(java.util.Locale.ROOT);
  }

  /** Returns the priority with the given wire name; empty if there is none. */
  public static Optional<Priority> parse(String name) {
    for (Priority priority : values()) {
      if (priority.wireName().equals(name)) {
        return Optional.of(priority);
      }
    }
    return Optional.empty();
  }
}
