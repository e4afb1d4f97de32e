package io.pearscale.scheduler.model;

import io.pearscale.protocol.AgentCommand;
import io.pearscale.protocol.Heartbeat;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Arrays;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs the evidence behind each start, new incarnation and absence proof: the incarnation, sequence
 * and fencing token that the machine has reported, and the event from which its lease is counted.
 * The log alone then explains why a task was started elsewhere. The leader's statistics include the
 * counts of all three.
 */
public final class DecisionLog {
  /** The channel by which a start reaches an agent. */
  public enum Channel {
    /** A request from the leader to the agent. */
    COMMAND,
    /** The response to a heartbeat of the agent. */
    HEARTBEAT_RESPONSE
  }

  private static final Logger LOG = LoggerFactory.getLogger(DecisionLog.class);

  private final Leadership leadership;
  private final InstantSource clock;
  private final int[] absencesByProof = new int[AbsenceProof.values().length];
  private final int[] startsByChannel = new int[Channel.values().length];
  private final int[] commandsByOutcome = new int[CommandOutcome.values().length];
  private int newIncarnations;

  /** Creates a log for the decisions of a leader. */
  public DecisionLog(Leadership leadership, InstantSource clock) {
    this.leadership = leadership;
    this.clock = clock;
  }

  /**
   * Logs and counts the starts among the commands that are being sent, and logs the attempts that
   * the agent is told to forget.
   *
   * @param fencingToken the token that the message carries
   */
  public void recordCommandsSent(
      Machine machine, long fencingToken, List<AgentCommand> commands, Channel channel) {
    int previousCount = startsByChannel[channel.ordinal()];
    boolean forgets = false;
    for (AgentCommand command : commands) {
      startsByChannel[channel.ordinal()] += command.verb() == AgentCommand.Verb.START ? 1 : 0;
      forgets |= command.verb() == AgentCommand.Verb.FORGET;
    }
    if (!LOG.isDebugEnabled()) {
      return;
    }
    if (startsByChannel[channel.ordinal()] > previousCount) {
      logCommandsSent("starts_sent", machine, fencingToken, channel, describeStarts(commands));
    }
    if (forgets) {
      logCommandsSent(
          "forgets_sent", machine, fencingToken, channel, describeForgets(machine, commands));
    }
  }

  private void logCommandsSent(
      String event, Machine machine, long fencingToken, Channel channel, List<String> tasks) {
    LOG.debug(
        "event={} term={} machine={} fencing_token={} channel={} {} tasks={}",
        event,
        leadership.term(),
        machine.name(),
        fencingToken,
        channel,
        describeLease(machine),
        tasks);
  }

  /** Counts a direct call with commands by its outcome. */
  public void recordCommandOutcome(CommandOutcome outcome) {
    commandsByOutcome[outcome.ordinal()]++;
  }

  private static List<String> describeStarts(List<AgentCommand> commands) {
    return commands.stream()
        .filter(command -> command.verb() == AgentCommand.Verb.START)
        .map(command -> command.task() + "@" + command.attempt())
        .toList();
  }

  /**
   * Describes each attempt to be forgotten with the highest token of its starts. An agent that has
   * forgotten an attempt refuses copies of its starts only if it has seen a higher token or is in a
   * later incarnation.
   */
  private static List<String> describeForgets(Machine machine, List<AgentCommand> commands) {
    return commands.stream()
        .filter(command -> command.verb() == AgentCommand.Verb.FORGET)
        .map(command -> new AttemptId(command.task(), command.attempt()))
        .map(
            attempt ->
                "%s@%d:%d"
                    .formatted(
                        attempt.task(),
                        attempt.attempt(),
                        machine.reportedAttempts().ended().get(attempt)))
        .toList();
  }

  /**
   * Logs and counts an unexpected new incarnation, or the first one after the machine's lease
   * expired.
   */
  public void recordIncarnationBegan(Machine machine, Heartbeat message, long previousIncarnation) {
    newIncarnations++;
    LOG.info(
        "event=incarnation_began term={} machine={} previous_incarnation={} fencing_token={} {}",
        leadership.term(),
        machine.name(),
        previousIncarnation,
        message.fencingToken(),
        describeLease(machine));
  }

  /**
   * Logs that the machine's lease has expired and that every task on it has ended.
   *
   * @param expiryBound how long after the last renewal the lease has certainly expired
   */
  public void recordLeaseExpired(Machine machine, int tasks, Duration expiryBound) {
    LOG.warn(
        "event=machine_lease_expired term={} machine={} tasks={} bound_ms={} {}",
        leadership.term(),
        machine.name(),
        tasks,
        expiryBound.toMillis(),
        describeLease(machine));
  }

  /**
   * Logs that the machine's lease counts from an earlier time than before, so that its tasks are
   * taken for ended sooner.
   *
   * @param earlierBy how much earlier the lease now counts
   */
  void recordLeaseStartLowered(Machine machine, RenewalEndProof proof, Duration earlierBy) {
    if (LOG.isDebugEnabled()) {
      LOG.debug(
          "event=lease_start_lowered term={} machine={} proof={} earlier_by_ms={} {}",
          leadership.term(),
          machine.name(),
          proof,
          earlierBy.toMillis(),
          describeLease(machine));
    }
  }

  /** Logs and counts a proof that the attempt is not on its machine. */
  void recordAbsenceProved(TaskAttempt attempt, AbsenceProof proof) {
    absencesByProof[proof.ordinal()]++;
    if (LOG.isDebugEnabled()) {
      LOG.debug(
          "event=task_absence_proved term={} task={} attempt={} machine={} proof={} start_token={}"
              + " start_incarnation={} {}",
          leadership.term(),
          attempt.task(),
          attempt.number(),
          attempt.machine().name(),
          proof,
          attempt.startToken(),
          attempt.startIncarnation(),
          describeLease(attempt.machine()));
    }
  }

  private String describeLease(Machine machine) {
    IncarnationLease lease = machine.lease();
    return "incarnation=%d sequence=%d observed_token=%d lease_counted_from=%s lease_age_ms=%d"
        .formatted(
            lease.incarnation(),
            lease.sequence(),
            machine.fencing().observed(),
            lease.basis(),
            lease.age(clock.instant()).toMillis());
  }

  /** Returns the counts since the last call as fields of a log line, and resets them. */
  String takeCounts() {
    String counts =
        "starts=%s absences=%s incarnations=%d commands=%s"
            .formatted(
                Arrays.toString(startsByChannel).replace(" ", ""),
                Arrays.toString(absencesByProof).replace(" ", ""),
                newIncarnations,
                Arrays.toString(commandsByOutcome).replace(" ", ""));
    Arrays.fill(startsByChannel, 0);
    Arrays.fill(absencesByProof, 0);
    Arrays.fill(commandsByOutcome, 0);
    newIncarnations = 0;
    return counts;
  }
}
