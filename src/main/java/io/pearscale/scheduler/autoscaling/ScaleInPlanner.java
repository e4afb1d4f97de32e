package io.pearscale.scheduler.autoscaling;

import io.pearscale.scheduler.autoscaling.Autoscaler.ScalingPlan;
import io.pearscale.scheduler.model.JobClasses;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.TaskAttempt;
import io.pearscale.scheduler.model.Tuning;
import java.time.Duration;
import java.time.Instant;
import java.util.List;

/**
 * Plans which machines to release, and which replicas to relocate from machines before their
 * release. The scheduler places new tasks on scale-in candidates only as a last resort, so these
 * machines become empty.
 */
final class ScaleInPlanner {
  /** Interval between rounds of replica relocations. */
  private static final Duration RELOCATION_INTERVAL = Duration.ofSeconds(3);

  /** A machine is not released before this age, because that time is billed in any case. */
  private static final Duration MIN_MACHINE_AGE = Duration.ofSeconds(60);

  private final Tuning tuning;
  private final JobClasses classes;
  private Instant nextRelocationsAt = Instant.MIN;

  /** Relocations that may still start in the current round. */
  private int remainingRelocations;

  ScaleInPlanner(Tuning tuning, JobClasses classes) {
    this.tuning = tuning;
    this.classes = classes;
  }

  /**
   * Adds the machines to release and the replicas to relocate to the plan, and updates which
   * machines are marked as scale-in candidates.
   *
   * @param schedulable machines on which tasks may be placed
   * @param lacksCapacity whether the last scheduling pass found no machine for at least one task
   */
  void addTo(
      ScalingPlan plan,
      List<Machine> schedulable,
      boolean lacksCapacity,
      Headroom headroom,
      Instant now) {
    IdleMachineSelector selector =
        new IdleMachineSelector(schedulable, lacksCapacity, headroom, tuning, classes);
    if (!now.isBefore(nextRelocationsAt)) {
      nextRelocationsAt = now.plus(RELOCATION_INTERVAL);
      remainingRelocations = selector.maxSelectedWithReplicas();
    }
    for (IdleMachineSelector.Candidate candidate : selector.candidates()) {
      Machine machine = candidate.machine();
      if (!selector.select(candidate, now)) {
        machine.cloud().clearScaleInCandidate();
        continue;
      }
      machine.cloud().markScaleInCandidate(now);
      Instant releasableAfter =
          machine.cloud().scaleInCandidateSince().plus(tuning.scaleInAfterIdle());
      if (now.isAfter(releasableAfter)) {
        release(candidate, plan, now);
      }
    }
  }

  /** Releases a machine after its idle time has passed; relocates its replicas first. */
  private void release(IdleMachineSelector.Candidate candidate, ScalingPlan plan, Instant now) {
    Machine machine = candidate.machine();
    if (candidate.replicas() > 0) {
      relocateOneReplica(machine, plan);
    } else if (machine.attempts().isEmpty()
        && now.isAfter(machine.provisionedAt().plus(MIN_MACHINE_AGE))) {
      plan.scaleIn().add(machine);
    }
  }

  private void relocateOneReplica(Machine machine, ScalingPlan plan) {
    if (remainingRelocations <= 0) {
      return;
    }
    for (TaskAttempt attempt : machine.attempts().values()) {
      if (attempt.spec().isService() && !attempt.stopping()) {
        remainingRelocations--;
        plan.relocations().add(attempt);
        return;
      }
    }
  }
}
