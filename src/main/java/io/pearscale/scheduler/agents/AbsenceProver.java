package io.pearscale.scheduler.agents;

import io.pearscale.protocol.Heartbeat;
import io.pearscale.scheduler.model.AbsenceProof;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.MachineInventory;
import io.pearscale.scheduler.model.TaskAttempt;
import io.pearscale.scheduler.model.TaskAttempt.Stage;
import java.util.List;
import java.util.Set;

/**
 * Derives from a heartbeat which attempts are absent from its machine.
 *
 * <p>Invariant: an attempt that a heartbeat does not list is absent only if the agent can no longer
 * execute a start command for it, including copies of starts that it has executed before. This
 * holds in two cases:
 *
 * <ul>
 *   <li>The attempt was started in an earlier incarnation, which ended together with its tasks.
 *   <li>The heartbeat shows a higher fencing token than any start command for the attempt carried.
 *       From then on the agent refuses those commands.
 * </ul>
 *
 * <p>That an earlier message listed the attempt is no proof: an agent that has lost a task, but not
 * its incarnation and its token, would execute a copy of the start.
 */
final class AbsenceProver {
  private final MachineInventory inventory;

  AbsenceProver(MachineInventory inventory) {
    this.inventory = inventory;
  }

  /**
   * Removes the attempts that the heartbeat proves to be absent. For an attempt whose absence only
   * a higher fencing token can prove, the machine's token is incremented.
   *
   * @param present the attempts that the heartbeat lists as present
   */
  void removeAbsent(Machine machine, Heartbeat heartbeat, Set<TaskAttempt> present) {
    for (TaskAttempt attempt : List.copyOf(machine.attempts().values())) {
      if (attempt.stage() == Stage.PLANNED || present.contains(attempt)) {
        continue;
      }
      if (attempt.startIncarnation() < heartbeat.incarnation()) {
        inventory.remove(attempt, AbsenceProof.LATER_INCARNATION);
      } else if (attempt.startToken() < heartbeat.fencingToken()) {
        inventory.remove(attempt, AbsenceProof.NOT_REPORTED);
      } else if (needsHigherToken(attempt)) {
        machine.fencing().raiseAbove(attempt.startToken());
      }
    }
  }

  /**
   * Returns whether only a higher fencing token can end the wait for an attempt that a heartbeat
   * does not list. A start that is not to be stopped is sent again instead, and one that a call in
   * flight carries has its outcome with the reply.
   */
  private static boolean needsHigherToken(TaskAttempt attempt) {
    boolean startInDoubt =
        attempt.stopping() && !attempt.machine().reachability().commandInFlight();
    return attempt.observed() || startInDoubt;
  }
}
