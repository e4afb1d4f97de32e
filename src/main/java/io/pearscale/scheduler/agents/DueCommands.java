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
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Selects the commands that are due for an agent: stops, starts of attempts whose placement records
 * are durable and whose resources are available, and ended attempts that the agent may forget. It
 * does not send them. Returned commands count as sent: attempts are updated, and the machine's
 * fencing token is incremented if a command requires a higher one. The token is settled before any
 * command is selected, since every start records it.
 */
final class DueCommands {
  private final Leadership leadership;
  private final JobTable jobs;

  DueCommands(Leadership leadership, JobTable jobs) {
    this.leadership = leadership;
    this.jobs = jobs;
  }

  /**
   * Returns all commands to send to the agent now, with the token under which they must be sent.
   *
   * @param inHeartbeatResponse whether the commands are part of a heartbeat response, which renews
   *     the machine's lease
   */
  CommandBatch take(Machine machine, boolean inHeartbeatResponse, Instant now) {
    Set<AttemptId> forgettable = forgettableAttempts(machine);
    long token = settleToken(machine, forgettable);
    List<AgentCommand> commands = StopCommands.due(machine, inHeartbeatResponse, now);
    if (inHeartbeatResponse) {
      resendLostStarts(machine, token, commands);
    }
    forgettable.forEach(ended -> commands.add(AgentCommand.forget(ended.task(), ended.attempt())));
    addStarts(machine, token, forgettable, commands);
    return new CommandBatch(token, machine.lease().incarnation(), commands);
  }

  /** Returns whether a due command should be sent directly, not just in a heartbeat response. */
  static boolean needDirectCommand(Machine machine) {
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

  /** Returns whether a command is due now, or will be once its placement record is durable. */
  static boolean arePending(Machine machine) {
    return machine.attempts().values().stream().anyMatch(a -> a.stage() == Stage.PLANNED)
        || needDirectCommand(machine);
  }

  /**
   * Adds starts that were sent but are presumed lost. An agent ignores a start of an attempt that
   * it knows, so a delayed start cannot make the same attempt run twice.
   */
  private void resendLostStarts(Machine machine, long token, List<AgentCommand> commands) {
    for (TaskAttempt attempt : machine.attempts().values()) {
      boolean presumedLost =
          attempt.stage() == Stage.START_SENT
              && !attempt.observed()
              && !attempt.stopping()
              && !machine.reachability().commandInFlight();
      if (presumedLost && leadership.mayStartTasks()) {
        attempt.recordStartResent(token, machine.lease().incarnation());
        commands.add(AgentCommand.start(attempt.task(), attempt.number()));
      }
    }
  }

  /**
   * Returns the ended attempts that the agent may forget now: all but those whose completion would
   * be lost with the agent's report.
   *
   * <p>Invariant: after an agent has forgotten an attempt, it cannot execute a start command for
   * that attempt. It would treat one as new, whether that start is in flight, has an unknown
   * outcome, or is a copy of one that it has executed and answered, which may arrive minutes later.
   * The forget command therefore carries a higher fencing token than any start of the attempt,
   * however the attempt ended, and the agent refuses those starts from then on.
   */
  private Set<AttemptId> forgettableAttempts(Machine machine) {
    Set<AttemptId> forgettable = new LinkedHashSet<>();
    for (AttemptId attempt : machine.reportedAttempts().ended().keySet()) {
      if (!isCompletionNotDurable(attempt)) {
        forgettable.add(attempt);
      }
    }
    return forgettable;
  }

  /**
   * Returns the token of the next message: the current one, or an incremented one if an attempt to
   * be forgotten requires it.
   */
  private static long settleToken(Machine machine, Set<AttemptId> forgettable) {
    Map<AttemptId, Long> startTokens = machine.reportedAttempts().ended();
    return forgettable.stream()
        .map(startTokens::get)
        .max(Comparator.naturalOrder())
        .map(machine.fencing()::raiseAbove)
        .orElse(machine.fencing().current());
  }

  /** Returns whether the completion of the task is durable only on the agent so far. */
  private boolean isCompletionNotDurable(AttemptId attempt) {
    Job job = jobs.get(attempt.task().job());
    int index = attempt.task().index();
    return job != null && job.isDone(index) && !job.isDurablyDone(index);
  }

  /** Adds starts of planned attempts for which the machine has available resources. */
  private void addStarts(
      Machine machine, long token, Set<AttemptId> forgotten, List<AgentCommand> commands) {
    if (!mayStartOn(machine)) {
      return;
    }
    Resources available = null;
    for (TaskAttempt attempt : List.copyOf(machine.attempts().values())) {
      if (!isStartDurable(attempt) || waitsForEndedAttempt(machine, attempt, forgotten)) {
        continue;
      }
      if (available == null) {
        available = machine.physicallyAvailable();
      }
      if (!available.fits(attempt.spec()) || !leadership.mayStartTasks()) {
        continue;
      }
      available.subtract(attempt.spec());
      attempt.recordStartSent(token, machine.lease().incarnation());
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
   * Returns whether the next leader would know the machine of the attempt. A start is sent only
   * then; otherwise the next leader might start the task a second time on another machine.
   */
  private static boolean isStartDurable(TaskAttempt attempt) {
    return attempt.stage() == Stage.PLANNED
        && attempt.placementRecorded()
        && GangTracker.mayStart(attempt.job());
  }

  /**
   * Returns whether the start has to wait for an ended attempt of the same task that the agent
   * still lists. The agent may refuse the start unless the same message tells it to forget that
   * attempt. An attempt of a gang may have the same number as the ended one. It waits until the
   * agent no longer lists that: a report of the end of the one would otherwise seem to be about the
   * other, whose start may still be in flight.
   */
  private static boolean waitsForEndedAttempt(
      Machine machine, TaskAttempt attempt, Set<AttemptId> forgotten) {
    return machine.reportedAttempts().ended().keySet().stream()
        .filter(ended -> ended.task().equals(attempt.task()))
        .anyMatch(ended -> ended.attempt() == attempt.number() || !forgotten.contains(ended));
  }
}
