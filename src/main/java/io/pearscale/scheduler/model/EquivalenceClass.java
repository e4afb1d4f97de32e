package io.pearscale.scheduler.model;

import io.pearscale.protocol.JobSpec;
import io.pearscale.protocol.Priority;
import java.util.List;
import java.util.Optional;

/** What decides where a task may go and whom it may evict. */
public record EquivalenceClass(
    Priority priority,
    double cpus,
    double gpus,
    double memoryGb,
    Optional<List<String>> machineTypes,
    Optional<String> zone,
    boolean spotAllowed) {

  /** Returns the class of the tasks of a job. */
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
