package io.pearscale.scheduler.autoscaling;

import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.Resources;
import io.pearscale.scheduler.model.TaskAttempt;
import io.pearscale.scheduler.placement.ReplicaRelocation;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Reserves capacity to which the replicas of machines to be emptied can be relocated. Both the
 * number of machines to empty and the number of machines to check for each grow with the fleet. The
 * number of checks in one plan is therefore limited to a multiple of the fleet size; otherwise it
 * would grow with its square. Replicas without a target at that point are left for the next plan.
 */
final class ReplicaCapacity {
  /** Maximum number of checks in one plan for each machine of the fleet. */
  private static final int CHECKS_PER_MACHINE = 32;

  /** Number of checks that is always allowed, so that a small fleet is searched completely. */
  private static final int MIN_CHECKS = 10_000;

  private final Set<Machine> machines;
  private final Map<Machine, Resources> available = new HashMap<>();
  private int checksLeft;

  /** Starts with the available resources of all machines on which tasks may be placed. */
  ReplicaCapacity(Collection<Machine> schedulable) {
    machines = new LinkedHashSet<>(schedulable);
    checksLeft = Math.max(MIN_CHECKS, CHECKS_PER_MACHINE * schedulable.size());
  }

  /** Excludes a machine that is to be emptied from receiving replicas. */
  void remove(Machine machine) {
    machines.remove(machine);
  }

  /** Returns how many more checks this plan allows. */
  int checksLeft() {
    return checksLeft;
  }

  /**
   * Reserves capacity for each replica of the machine on another machine that has its image.
   *
   * @return whether capacity was found for all replicas; if not, partial reservations are kept
   */
  boolean reserveForReplicasOf(Machine machine, Instant now) {
    for (TaskAttempt attempt : machine.attempts().values()) {
      if (attempt.job().spec().isService() && !(isStable(attempt, now) && reserve(attempt))) {
        return false;
      }
    }
    return true;
  }

  private static boolean isStable(TaskAttempt attempt, Instant now) {
    return attempt.stage() == TaskAttempt.Stage.RUNNING
        && !attempt.stageSince().isAfter(now.minus(ReplicaRelocation.MIN_RUN_BEFORE_RELOCATION));
  }

  private boolean reserve(TaskAttempt attempt) {
    for (Machine other : machines) {
      if (checksLeft <= 0) {
        return false;
      }
      checksLeft--;
      if (ReplicaRelocation.mayRelocateTo(attempt, other)
          && available.computeIfAbsent(other, Machine::available).fits(attempt.job().spec())) {
        available.get(other).subtract(attempt.job().spec());
        return true;
      }
    }
    return false;
  }
}
