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
 * Decides which stop commands an agent is due. A stop is due until a heartbeat shows that the task
 * has ended: that it was sent once proves nothing, since a command may get lost and a heartbeat
 * response may come too late to be accepted.
 *
 * <p>Invariant: every heartbeat response that renews a machine's lease carries the stop of every
 * cancelled task that the machine may hold. So whatever the agent accepts either stops the task or
 * does not renew its lease, which bounds how long a cancelled task can go on.
 */
final class StopCommands {
  /** A stop that is sent again in a direct command waits for its effect for so long. */
  private static final Duration RESEND_INTERVAL = Duration.ofSeconds(2);

  /** Time that a stopped task gets for its checkpoint beyond what its job names. */
  private static final Duration CHECKPOINT_MARGIN = Duration.ofSeconds(2);

  private StopCommands() {}

  /**
   * The stops that an agent is to get now; they count as sent from here on.
   *
   * @param inHeartbeatResponse whether they go with a response that renews the machine's lease
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
   * The stops that go with the response to a machine that is not reconciled. The inventory says
   * nothing of it yet, but its heartbeat lists what runs there, and the response renews the lease
   * of all of that.
   *
   * @param isLive whether the job of that id is not over
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
   * Whether a stop is due that no command has carried yet, so that a direct one is worth its cost.
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

  /** Whether the task saves, as its stop asked, so that another stop would only cut that off. */
  private static boolean isCheckpointing(TaskAttempt attempt) {
    return attempt.stage() == Stage.CHECKPOINTING && !attempt.stopsWithoutCheckpoint();
  }

  /** The command itself. A task that had its time for a checkpoint is stopped at once. */
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
