package io.pearscale.scheduler.model;

/** Puts parts of the model together as the {@link MachineInventory} does. */
public final class ModelFixtures {
  private ModelFixtures() {}

  /** From now on the task may be on the attempt's machine. */
  public static void place(TaskAttempt attempt) {
    attempt.machine().attempts().add(attempt);
    attempt.job().add(attempt);
  }
}
