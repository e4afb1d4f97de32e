package io.pearscale.scheduler.model;

/** Test helper that connects model objects as the {@link MachineInventory} does. */
public final class ModelFixtures {
  private ModelFixtures() {}

  /** Adds the attempt to its machine and its job. */
  public static void place(TaskAttempt attempt) {
    attempt.machine().attempts().add(attempt);
    attempt.job().add(attempt);
  }
}
