package io.pearscale.scheduler.agents;

import io.pearscale.protocol.AgentCommand;
import io.pearscale.protocol.CommandRequest;
import io.pearscale.protocol.Heartbeat;
import io.pearscale.protocol.MalformedMessageException;
import io.pearscale.protocol.Settings;
import io.pearscale.scheduler.model.AbsenceProof;
import io.pearscale.scheduler.model.AgentTimings;
import io.pearscale.scheduler.model.CommandOutcome;
import io.pearscale.scheduler.model.DecisionLog;
import io.pearscale.scheduler.model.DecisionLog.Channel;
import io.pearscale.scheduler.model.LeaderState;
import io.pearscale.scheduler.model.Leadership;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.Machine.Lifecycle;
import io.pearscale.scheduler.model.MachineInventory;
import io.pearscale.scheduler.model.TaskAttempt;
import io.pearscale.scheduler.model.TermExecutor;
import io.pearscale.transport.HttpClient;
import io.pearscale.transport.HttpClient.Reply;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends commands to agents, in direct calls and in heartbeat responses, and handles the outcomes of
 * direct calls: executed, refused, not sent, or unknown. The agent may still execute a command
 * whose outcome is unknown until it has seen a higher fencing token.
 */
public final class CommandDispatcher {
  private static final Logger LOG = LoggerFactory.getLogger(CommandDispatcher.class);
  private static final Duration COMMAND_TIMEOUT = Duration.ofMillis(1500);
  private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(1);

  /** Pause in direct commands after a call that was not sent; doubled for each missed probe. */
  private static final Duration INITIAL_BACKOFF = Duration.ofMillis(100);

  /** Limits the doubling of the backoff, which happens once for each unanswered probe. */
  private static final int MAX_BACKOFF_DOUBLINGS = 6;

  /**
   * Pause in direct commands after a command whose outcome is unknown, to wait for a heartbeat
   * instead.
   */
  private static final Duration OUTCOME_UNKNOWN_BACKOFF = Duration.ofSeconds(3);

  /** A direct call in flight. */
  private record CommandCall(Machine machine, CommandBatch batch) {}

  private final Leadership leadership;
  private final MachineInventory inventory;
  private final InstantSource clock;
  private final HttpClient httpClient;
  private final TermExecutor executor;
  private final LongConsumer onHigherTerm;
  private final HeartbeatProcessor heartbeatProcessor;
  private final DecisionLog decisions;
  private final DueCommands dueCommands;
  private final MachineProber prober;

  /**
   * Creates a dispatcher.
   *
   * @param onHigherTerm called with a term higher than this leader's when an agent reports one
   * @param heartbeatProcessor processes the heartbeats that replies to direct calls contain
   */
  public CommandDispatcher(
      LeaderState state,
      Settings settings,
      AgentTimings timings,
      HttpClient httpClient,
      TermExecutor executor,
      LongConsumer onHigherTerm,
      HeartbeatProcessor heartbeatProcessor) {
    this.leadership = state.leadership();
    this.inventory = state.inventory();
    this.clock = state.clock();
    this.decisions = state.decisions();
    this.httpClient = httpClient;
    this.executor = executor;
    this.onHigherTerm = onHigherTerm;
    this.heartbeatProcessor = heartbeatProcessor;
    this.dueCommands = new DueCommands(leadership, state.jobs());
    this.prober =
        new MachineProber(
            inventory,
            clock,
            settings,
            timings,
            executor,
            machine -> send(machine, CommandBatch.withCurrentToken(machine, List.of())));
  }

  /** Returns the prober that sends its probes through this dispatcher. */
  MachineProber prober() {
    return prober;
  }

  /** Resets the state of direct calls: at the start of a term none is in flight. */
  public void beginTerm() {
    prober.beginTerm();
  }

  /** Discards outstanding probes at the end of a term. */
  public void endTerm() {
    prober.endTerm();
  }

  /** Probes all recorded machines that have not sent a heartbeat since the failover. */
  public void probeRecordedMachines() {
    prober.probeRecordedMachines();
  }

  // ---- Sending ----

  /** Sends the due commands of all machines. */
  public void sendAllDueCommands() {
    inventory.forEachWithDueCommands(this::sendDueCommands, DueCommands::arePending);
  }

  /** Sends the machine's due commands, unless a call to it is in flight or has just failed. */
  public void sendDueCommands(Machine machine) {
    if (!maySendDirectCommand(machine)
        || !leadership.mayRenewLeases()
        || !DueCommands.needDirectCommand(machine)) {
      return;
    }
    CommandBatch batch =
        dueCommands.take(machine, /* inHeartbeatResponse= */ false, clock.instant());
    if (!batch.commands().isEmpty()) {
      recordSent(machine, batch, Channel.COMMAND);
      send(machine, batch);
    }
  }

  /** Returns the due commands of a reconciled machine, for the response to its heartbeat. */
  CommandBatch commandsForHeartbeatResponse(Machine machine) {
    CommandBatch batch =
        dueCommands.take(machine, /* inHeartbeatResponse= */ true, clock.instant());
    recordSent(machine, batch, Channel.HEARTBEAT_RESPONSE);
    return batch;
  }

  private void recordSent(Machine machine, CommandBatch batch, Channel channel) {
    decisions.recordCommandsSent(machine, batch.fencingToken(), batch.commands(), channel);
  }

  private boolean maySendDirectCommand(Machine machine) {
    return leadership.isReady()
        && !machine.reachability().commandInFlight()
        && machine.reconciled()
        && !machine.leaseExpired()
        && !machine.address().isEmpty()
        && machine.lifecycle() == Lifecycle.UP
        && !clock.instant().isBefore(machine.reachability().directCommandsAfter());
  }

