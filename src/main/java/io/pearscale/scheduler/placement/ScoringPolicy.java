package io.pearscale.scheduler.placement;

import io.pearscale.protocol.JobSpec;
import io.pearscale.protocol.MessageFields;
import io.pearscale.scheduler.model.Job;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.Resources;
import io.pearscale.scheduler.model.Tuning;
import java.util.Map;

/** Scores machines for a task; the lowest score is the best. */
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
   * @param zoneShortfall each zone's capacity shortfall for such tasks, from 0 to 1
   */
  double score(Job job, Machine machine, Map<String, Double> zoneShortfall) {
    JobSpec spec = job.spec();
    return tuning.strandedWeight() * strandedShare(job, machine)
        + sameJobCost(job, machine) / Math.max(1, spec.tasks())
        + tuning.sameZoneWeight() * job.attemptsInZone(machine.zone()) / Math.max(1, spec.tasks())
        + tuning.zoneBalanceWeight() * zoneShortfall.getOrDefault(machine.zone(), 1.0)
        + tuning.cachedImageWeight()
            * fetchShare(job, machine)
            * competingFetches(spec.image(), machine)
        + (spec.spotAllowed() && !machine.spot() ? tuning.onDemandWeight() : 0)
        // While direct commands to a machine are paused, it receives starts only in heartbeat
        // responses, which is slow.
        + (context.now().isBefore(machine.reachability().directCommandsAfter())
            ? tuning.cachedImageWeight()
            : 0);
  }

  /**
   * Returns how many tasks of the job are expected on the machine. The waiting tasks of a batch job
   * are identical and would all be placed on the same machine, so the score uses the capacity that
   * remains after all of them.
   */
  private int expectedTasks(Job job, Machine machine) {
    return job.spec().isService()
        ? 1
        : Math.max(
            1,
            Math.min(capacity.availableOn(machine).countFitting(job.spec()), job.pendingTasks()));
  }

  private double strandedShare(Job job, Machine machine) {
    Resources available = capacity.availableOn(machine);
    JobSpec spec = job.spec();
    int tasks = expectedTasks(job, machine);
    double share = (available.cpus() - tasks * spec.cpus()) / Math.max(1e-9, machine.type().cpus());
    share +=
        (available.memoryGb() - tasks * spec.memoryGb())
            / Math.max(1e-9, machine.type().memoryGb());
    if (machine.type().gpus() > 0) {
      share += (available.gpus() - tasks * spec.gpus()) / machine.type().gpus();
    }
    return share;
  }

  /**
   * Returns the cost of other tasks of the job on the machine. The replicas of a service are spread
   * over machines, so that the service survives the loss of one. A batch job finishes with its last
   * task, so its tasks are packed: the fewer machines a job uses, the fewer jobs the loss of a
   * machine delays.
   */
  private double sameJobCost(Job job, Machine machine) {
    int onMachine = machine.attempts().countOf(job);
    return job.spec().isService()
        ? tuning.sameMachineWeight() * onMachine
        : -tuning.packingWeight() * (onMachine + expectedTasks(job, machine));
  }

  /**
   * Returns the share of a task's time that fetching its image would take: small for a long run,
   * and large for a task that should start immediately. A cached image therefore does not fragment
   * an empty machine for little benefit.
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

  /**
   * Returns how many image fetches would share the bandwidth with this one; -1 if the image is
   * cached, so that the score improves.
   */
  private static int competingFetches(String image, Machine machine) {
    return machine.images().contains(image) ? -1 : machine.otherImageFetches(image);
  }
}
