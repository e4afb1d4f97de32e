package io.pearscale.scheduler.maintenance;

import io.pearscale.drain.DrainPlanner;
import io.pearscale.drain.DrainPlanner.TaskView;
import io.pearscale.scheduler.model.Job;
import io.pearscale.scheduler.model.JobTable;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.MachineInventory;
import io.pearscale.scheduler.model.Resources;
import io.pearscale.scheduler.model.TaskAttempt;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Reserves capacity on other machines for tasks of drained machines, for one round. */
final class DrainCapacity implements DrainPlanner.ReplacementCapacity {
  private final JobTable jobs;
  private final List<Machine> usable = new ArrayList<>();
  private final Map<Machine, Resources> available = new HashMap<>();

  DrainCapacity(
      MachineInventory inventory, JobTable jobs, Instant now, Responsiveness responsiveness) {
    this.jobs = jobs;
    for (Machine machine : inventory.all()) {
      if (machine.maintenance().isInService()
          && machine.lifecycle() == Machine.Lifecycle.UP
          && machine.reconciled()
          && !machine.failures().isQuarantined()
          && responsiveness.isResponsive(machine, now)
          && machine.preemptionAt().isEmpty()) {
        usable.add(machine);
      }
    }
    // Prefers machines without a planned drain: a task on a machine with one would have to be
    // relocated again.
    usable.sort(Comparator.comparing(machine -> machine.isDrainPlanned()));
  }

  @Override
  public Optional<String> reserve(TaskView task) {
    Job job = jobs.get(task.task().job());
    TaskAttempt attempt = job == null ? null : job.attempts().get(task.task().index());
    if (attempt == null) {
      return Optional.of("it is not where it was");
    }
    for (Machine machine : usable) {
      if (mayRelocate(attempt, machine) && availableOn(machine).fits(job.spec())) {
        availableOn(machine).subtract(job.spec());
        return Optional.empty();
      }
    }
    return Optional.of(
        "no other machine in service has room for it"
            + (job.spec().singleZone() ? " in zone " + attempt.machine().zone() : ""));
  }

  private Resources availableOn(Machine machine) {
    return available.computeIfAbsent(machine, Machine::available);
  }

  private static boolean mayRelocate(TaskAttempt attempt, Machine machine) {
    Job job = attempt.job();
    boolean onlyTask = job.attempts().size() == 1;
    boolean sameZone = machine.zone().equals(attempt.machine().zone());
    boolean zoneAllowed =
        sameZone
            || ((!job.spec().singleZone() || onlyTask)
                && (!job.spec().spreadAcrossZones()
                    || job.attemptsInZone(machine.zone()) < job.spec().maxTasksPerZone()));
    return machine != attempt.machine()
        && zoneAllowed
        && job.spec().allows(machine.type(), machine.zone(), machine.spot());
  }
}