  private void send(Machine machine, CommandBatch batch) {
    machine.reachability().commandSent();
    CommandCall call = new CommandCall(machine, batch);
    Duration timeout = batch.isProbe() ? PROBE_TIMEOUT : COMMAND_TIMEOUT;
    Consumer<Reply> handler = executor.callback(reply -> handleReply(call, reply));
    httpClient.call(
        machine.address(),
        CommandRequest.METHOD,
        CommandRequest.PATH,
        batch.toRequest().toNode(),
        timeout,
        handler);
  }

  // ---- Outcomes ----

  private void handleReply(CommandCall call, Reply reply) {
    Machine machine = call.machine;
    machine.reachability().commandEnded();
    if (call.batch.isProbe()) {
      prober.probeEnded();
    }
    prober.continueProbing();
    if (!inventory.contains(machine)) {
      return;
    }
    boolean executed = reply.status() == CommandRequest.STATUS_EXECUTED;
    boolean refused = reply.status() == CommandRequest.STATUS_REFUSED;
    if ((executed || refused) && processHeartbeatInReply(call, reply, refused)) {
      recordOutcome(call, executed ? CommandOutcome.EXECUTED : CommandOutcome.REFUSED);
      return;
    }
    recordOutcome(call, reply.notSent() ? CommandOutcome.NOT_SENT : CommandOutcome.UNKNOWN);
    if (reply.notSent()) {
      // A call that was not sent says nothing about the machine. The next heartbeat or tick
      // retries.
      revertUnexecuted(call);
      machine.reachability().pauseDirectCommandsUntil(clock.instant().plus(INITIAL_BACKOFF));
    } else if (call.batch.isProbe()) {
      recordMissedProbe(machine);
    } else {
      recordUnknownOutcome(call);
    }
  }

  private void recordOutcome(CommandCall call, CommandOutcome outcome) {
    if (!call.batch.isProbe()) {
      decisions.recordCommandOutcome(outcome);
    }
  }

  /**
   * Doubles the backoff with each missed probe, so that probing the machines of a partitioned zone
   * does not overload the leader.
   */
  private void recordMissedProbe(Machine machine) {
    machine.reachability().probeMissed();
    int doublings = Math.min(MAX_BACKOFF_DOUBLINGS, machine.reachability().missedProbes());
    Duration backoff = INITIAL_BACKOFF.multipliedBy(1L << doublings);
    machine.reachability().pauseDirectCommandsUntil(clock.instant().plus(backoff));
  }

  /**
   * Marks the outcome of the call's commands as unknown. The agent may have executed them, or may
   * execute them later, until it has seen a higher fencing token.
   */
  private void recordUnknownOutcome(CommandCall call) {
    Machine machine = call.machine;
    machine.fencing().commandOutcomeUnknown(call.batch.fencingToken());
    machine.reachability().pauseDirectCommandsUntil(clock.instant().plus(OUTCOME_UNKNOWN_BACKOFF));
    LOG.info(
        "event=command_outcome_unknown term={} machine={} token={}",
        leadership.term(),
        machine.name(),
        call.batch.fencingToken());
  }

  /**
   * Processes the heartbeat in an agent's reply to a direct call.
   *
   * @return false if the heartbeat could not be decoded
   */
  private boolean processHeartbeatInReply(CommandCall call, Reply reply, boolean refused) {
    Machine machine = call.machine;
    try {
      Heartbeat heartbeat = Heartbeat.parse(reply.body());
      if (!heartbeat.machine().equals(machine.name())) {
        throw new MalformedMessageException(
            "the heartbeat in the reply names another machine than the one that was called");
      }
      if (leadership.isFromLaterTerm(heartbeat.fencingToken())) {
        onHigherTerm.accept(Leadership.termOf(heartbeat.fencingToken()));
        return true;
      }
      if (refused) {
        revertUnexecuted(call);
      }
      boolean wasReconciled = machine.reconciled();
      if (machine.lease().isNewer(heartbeat)) {
        heartbeatProcessor.process(machine, heartbeat, /* reachable= */ true);
        machine.reachability().commandAnswered(clock.instant());
      }
      if (!wasReconciled && !machine.reconciled() && refused) {
        prober.probe(machine);
      } else {
        sendDueCommands(machine);
      }
      return true;
    } catch (MalformedMessageException malformed) {
      LOG.warn(
          "event=agent_answer_malformed machine={} reason={}",
          machine.name(),
          malformed.getMessage());
      return false;
    }
  }

  /**
   * Reverts the commands of a call that the agent neither executed nor can still execute: stops
   * count as not sent, and started attempts become planned again, unless their start has since been
   * resent with another token.
   */
  private void revertUnexecuted(CommandCall call) {
    for (AgentCommand command : call.batch.commands()) {
      TaskAttempt attempt = call.machine.attempts().get(command.task());
      if (attempt == null || attempt.number() != command.attempt()) {
        continue;
      }
      if (command.verb() == AgentCommand.Verb.STOP) {
        attempt.resetStopsSent();
      } else if (command.verb() == AgentCommand.Verb.START
          && !attempt.observed()
          && attempt.startToken() == call.batch.fencingToken()) {
        revertStart(attempt);
      }
    }
  }

  private void revertStart(TaskAttempt attempt) {
    if (attempt.stopping()) {
      inventory.remove(attempt, AbsenceProof.NOT_EXECUTED);
    } else {
      attempt.recordStartNotExecuted();
      inventory.markCommandDue(attempt.machine());
    }
  }
}
