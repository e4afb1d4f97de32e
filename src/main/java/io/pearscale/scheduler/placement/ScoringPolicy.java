package io.pearscale.scheduler.placement;

import io.pearscale.protocol.JobSpec;
import io.pearscale.protocol.MessageFields;
import io.pearscale.scheduler.model.Job;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.Resources;
import io.pearscale.scheduler.model.Tuning;
import java.util.Map;

/** The score of a machine for a task of a job; the lowest is the best. */
final class ScoringPolicy {
  private static final double MIN_TOTAL_TIME_S = 1e-3;

  private final PassContext context;
  private final Tuning tuning;
  private final PassCapacity capacity;

  ScoringPolicy(PassContext context, PassCapacity capacity) {
    this.context = context;
    this.tuning = context.tuning();
    this.capacity = capacity;
  }

  /**
   * Scores a machine that has capacity for the task.
   *
   * @param zoneShortfall how little capacity each zone has for such tasks
   */
  double score(Job job, Machine machine, Map<String, Double> zoneShortfall) {
    JobSpec spec = job.spec();
    return tuning.strandedWeight() * stranded(job, machine)
        + sameJobCost(job, machine) / Math.max(1, spec.tasks())
        + tuning.sameZoneWeight() * job.attemptsInZone(machine.zone()) / Math.max(1, spec.tasks())
        + tuning.zoneBalanceWeight() * zoneShortfall.getOrDefault(machine.zone(), 1.0)
        + tuning.cachedImageWeight()
            * fetchShare(job, machine)
            * competingFetches(spec.image(), machine)
        + (spec.spotAllowed() && !machine.spot() ? tuning.onDemandWeight() : 0)
        // A machine that just missed a direct command gets its starts with heartbeat responses
        // only, which is slow.
        + (context.now().isBefore(machine.reachability().directCommandsAfter())
            ? tuning.cachedImageWeight()
            : 0);
  }

  /**
   * Waiting tasks of a batch job are alike and would all go where the first one goes: what counts
   * is the capacity that is left after them.
   */
  private int expectedTasks(Job job, Machine machine) {
    return job.spec().isService()
        ? 1
        : Math.max(
            1,
            Math.min(capacity.availableOn(machine).countFitting(job.spec()), job.pendingTasks()));
  }

  private double stranded(Job job, Machine machine) {
    Resources available = capacity.availableOn(machine);
    JobSpec spec = job.spec();
    int tasks = expectedTasks(job, machine);
    double stranded =
        (available.cpus() - tasks * spec.cpus()) / Math.max(1e-9, machine.type().cpus());
    stranded +=
        (available.memoryGb() - tasks * spec.memoryGb())
            / Math.max(1e-9, machine.type().memoryGb());
    if (machine.type().gpus() > 0) {
      stranded += (available.gpus() - tasks * spec.gpus()) / machine.type().gpus();
    }
    return stranded;
  }

  /**
   * A service serves on when one machine is lost, so it spreads. A batch job is over with its last
   * task: the fewer machines it is on, the fewer jobs the loss of one makes late.
   */
  private double sameJobCost(Job job, Machine machine) {
    int onMachine = machine.attempts().countOf(job);
    return job.spec().isService()
        ? tuning.sameMachineWeight() * onMachine
        : -tuning.packingWeight() * (onMachine + expectedTasks(job, machine));
  }

  /**
   * How much of a task's time a fetch of its image would take: little for a long run, most of it
   * for a start that is expected at once. So a cached image doesn't break up whole machines in
   * vain.
   */
  private double fetchShare(Job job, Machine machine) {
    double fetchSeconds = MessageFields.seconds(machine.type().fetchTime(job.spec().imageGb()));
    double runSeconds =
        job.spec().isService() ? 1 : MessageFields.seconds(job.spec().estimatedDuration());
    if (job.spec().isGang()) {
      runSeconds =
          context.startObjective().apply(job.spec()).map(MessageFields::seconds).orElse(runSeconds);
    }
    return fetchSeconds / Math.max(MIN_TOTAL_TIME_S, fetchSeconds + runSeconds);
  }

  /** How many fetches would share the rate with the image's own; -1 if that is cached. */
  private static int competingFetches(String image, Machine machine) {
    return machine.images().contains(image) ? -1 : machine.otherImageFetches(image);
  }
}
