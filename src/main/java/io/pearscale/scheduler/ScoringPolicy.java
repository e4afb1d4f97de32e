package io.pearscale.scheduler;

import io.pearscale.protocol.JobSpec;
import io.pearscale.protocol.MessageFields;
import io.pearscale.scheduler.Machine.Resources;
import java.util.Map;

/** The score of a machine for a task of a job; the lowest is the best. */
final class ScoringPolicy {
  private static final double SHORTEST_TIME = 1e-3;

  private final PlacementInput input;
  private final Tuning tuning;
  private final PassCapacity rooms;

  ScoringPolicy(PlacementInput input, PassCapacity rooms) {
    this.input = input;
    this.tuning = input.tuning();
    this.rooms = rooms;
  }

  /**
   * Scores a machine that has room for the task.
   *
   * @param crowding how little room each zone has for such tasks
   */
  double of(Job job, Machine machine, Map<String, Double> crowding) {
    JobSpec spec = job.spec;
    return tuning.strandedWeight() * stranded(job, machine)
        + mates(job, machine) / Math.max(1, spec.tasks())
        + tuning.sameZoneWeight() * job.attemptsInZone(machine.zone) / Math.max(1, spec.tasks())
        + tuning.zoneBalanceWeight() * crowding.getOrDefault(machine.zone, 1.0)
        + tuning.cachedImageWeight()
            * fetchShare(job, machine)
            * fetchesInTheWay(spec.image(), machine)
        + (spec.spotAllowed() && !machine.spot ? tuning.onDemandWeight() : 0)
        // A machine that just missed a direct command gets its starts by report only, which is
        // slow.
        + (input.now().isBefore(machine.directCommandsAfter) ? tuning.cachedImageWeight() : 0);
  }

  /**
   * Waiting tasks of a batch job are alike and would all go where the first one goes: what counts
   * is the room that is left after them.
   */
  private int coming(Job job, Machine machine) {
    return job.spec.isService()
        ? 1
        : Math.max(1, Math.min(rooms.of(machine).countFitting(job), job.pendingTasks()));
  }

  private double stranded(Job job, Machine machine) {
    Resources room = rooms.of(machine);
    JobSpec spec = job.spec;
    int coming = coming(job, machine);
    double stranded = (room.cpus - coming * spec.cpus()) / Math.max(1e-9, machine.type.cpus());
    stranded +=
        (room.memoryGb - coming * spec.memoryGb()) / Math.max(1e-9, machine.type.memoryGb());
    if (machine.type.gpus() > 0) {
      stranded += (room.gpus - coming * spec.gpus()) / machine.type.gpus();
    }
    return stranded;
  }

  /**
   * A service serves on when one machine is lost, so it spreads. A batch job is over with its last
   * task: the fewer machines it is on, the fewer jobs the loss of one makes late.
   */
  private double mates(Job job, Machine machine) {
    int onMachine = 0;
    for (TaskAttempt attempt : machine.attempts.values()) {
      if (attempt.job == job) {
        onMachine++;
      }
    }
    return job.spec.isService()
        ? tuning.sameMachineWeight() * onMachine
        : -tuning.packingWeight() * (onMachine + coming(job, machine));
  }

  /**
   * How much of a task's time a fetch of its image would take: little for a long run, most of it
   * for a start that is expected at once. So a cached image doesn't break up whole machines in
   * vain.
   */
  private double fetchShare(Job job, Machine machine) {
    double fetch = MessageFields.seconds(machine.type.fetchTime(job.spec.imageGb()));
    double run = job.spec.isService() ? 1 : MessageFields.seconds(job.spec.estimatedDuration());
    if (job.spec.isGang()) {
      run = input.startWithin().apply(job.spec).map(MessageFields::seconds).orElse(run);
    }
    return fetch / Math.max(SHORTEST_TIME, fetch + run);
  }

  /** How many fetches would share the rate with the image's own; -1 if that is cached. */
  private static int fetchesInTheWay(String image, Machine machine) {
    return machine.cachedImages.containsKey(image) ? -1 : machine.otherImageFetches(image);
  }
}
