package io.pearscale.scheduler.agents;

import io.pearscale.protocol.AgentCommand;
import io.pearscale.protocol.Heartbeat;
import io.pearscale.protocol.Heartbeat.TaskStatus;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.TaskAttempt;
import io.pearscale.scheduler.model.TaskAttempt.Stage;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * Selects the stop commands that are due for an agent. A stop is due until a heartbeat shows that
 * the task has ended. Sending it once is not enough: a command may be lost, and the agent may
 * reject a heartbeat response that arrives too late.
 *
 * <p>Invariant: every heartbeat response that renews a machine's lease includes a stop for every
 * cancelled task that may be on the machine. Each response that the agent accepts therefore either
 * stops the task or does not renew its lease, which bounds how long a cancelled task can run.
 */
final class StopCommands {
  /** How long a sent stop may take to have an effect before a direct command repeats it. */
  private static final Duration RESEND_INTERVAL = Duration.ofSeconds(2);

  /** Extra time for a checkpoint beyond the duration that the job specifies. */
  private static final Duration CHECKPOINT_MARGIN = Duration.ofSeconds(2);

  private StopCommands() {}

  /**
   * Returns the stops to send to an agent now and marks them as sent.
   *
   * @param inHeartbeatResponse whether the stops are part of a heartbeat response, which renews the
   *     machine's lease
   */
  static List<AgentCommand> due(Machine machine, boolean inHeartbeatResponse, Instant now) {
    List<AgentCommand> stops = new ArrayList<>();
    machine.reportedAttempts().recordUnknownStopsSent(now);
    machine
        .reportedAttempts()
        .unknown()
        .keySet()
        .forEach(e -> stops.add(AgentCommand.stop(e.task(), e.attempt(), Duration.ZERO)));
    for (TaskAttempt attempt : machine.attempts().values()) {
      if (isDue(attempt, inHeartbeatResponse, now)) {
        stops.add(stopCommand(attempt));
        attempt.recordStopSent(now);
      }
    }
    return stops;
  }

  /**
   * Returns the stops for the heartbeat response to a machine that is not reconciled. The inventory
   * does not list the machine's tasks yet, but the heartbeat does, and the response renews the
   * lease for all of them.
   *
   * @param isLive tests whether the job with the given ID is unfinished
   */
  static List<AgentCommand> forUnreconciled(Heartbeat heartbeat, Predicate<String> isLive) {
    List<AgentCommand> stops = new ArrayList<>();
    for (TaskStatus status : heartbeat.tasks()) {
      if (status.stage() != Heartbeat.Stage.ENDED && !isLive.test(status.task().job())) {
        stops.add(AgentCommand.stop(status.task(), status.attempt(), Duration.ZERO));
      }
    }
    return stops;
  }

  /**
   * Returns whether a stop is due that was never sent, which justifies the cost of a direct
   * command.
   */
  static boolean hasUnsent(Machine machine) {
    return machine.reportedAttempts().unknown().containsValue(Instant.MIN)
        || machine.attempts().values().stream()
            .anyMatch(attempt -> attempt.stopping() && attempt.stopsSent() == 0);
  }

  private static boolean isDue(TaskAttempt attempt, boolean inHeartbeatResponse, Instant now) {
    if (!attempt.stopping() || attempt.number() < 0) {
      return false;
    }
    if (attempt.stopsSent() == 0 || (inHeartbeatResponse && !isCheckpointing(attempt))) {
      return true;
    }
    Duration resendAfter =
        isCheckpointing(attempt)
            ? RESEND_INTERVAL.plus(attempt.job().spec().checkpointDuration())
            : RESEND_INTERVAL;
    return Duration.between(attempt.lastStopSentAt(), now).compareTo(resendAfter) >= 0;
  }

  /**
   * Returns whether the task is taking the checkpoint that its stop requested. Another stop would
   * interrupt it.
   */
  private static boolean isCheckpointing(TaskAttempt attempt) {
    return attempt.stage() == Stage.CHECKPOINTING && !attempt.stopsWithoutCheckpoint();
  }

  /**
   * Creates the stop command. A task that has already used its checkpoint time gets no grace
   * period.
   */
  private static AgentCommand stopCommand(TaskAttempt attempt) {
    boolean mayStillCheckpoint =
        !attempt.stopsWithoutCheckpoint()
            && !attempt.job().spec().checkpointInterval().isZero()
            && (attempt.stopsSent() == 0 || attempt.stage() != Stage.CHECKPOINTING);
    Duration gracePeriod =
        mayStillCheckpoint
            ? attempt.job().spec().checkpointDuration().plus(CHECKPOINT_MARGIN)
            : Duration.ZERO;
    return AgentCommand.stop(attempt.task(), attempt.number(), gracePeriod);
  }
}
