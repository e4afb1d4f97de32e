package io.pearscale.scheduler.placement;

import io.pearscale.protocol.JobSpec;
import io.pearscale.scheduler.model.Job;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.Resources;
import io.pearscale.scheduler.model.TaskAttempt;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Relocates a replica of equal priority to make capacity available for a waiting replica, if
 * another machine has capacity for it and already has its image. A job with a spread constraint may
 * have only one zone left, while the replicas that use the capacity there can often run elsewhere.
 * Relocation interrupts one replica briefly; without it the waiting replica would not run at all.
 */
public final class ReplicaRelocation {
  /** Minimum run time before relocation; moving a replica earlier would waste its start. */
  public static final Duration MIN_RUN_BEFORE_RELOCATION = Duration.ofSeconds(40);

  private final PassContext context;
  private final PassCapacity capacity;
  private final Supplier<RandomizedMachineScan> machines;

  ReplicaRelocation(
      PassContext context, PassCapacity capacity, Supplier<RandomizedMachineScan> machines) {
    this.context = context;
    this.capacity = capacity;
    this.machines = machines;
  }

  /** Relocates a replica to make capacity available for the job, and reserves that capacity. */
  Optional<Assignment> relocateFor(Job job) {
    if (!job.spec().isService()) {
      return Optional.empty();
    }
    RandomizedMachineScan scan = machines.get();
    int start = scan.randomStart();
    int candidates = 0;
    for (int i = 0; i < scan.size() && candidates < context.tuning().sampleSize(); i++) {
      Machine machine = scan.get(start, i);
      if (!PlacementConstraints.allowsMachine(job.spec(), machine)
          || !PlacementConstraints.allowsAnotherTask(job, machine)) {
        continue;
      }
      for (TaskAttempt replica : machine.attempts().values()) {
        if (!mayBeRelocatedFor(job, replica)) {
          continue;
        }
        candidates++;
        if (reserveElsewhere(replica)) {
          Assignment assignment = new Assignment(machine, List.of(replica));
          capacity.reserve(job, assignment);
          return Optional.of(assignment);
        }
      }
    }
    return Optional.empty();
  }

  private boolean mayBeRelocatedFor(Job job, TaskAttempt replica) {
    JobSpec spec = replica.job().spec();
    Resources availableAfterRelocation = capacity.availableOn(replica.machine()).copy();
    availableAfterRelocation.add(replica.job().spec());
    return !replica.stopping()
        && replica.stage() == TaskAttempt.Stage.RUNNING
        && spec.isService()
        && !spec.singleZone()
        && spec.priority() == job.spec().priority()
        && spec.team().equals(job.spec().team())
        && replica.stageSince().isBefore(context.now().minus(MIN_RUN_BEFORE_RELOCATION))
        && availableAfterRelocation.fits(job.spec());
  }

  private boolean reserveElsewhere(TaskAttempt replica) {
    for (Machine machine : context.machines()) {
      if (mayRelocateTo(replica, machine)
          && capacity.availableOn(machine).fits(replica.job().spec())) {
        capacity.availableOn(machine).subtract(replica.job().spec());
        return true;
      }
    }
    return false;
  }

  /**
   * Returns whether a replica may run on the other machine, which must already have its image.
   * Available capacity is not checked.
   */
  public static boolean mayRelocateTo(TaskAttempt replica, Machine machine) {
    JobSpec spec = replica.job().spec();
    boolean zoneAllowed =
        machine.zone().equals(replica.machine().zone())
            || (!spec.singleZone()
                && (!spec.spreadAcrossZones()
                    || replica.job().attemptsInZone(machine.zone()) < spec.maxTasksPerZone()));
    return machine != replica.machine()
        && zoneAllowed
        && PlacementConstraints.allowsMachine(spec, machine)
        && machine.images().contains(spec.image());
  }
}
