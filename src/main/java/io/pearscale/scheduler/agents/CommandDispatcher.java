package io.pearscale.scheduler.agents;

import io.pearscale.protocol.AgentCommand;
import io.pearscale.protocol.CommandRequest;
import io.pearscale.protocol.Heartbeat;
import io.pearscale.protocol.MalformedMessageException;
import io.pearscale.protocol.Settings;
import io.pearscale.scheduler.model.AbsenceProof;
import io.pearscale.scheduler.model.AgentTimings;
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
 * Brings commands to agents, in direct calls and in heartbeat responses, and handles the outcomes
 * of direct calls: executed, refused, never sent, or unknown. A command whose outcome is unknown
 * may yet be executed, until the agent has seen a higher fencing token.
 */
public final class CommandDispatcher {
  private static final Logger LOG = LoggerFactory.getLogger(CommandDispatcher.class);
  private static final Duration COMMAND_TIMEOUT = Duration.ofMillis(1500);
  private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(1);

  /**
   * No direct command is sent for so long after a call that was not sent, or a first missed probe.
   */
  private static final Duration INITIAL_BACKOFF = Duration.ofMillis(100);

  /** How often the backoff is doubled at most, once for each probe without an answer. */
  private static final int MAX_BACKOFF_DOUBLINGS = 6;

  /** After a command whose outcome is unknown, heartbeats are waited for so long. */
  private static final Duration OUTCOME_UNKNOWN_BACKOFF = Duration.ofSeconds(3);

  /**
   * A direct call in flight.
   *
   * @param fencingToken the token that the call carries
   * @param commands none in a probe
   */
  private record CommandCall(Machine machine, long fencingToken, List<AgentCommand> commands) {
    boolean isProbe() {
      return commands.isEmpty();
    }
  }

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
   * Makes a dispatcher.
   *
   * @param onHigherTerm is called with a higher term than this leader's when an agent shows one
   * @param heartbeatProcessor takes in the heartbeats with which agents answer
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
            inventory, clock, settings, timings, executor, machine -> send(machine, List.of()));
  }

  /** Probes machines through this dispatcher. */
  MachineProber prober() {
    return prober;
  }

  /** A term has begun: no call is in flight in it. */
  public void begin() {
    prober.begin();
  }

  /** The term is over. */
  public void end() {
    prober.end();
  }

  /** After a failover: probes all recorded machines that have not sent a heartbeat. */
  public void probeRecordedMachines() {
    prober.probeRecordedMachines();
  }

  // ---- Sending ----

  /** Sends all that is due to all machines. */
  public void sendAllDueCommands() {
    inventory.forEachWithDueCommands(this::sendDueCommands, DueCommands::remain);
  }

  /** Sends what is due to the machine, unless a call to it is in flight or has just failed. */
  public void sendDueCommands(Machine machine) {
    if (!maySendDirectCommand(machine)
        || !leadership.mayRenewLeases()
        || !DueCommands.justifyDirectCommand(machine)) {
      return;
    }
    List<AgentCommand> commands =
        dueCommands.take(machine, /* inHeartbeatResponse= */ false, clock.instant());
    if (!commands.isEmpty()) {
      decisions.recordStartsSent(machine, commands, Channel.COMMAND);
      send(machine, commands);
    }
  }

  /** All that is due to a reconciled machine whose heartbeat is being answered. */
  List<AgentCommand> commandsForHeartbeatResponse(Machine machine) {
    List<AgentCommand> commands =
        dueCommands.take(machine, /* inHeartbeatResponse= */ true, clock.instant());
    decisions.recordStartsSent(machine, commands, Channel.HEARTBEAT_RESPONSE);
    return commands;
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

  private void send(Machine machine, List<AgentCommand> commands) {
    CommandRequest request =
        new CommandRequest(machine.fencing().current(), machine.lease().incarnation(), commands);
    CommandCall call = new CommandCall(machine, request.fencingToken(), commands);
    machine.reachability().commandSent();
    Duration timeout = call.isProbe() ? PROBE_TIMEOUT : COMMAND_TIMEOUT;
    Consumer<Reply> handler = executor.callback(reply -> handleReply(call, reply));
    httpClient.call(
        machine.address(),
        CommandRequest.METHOD,
        CommandRequest.PATH,
        request.toNode(),
        timeout,
        handler);
  }

  // ---- Outcomes ----

  private void handleReply(CommandCall call, Reply reply) {
    Machine machine = call.machine;
    machine.reachability().commandEnded();
    if (call.isProbe()) {
      prober.probeEnded();
    }
    prober.continueProbing();
    if (!inventory.contains(machine)) {
      return;
    }
    boolean executed = reply.status() == CommandRequest.STATUS_EXECUTED;
    boolean refused = reply.status() == CommandRequest.STATUS_REFUSED;
    if ((executed || refused) && processAnswer(call, reply, refused)) {
      return;
    }
    if (reply.notSent()) {
      // Not a sign of anything about the machine: the next heartbeat or tick brings another chance.
      revertUnexecuted(call);
      machine.reachability().pauseDirectCommandsUntil(clock.instant().plus(INITIAL_BACKOFF));
    } else if (call.isProbe()) {
      noteMissedProbe(machine);
    } else {
      noteOutcomeUnknown(call);
    }
  }

  /** Each miss doubles the backoff: a zone that is cut off must not keep the leader busy. */
  private void noteMissedProbe(Machine machine) {
    machine.reachability().probeMissed();
    int doublings = Math.min(MAX_BACKOFF_DOUBLINGS, machine.reachability().missedProbes());
    Duration backoff = INITIAL_BACKOFF.multipliedBy(1L << doublings);
    machine.reachability().pauseDirectCommandsUntil(clock.instant().plus(backoff));
  }

  /** It may have been executed, or be executed later: a higher token puts an end to that. */
  private void noteOutcomeUnknown(CommandCall call) {
    Machine machine = call.machine;
    machine.fencing().commandOutcomeUnknown(call.fencingToken);
    machine.reachability().pauseDirectCommandsUntil(clock.instant().plus(OUTCOME_UNKNOWN_BACKOFF));
    LOG.info(
        "event=command_outcome_unknown term={} machine={} token={}",
        leadership.term(),
        machine.name(),
        call.fencingToken);
  }

  /** Takes in the heartbeat with which the agent answered; false if it can't be decoded. */
  private boolean processAnswer(CommandCall call, Reply reply, boolean refused) {
    Machine machine = call.machine;
    try {
      Heartbeat heartbeat = Heartbeat.parse(reply.body());
      if (!heartbeat.machine().equals(machine.name())) {
        throw new MalformedMessageException("answer of another machine");
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
   * Nothing was executed, and nothing will be: its stops count as not sent, and its starts go back
   * to being planned, unless they were sent another way since.
   */
  private void revertUnexecuted(CommandCall call) {
    for (AgentCommand command : call.commands) {
      TaskAttempt attempt = call.machine.attempts().get(command.task());
      if (attempt == null || attempt.number() != command.attempt()) {
        continue;
      }
      if (command.verb() == AgentCommand.Verb.STOP) {
        attempt.resetStopsSent();
      } else if (command.verb() == AgentCommand.Verb.START
          && !attempt.observed()
          && attempt.startToken() == call.fencingToken) {
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
