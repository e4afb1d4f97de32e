package io.pearscale.protocol;

import java.util.Arrays;
import java.util.Optional;

/** How the tasks of a job belong together. */
public enum WorkloadType {
  /** Independent tasks, each of which runs to completion. */
  BATCH("batch"),

  /** Replicas that run until the job is cancelled. */
  SERVICE("service"),

  /** Tasks that run all at the same time, or none does, and complete together. */
  GANG("group");

  private final String wireName;

  WorkloadType(String wireName) {
    this.wireName = wireName;
  }

  /** Its name in messages and in stored jobs. */
  public String wireName() {
    return wireName;
  }

  /** The shape of that name; empty if there is none. */
  public static Optional<WorkloadType> parse(String wireName) {
    return Arrays.stream(values()).filter(type -> type.wireName.equals(wireName)).findFirst();
  }
}
