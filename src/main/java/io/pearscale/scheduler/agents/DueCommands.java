package io.pearscale.scheduler.agents;

import io.pearscale.protocol.AgentCommand;
import io.pearscale.scheduler.model.AttemptId;
import io.pearscale.scheduler.model.GangTracker;
import io.pearscale.scheduler.model.Job;
import io.pearscale.scheduler.model.JobTable;
import io.pearscale.scheduler.model.Leadership;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.Machine.Lifecycle;
import io.pearscale.scheduler.model.Resources;
import io.pearscale.scheduler.model.TaskAttempt;
import io.pearscale.scheduler.model.TaskAttempt.Stage;
import java.time.Instant;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides which commands an agent is due: the stops that it owes, starts of attempts whose
 * placement records are durable and whose resources are free, and ended attempts that it may
 * forget. Sends nothing. What is returned counts as sent: attempts are marked, and the machine's
 * fencing token is incremented where a command needs a higher one.
 */
final class DueCommands {
  private final Leadership leadership;
  private final JobTable jobs;

  DueCommands(Leadership leadership, JobTable jobs) {
    this.leadership = leadership;
    this.jobs = jobs;
  }

  /**
   * All commands that the agent is to get now, in the order in which it is to execute them.
   *
   * @param inHeartbeatResponse whether they go with a response that renews the machine's lease
   */
  List<AgentCommand> take(Machine machine, boolean inHeartbeatResponse, Instant now) {
    List<AgentCommand> commands = StopCommands.due(machine, inHeartbeatResponse, now);
    if (inHeartbeatResponse) {
      addLostStarts(machine, commands);
    }
    Set<AttemptId> forgotten = takeForgettable(machine);
    forgotten.forEach(ended -> commands.add(AgentCommand.forget(ended.task(), ended.attempt())));
    addStarts(machine, forgotten, commands);
    return commands;
  }

  /** Whether something is due that is worth a direct command, and not only a heartbeat response. */
  static boolean justifyDirectCommand(Machine machine) {
    if (StopCommands.hasUnsent(machine)) {
      return true;
    }
    for (TaskAttempt attempt : machine.attempts().values()) {
      if (attempt.stage() == Stage.PLANNED
          && attempt.placementRecorded()
          && machine.record().isRecorded()) {
        return true;
      }
    }
    return false;
  }

  /** Whether something is due now, or will be once its placement record is durable. */
  static boolean remain(Machine machine) {
    return machine.attempts().values().stream().anyMatch(a -> a.stage() == Stage.PLANNED)
        || justifyDirectCommand(machine);
  }

  /**
   * Adds starts that seem to be lost. An agent ignores a start of an attempt that it knows, so the
   * same attempt can't run twice, whatever comes late.
   */
  private void addLostStarts(Machine machine, List<AgentCommand> commands) {
    for (TaskAttempt attempt : machine.attempts().values()) {
      boolean seemsLost =
          attempt.stage() == Stage.START_SENT
              && !attempt.observed()
              && !attempt.stopping()
              && !machine.reachability().commandInFlight();
      if (seemsLost && leadership.mayStartTasks()) {
        attempt.recordStartResent(machine.fencing().current(), machine.lease().incarnation());
        commands.add(AgentCommand.start(attempt.task(), attempt.number()));
      }
    }
  }

  /**
   * Ended attempts that the agent may forget now.
   *
   * <p>Invariant: after an agent has forgotten an attempt, no start command of it can be executed.
   * An agent that has forgotten an attempt would take a late start of it for a new one, be its
   * outcome unknown, or be it in flight or a copy. So the command that makes it forget carries a
   * higher fencing token than any start of the attempt did: from then on the agent refuses those.
   * Only what completed may be started again: it stays completed.
   */
  private Set<AttemptId> takeForgettable(Machine machine) {
    Set<AttemptId> forgettable = new LinkedHashSet<>();
    for (Map.Entry<AttemptId, Long> entry : machine.reportedAttempts().ended().entrySet()) {
      AttemptId attempt = entry.getKey();
      long highestStartToken = entry.getValue();
      if (isCompletionNotDurable(attempt)) {
        continue;
      }
      boolean completed = highestStartToken < 0;
      boolean startMayBeUnderWay =
          machine.reachability().commandInFlight() || machine.fencing().isCommandOutcomeUnknown();
      if (completed && startMayBeUnderWay) {
        continue;
      }
      if (machine.fencing().current() <= highestStartToken) {
        machine.fencing().increment();
      }
      forgettable.add(attempt);
    }
    return forgettable;
  }

  /** Whether the agent is the only one that knows durably that the task completed. */
  private boolean isCompletionNotDurable(AttemptId attempt) {
    Job job = jobs.get(attempt.task().job());
    int index = attempt.task().index();
    return job != null && job.isDone(index) && !job.isDurablyDone(index);
  }

  /** Adds starts of planned attempts, as far as the machine's free resources allow. */
  private void addStarts(Machine machine, Set<AttemptId> forgotten, List<AgentCommand> commands) {
    if (!mayStartOn(machine)) {
      return;
    }
    Resources available = null;
    for (TaskAttempt attempt : List.copyOf(machine.attempts().values())) {
      if (!isStartDurable(attempt) || mayBeRefusedAsBusy(machine, attempt, forgotten)) {
        continue;
      }
      if (available == null) {
        available = machine.physicallyAvailable();
      }
      if (!available.fits(attempt.spec()) || !leadership.mayStartTasks()) {
        continue;
      }
      available.subtract(attempt.spec());
      attempt.recordStartSent(machine.fencing().current(), machine.lease().incarnation());
      commands.add(AgentCommand.start(attempt.task(), attempt.number()));
    }
  }

  private static boolean mayStartOn(Machine machine) {
    return machine.record().isRecorded()
        && machine.lifecycle() == Lifecycle.UP
        && machine.reconciled()
        && !machine.leaseExpired();
  }

  /**
   * Whether a successor would know where the attempt may be. A start is never sent before, since
   * the successor would otherwise take the task to be nowhere and start it again.
   */
  private static boolean isStartDurable(TaskAttempt attempt) {
    return attempt.stage() == Stage.PLANNED
        && attempt.placementRecorded()
        && GangTracker.mayStart(attempt.job());
  }

  /** Whether the agent still knows another attempt of the task, and might refuse this one. */
  private static boolean mayBeRefusedAsBusy(
      Machine machine, TaskAttempt attempt, Set<AttemptId> forgotten) {
    return machine.reportedAttempts().ended().keySet().stream()
        .anyMatch(ended -> ended.task().equals(attempt.task()) && !forgotten.contains(ended));
  }
}
