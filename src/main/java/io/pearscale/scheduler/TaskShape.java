package io.pearscale.scheduler;

import io.pearscale.protocol.JobSpec;
import io.pearscale.protocol.Priority;
import java.util.List;
import java.util.Optional;

/** What decides where a task may go and whom it may evict. */
record TaskShape(
    Priority priority,
    double cpus,
    double gpus,
    double memoryGb,
    Optional<List<String>> types,
    Optional<String> zone,
    boolean spot) {

  static TaskShape of(JobSpec spec) {
    return new TaskShape(
        spec.priority(),
        spec.cpus(),
        spec.gpus(),
        spec.memoryGb(),
        spec.types(),
        spec.zone(),
        spec.spot());
  }
}
