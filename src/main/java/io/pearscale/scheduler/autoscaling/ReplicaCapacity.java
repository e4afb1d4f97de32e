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
 * Room that the replicas of machines to be emptied could move to. Both how many machines are asked
 * about and how many have to be looked at for each grow with the fleet, so that the looks of one
 * plan are bounded by the fleet's size: what is not found by then is left for the next plan.
 */
public final class ReplicaCapacity {
  private static final int CHECKS_PER_MACHINE = 32;

  /** A small fleet is looked through as a whole. */
  private static final int MIN_CHECKS = 10_000;

  private final Set<Machine> machines;
  private final Map<Machine, Resources> available = new HashMap<>();
  private int checksLeft;

  /** Begins with the room of machines that may take tasks. */
  public ReplicaCapacity(Collection<Machine> schedulable) {
    machines = new LinkedHashSet<>(schedulable);
    checksLeft = Math.max(MIN_CHECKS, CHECKS_PER_MACHINE * schedulable.size());
  }

  /** A machine that is to be emptied is no place to move to. */
  public void remove(Machine machine) {
    machines.remove(machine);
  }

  /** Looks that this plan may still take. */
  public int checksLeft() {
    return checksLeft;
  }

  /**
   * Whether each replica of the machine could go to one of the others that has its image; if so,
   * their room is taken.
   */
  public boolean reserveForReplicasOf(Machine machine, Instant now) {
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
