package io.pearscale.scheduler;

import io.pearscale.protocol.AgentCommand;
import io.pearscale.protocol.Heartbeat;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Arrays;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Says what each start, each new session and each proof of absence rested on: the session, sequence
 * and token that the machine has shown, and what its lease is counted from. With it the log alone
 * tells why a task was started elsewhere.
 */
final class DecisionLog {
  /** How starts are brought to a worker. */
  enum Carrier {
    COMMAND,
    ANSWER
  }

  private static final Logger LOG = LoggerFactory.getLogger(DecisionLog.class);

  private final Leadership leadership;
  private final InstantSource clock;
  private final int[] absences = new int[AbsenceProof.values().length];
  private final int[] starts = new int[Carrier.values().length];
  private int sessions;

  /** Makes a log for the decisions of a leader. */
  DecisionLog(Leadership leadership, InstantSource clock) {
    this.leadership = leadership;
    this.clock = clock;
  }

  /** Starts are being sent; orders of other kinds among them are not counted. */
  void sending(Machine machine, List<AgentCommand> orders, Carrier carrier) {
    int before = starts[carrier.ordinal()];
    for (AgentCommand command : orders) {
      starts[carrier.ordinal()] += command.verb() == AgentCommand.Verb.START ? 1 : 0;
    }
    if (starts[carrier.ordinal()] > before && LOG.isDebugEnabled()) {
      LOG.debug(
          "event=starts_sent term={} machine={} token={} by={} {} tasks={}",
          leadership.term(),
          machine.name,
          machine.token,
          carrier,
          lease(machine),
          startsIn(orders));
    }
  }

  private static List<String> startsIn(List<AgentCommand> orders) {
    return orders.stream()
        .filter(command -> command.verb() == AgentCommand.Verb.START)
        .map(command -> command.task() + "@" + command.attempt())
        .toList();
  }

  /** A machine shows a session that was not expected of it, or the one after a loss. */
  void sessionBegan(Machine machine, Heartbeat message, long formerSession) {
    sessions++;
    LOG.info(
        "event=session_began term={} machine={} former_session={} token={} {}",
        leadership.term(),
        machine.name,
        formerSession,
        message.fencingToken(),
        lease(machine));
  }

  /** The machine's lease is over, and with it all that was there. */
  void lost(Machine machine, int tasks, Duration bound) {
    LOG.warn(
        "event=machine_lost term={} machine={} tasks={} bound_ms={} {}",
        leadership.term(),
        machine.name,
        tasks,
        bound.toMillis(),
        lease(machine));
  }

  /** A task is taken to be gone from its machine. */
  void gone(TaskAttempt attempt, AbsenceProof proof) {
    absences[proof.ordinal()]++;
    if (LOG.isDebugEnabled()) {
      LOG.debug(
          "event=task_gone term={} task={} attempt={} machine={} proof={} start_token={}"
              + " start_session={} {}",
          leadership.term(),
          attempt.task,
          attempt.attempt,
          attempt.machine.name,
          proof,
          attempt.token,
          attempt.session,
          lease(attempt.machine));
    }
  }

  private String lease(Machine machine) {
    IncarnationLease lease = machine.lease;
    return "session=%d sequence=%d shown_token=%d lease_from=%s lease_age_ms=%d"
        .formatted(
            lease.session(),
            lease.sequence(),
            machine.seenToken,
            lease.basis(),
            lease.age(clock.instant()).toMillis());
  }

  /** What was counted since the last call, as fields of a log line. */
  String takeCounts() {
    String counts =
        "starts=%s absences=%s sessions=%d"
            .formatted(
                Arrays.toString(starts).replace(" ", ""),
                Arrays.toString(absences).replace(" ", ""),
                sessions);
    Arrays.fill(starts, 0);
    Arrays.fill(absences, 0);
    sessions = 0;
    return counts;
  }
}
