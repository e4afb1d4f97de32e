package io.pearscale.scheduler;

import io.pearscale.protocol.JobSpec;
import io.pearscale.scheduler.Machine.Resources;
import io.pearscale.scheduler.Placer.Choice;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Moves one replica of equal priority out of the way, when it has a place to go that already has
 * its image: a job that must spread can't go anywhere else, while the replica that fills its zone
 * often can. The move costs a moment of one replica, waiting would cost the whole time.
 */
final class ReplicaRelocation {
  /** A replica that has run for less is not moved: its start would have been in vain. */
  static final Duration SETTLED = Duration.ofSeconds(40);

  private final PlacementInput input;
  private final PassCapacity rooms;
  private final Supplier<RandomizedMachineScan> order;

  ReplicaRelocation(
      PlacementInput input, PassCapacity rooms, Supplier<RandomizedMachineScan> order) {
    this.input = input;
    this.rooms = rooms;
    this.order = order;
  }

  /** Books the room of a replica that moves on. */
  Optional<Choice> makeWay(Job job) {
    if (!job.spec.isService()) {
      return Optional.empty();
    }
    RandomizedMachineScan machines = order.get();
    int start = machines.start();
    int asked = 0;
    for (int i = 0; i < machines.size() && asked < input.tuning().sampleSize(); i++) {
      Machine machine = machines.get(start, i);
      if (!job.spec.allows(machine.type, machine.zone, machine.spot)
          || !Placer.allowedNow(job, machine)) {
        continue;
      }
      for (TaskAttempt replica : machine.attempts.values()) {
        if (!isMovable(job, replica)) {
          continue;
        }
        asked++;
        if (takesOtherPlace(replica)) {
          Choice choice = new Choice(machine, List.of(replica));
          rooms.book(job, choice);
          return Optional.of(choice);
        }
      }
    }
    return Optional.empty();
  }

  private boolean isMovable(Job job, TaskAttempt replica) {
    JobSpec spec = replica.job.spec;
    Resources trial = rooms.of(replica.machine).copy();
    trial.add(replica.job);
    return !replica.stopping
        && replica.stage == TaskAttempt.Stage.RUNNING
        && spec.isService()
        && !spec.singleZone()
        && spec.priority() == job.spec.priority()
        && spec.team().equals(job.spec.team())
        && replica.stageSince.isBefore(input.now().minus(SETTLED))
        && trial.fits(job);
  }

  private boolean takesOtherPlace(TaskAttempt replica) {
    for (Machine machine : input.machines()) {
      if (mayMoveTo(replica, machine) && rooms.of(machine).fits(replica.job)) {
        rooms.of(machine).subtract(replica.job);
        return true;
      }
    }
    return false;
  }

  /** Whether a replica could run on another machine without waiting for its image. */
  static boolean mayMoveTo(TaskAttempt replica, Machine machine) {
    JobSpec spec = replica.job.spec;
    boolean zoneFree =
        machine.zone.equals(replica.machine.zone)
            || (!spec.singleZone()
                && (!spec.spreadAcrossZones()
                    || replica.job.attemptsInZone(machine.zone) < spec.maxTasksPerZone()));
    return machine != replica.machine
        && zoneFree
        && spec.allows(machine.type, machine.zone, machine.spot)
        && machine.cachedImages.containsKey(spec.image());
  }
}
