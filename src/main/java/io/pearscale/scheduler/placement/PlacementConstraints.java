package io.pearscale.scheduler.placement;

import io.pearscale.protocol.JobSpec;
import io.pearscale.protocol.Priority;
import io.pearscale.scheduler.model.Job;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.storage.Maintenance;

/**
 * Placement constraints other than capacity. Constraints on the distribution of a job's tasks count
 * every attempt that may still be present on a machine.
 */
final class PlacementConstraints {
  private PlacementConstraints() {}

  /**
   * Returns whether the specification allows the machine's type and zone, and spot machines if it
   * is one.
   */
  static boolean allowsMachine(JobSpec spec, Machine machine) {
    return spec.allows(machine.type(), machine.zone(), machine.spot());
  }

  /** Returns whether the machine may currently take another task of the job. */
  static boolean allowsAnotherTask(Job job, Machine machine) {
    JobSpec spec = job.spec();
    boolean urgent = spec.priority().compareTo(Priority.NORMAL) > 0;
    if (urgent && machine.maintenance().stage() == Maintenance.Stage.PROBATION) {
      return false;
    }
    if (spec.spreadAcrossZones() && job.attemptsInZone(machine.zone()) >= spec.maxTasksPerZone()) {
      return false;
    }
    return !spec.singleZone() || job.hasNoAttemptsOutside(machine.zone());
  }
}
