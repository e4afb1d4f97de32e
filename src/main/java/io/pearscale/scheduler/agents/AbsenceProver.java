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
 * Concludes from a heartbeat which attempts are not on its machine.
 *
 * <p>Invariant: an attempt that a heartbeat does not list is absent only if no start command of it
 * can still be executed. That is so when the attempt was started in an earlier incarnation, which
 * has ended with all its tasks; when a message has shown the attempt before, since an agent lists
 * it from its start until it was told to forget it; and when the heartbeat shows a higher fencing
 * token than any start of it carried, since the agent refuses those from then on.
 */
final class AbsenceProver {
  private final MachineInventory inventory;

  AbsenceProver(MachineInventory inventory) {
    this.inventory = inventory;
  }

  /**
   * Removes attempts that are proved to be absent.
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
      } else if (attempt.observed() || attempt.startToken() < heartbeat.fencingToken()) {
        inventory.remove(attempt, AbsenceProof.NOT_REPORTED);
      }
    }
  }
}
