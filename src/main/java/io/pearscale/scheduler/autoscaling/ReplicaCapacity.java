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
 * Capacity that the replicas of machines to be emptied could be relocated to. Both the number of
 * machines to be emptied and the number of machines to check for each grow with the fleet, so the
 * checks of one plan are bounded in proportion to the fleet's size: what is not found by then is
 * left for the next plan.
 */
final class ReplicaCapacity {
  /** Checks that a plan may take for each machine of the fleet. */
  private static final int CHECKS_PER_MACHINE = 32;

  /** Checks that a plan may take in any fleet: a small one is searched as a whole. */
  private static final int MIN_CHECKS = 10_000;

  private final Set<Machine> machines;
  private final Map<Machine, Resources> available = new HashMap<>();
  private int checksLeft;

  /** Begins with what is available on machines that tasks may be placed on. */
  ReplicaCapacity(Collection<Machine> schedulable) {
    machines = new LinkedHashSet<>(schedulable);
    checksLeft = Math.max(MIN_CHECKS, CHECKS_PER_MACHINE * schedulable.size());
  }

  /** A machine that is to be emptied takes no replicas. */
  void remove(Machine machine) {
    machines.remove(machine);
  }

  /** Checks that this plan may still take. */
  int checksLeft() {
    return checksLeft;
  }

  /**
   * Reserves capacity for each replica of the machine on another one that has its image.
   *
   * @return whether all replicas have a place; if not, what was reserved stays reserved
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
        && !attempt.stageSince().isAfter(now.minus(ReplicaRelocation.MIN_RUN_BEFORE_MOVE));
  }

  private boolean reserve(TaskAttempt attempt) {
    for (Machine other : machines) {
      if (checksLeft <= 0) {
        return false;
      }
      checksLeft--;
      if (ReplicaRelocation.mayMoveTo(attempt, other)
          && available.computeIfAbsent(other, Machine::available).fits(attempt.job().spec())) {
        available.get(other).subtract(attempt.job().spec());
        return true;
      }
    }
    return false;
  }
}
