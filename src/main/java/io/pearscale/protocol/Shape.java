package io.pearscale.protocol;

import java.util.Arrays;
import java.util.Optional;

/** How the tasks of a job belong together. */
public enum Shape {
  /** Independent tasks, each of which runs to completion. */
  BATCH("batch"),

  /** Replicas that run until the job is cancelled. */
  SERVICE("service"),

  /** Tasks that run all at the same time, or none does, and complete together. */
  GANG("group");

  private final String wire;

  Shape(String wire) {
    this.wire = wire;
  }

  /** Its name in messages and in stored jobs. */
  public String wire() {
    return wire;
  }

  /** The shape of that name; empty if there is none. */
  public static Optional<Shape> parse(String text) {
    return Arrays.stream(values()).filter(shape -> shape.wire.equals(text)).findFirst();
  }
}
