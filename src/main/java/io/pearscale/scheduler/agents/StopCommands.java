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
 * Decides which tasks a machine is told to stop. A stop is owed until a message of the machine
 * shows that the task has ended: that it was sent once proves nothing, since a command may get lost
 * and an answer may come too late to be accepted.
 *
 * <p>The invariant that bounds how long a cancelled task can go on: every answer that renews a
 * machine's lease carries the stop of every cancelled task that the machine may hold. So whatever
 * the machine accepts either stops the task or does not renew its lease.
 */
final class StopCommands {
  /** For how long a stop that is repeated outside of answers to reports waits for its effect. */
  private static final Duration RESEND_INTERVAL = Duration.ofSeconds(2);

  /** What the saving of a stopped task may take beyond the time that its job names. */
  private static final Duration CHECKPOINT_MARGIN = Duration.ofSeconds(2);

  private StopCommands() {}

  /**
   * The stops that a machine is to be sent now; they count as sent from here on.
   *
   * @param inHeartbeatResponse whether they go with an answer that renews the machine's lease
   */
  static List<AgentCommand> due(Machine machine, boolean inHeartbeatResponse, Instant now) {
    List<AgentCommand> stops = new ArrayList<>();
    machine.reportedAttempts().unknownStopsSent(now);
    machine
        .reportedAttempts()
        .unknown()
        .keySet()
        .forEach(e -> stops.add(AgentCommand.stop(e.task(), e.attempt(), Duration.ZERO)));
    for (TaskAttempt placement : machine.attempts().values()) {
      if (isDue(placement, inHeartbeatResponse, now)) {
        stops.add(stopCommand(placement));
        placement.stopSent(now);
      }
    }
    return stops;
  }

  /**
   * The stops that go with the answer to a machine which has not shown a token of this term. The
   * inventory says nothing of it yet, but its report names what runs there, and the answer renews
   * the lease of all of that.
   *
   * @param isLive whether a job is not over
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
   * Whether a stop waits that no command has carried yet, so that a direct one is worth its cost.
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

  /** Whether the task does what its stop asked of it, so that another one would only cut it off. */
  private static boolean isCheckpointing(TaskAttempt attempt) {
    return attempt.stage() == Stage.CHECKPOINTING && !attempt.stopsWithoutCheckpoint();
  }

  /** The command itself. A task that was given its time to save is told to end at once. */
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
