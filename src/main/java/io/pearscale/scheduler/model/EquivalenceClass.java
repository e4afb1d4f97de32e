package io.pearscale.scheduler.model;

import io.pearscale.protocol.JobSpec;
import io.pearscale.protocol.Priority;
import java.util.List;
import java.util.Optional;

/**
 * The properties of a task that determine where it can be placed and which tasks it can preempt.
 */
public record EquivalenceClass(
    Priority priority,
    double cpus,
    double gpus,
    double memoryGb,
    Optional<List<String>> machineTypes,
    Optional<String> zone,
    boolean spotAllowed) {

  /** Returns the equivalence class of the job's tasks. */
  public static EquivalenceClass of(JobSpec spec) {
    return new EquivalenceClass(
        spec.priority(),
        spec.cpus(),
        spec.gpus(),
        spec.memoryGb(),
        spec.machineTypes(),
        spec.zone(),
        spec.spotAllowed());
  }
}
