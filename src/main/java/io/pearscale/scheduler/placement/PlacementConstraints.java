package io.pearscale.scheduler.placement;

import io.pearscale.protocol.JobSpec;
import io.pearscale.protocol.Priority;
import io.pearscale.scheduler.model.Job;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.storage.Maintenance;

/**
 * Rules that a task's place must keep beside having capacity. Those that depend on where the job's
 * other tasks are count every attempt that may still be somewhere.
 */
final class PlacementConstraints {
  private PlacementConstraints() {}

  /** Whether the job may run on machines like this one at all. */
  static boolean allowsKind(JobSpec spec, Machine machine) {
    return spec.allows(machine.type(), machine.zone(), machine.spot());
  }

  /** Whether another task of the job may be on the machine, as things are now. */
  static boolean allowsNow(Job job, Machine machine) {
    JobSpec spec = job.spec();
    boolean urgent = spec.priority().compareTo(Priority.NORMAL) > 0;
    if (urgent && machine.maintenance().stage() == Maintenance.Stage.PROBATION) {
      return false;
    }
    if (spec.spreadAcrossZones() && job.attemptsInZone(machine.zone()) >= spec.maxTasksPerZone()) {
      return false;
    }
    return !spec.singleZone() || job.isOnlyInZone(machine.zone());
  }
}
