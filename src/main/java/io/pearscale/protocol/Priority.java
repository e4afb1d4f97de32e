package io.pearscale.protocol;

import java.util.Locale;
import java.util.Optional;

/** The priorities of jobs, in ascending order. */
public enum Priority {
  IDLE,
  NORMAL,
  HIGH,
  CRITICAL;

  /** Returns the name on the wire. */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Returns the priority with the given wire name; empty if there is none. */
  public static Optional<Priority> parse(String name) {
    return EnumNames.find(values(), Priority::wireName, name);
  }
}
