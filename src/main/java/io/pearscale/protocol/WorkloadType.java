package io.pearscale.protocol;

import java.util.Optional;

/** How the tasks of a job depend on each other. */
public enum WorkloadType {
  /** Independent tasks that run to completion. */
  BATCH("batch"),

  /** Replicas that run until the job is cancelled. */
  SERVICE("service"),

  /** Tasks that all run at the same time and complete together. */
  GANG("group");

  private final String wireName;

  WorkloadType(String wireName) {
    this.wireName = wireName;
  }

  /** Returns the name in messages and in stored jobs. */
  public String wireName() {
    return wireName;
  }

  /** Returns the type with the given wire name; empty if there is none. */
  public static Optional<WorkloadType> parse(String wireName) {
    return EnumNames.find(values(), WorkloadType::wireName, wireName);
  }
}
