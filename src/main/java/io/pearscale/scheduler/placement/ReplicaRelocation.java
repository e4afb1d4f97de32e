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
 * Moves one replica of equal priority out of the way, when it has a place to go that already has
 * its image: a job that must spread can't go anywhere else, while the replica that fills its zone
 * often can. The move costs a moment of one replica, waiting would cost the whole time.
 */
public final class ReplicaRelocation {
  /** A replica that has run for less is not moved: its start would have been in vain. */
  public static final Duration MIN_RUN_BEFORE_MOVE = Duration.ofSeconds(40);

  private final PassContext context;
  private final PassCapacity capacity;
  private final Supplier<RandomizedMachineScan> machines;

  ReplicaRelocation(
      PassContext context, PassCapacity capacity, Supplier<RandomizedMachineScan> machines) {
    this.context = context;
    this.capacity = capacity;
    this.machines = machines;
  }

  /** Reserves the capacity of a replica that moves on. */
  Optional<Assignment> relocateFor(Job job) {
    if (!job.spec().isService()) {
      return Optional.empty();
    }
    RandomizedMachineScan scan = machines.get();
    int start = scan.randomStart();
    int candidates = 0;
    for (int i = 0; i < scan.size() && candidates < context.tuning().sampleSize(); i++) {
      Machine machine = scan.get(start, i);
      if (!PlacementConstraints.allowsKind(job.spec(), machine)
          || !PlacementConstraints.allowsNow(job, machine)) {
        continue;
      }
      for (TaskAttempt replica : machine.attempts().values()) {
        if (!mayBeMovedFor(job, replica)) {
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

  private boolean mayBeMovedFor(Job job, TaskAttempt replica) {
    JobSpec spec = replica.job().spec();
    Resources availableAfterMove = capacity.availableOn(replica.machine()).copy();
    availableAfterMove.add(replica.job().spec());
    return !replica.stopping()
        && replica.stage() == TaskAttempt.Stage.RUNNING
        && spec.isService()
        && !spec.singleZone()
        && spec.priority() == job.spec().priority()
        && spec.team().equals(job.spec().team())
        && replica.stageSince().isBefore(context.now().minus(MIN_RUN_BEFORE_MOVE))
        && availableAfterMove.fits(job.spec());
  }

  private boolean reserveElsewhere(TaskAttempt replica) {
    for (Machine machine : context.machines()) {
      if (mayMoveTo(replica, machine) && capacity.availableOn(machine).fits(replica.job().spec())) {
        capacity.availableOn(machine).subtract(replica.job().spec());
        return true;
      }
    }
    return false;
  }

  /** Whether a replica could run on another machine without waiting for its image. */
  public static boolean mayMoveTo(TaskAttempt replica, Machine machine) {
    JobSpec spec = replica.job().spec();
    boolean zoneAllowed =
        machine.zone().equals(replica.machine().zone())
            || (!spec.singleZone()
                && (!spec.spreadAcrossZones()
                    || replica.job().attemptsInZone(machine.zone()) < spec.maxTasksPerZone()));
    return machine != replica.machine()
        && zoneAllowed
        && PlacementConstraints.allowsKind(spec, machine)
        && machine.images().contains(spec.image());
  }
}
