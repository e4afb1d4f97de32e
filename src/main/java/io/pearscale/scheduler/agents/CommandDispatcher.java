package io.pearscale.scheduler.agents;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.protocol.AgentCommand;
import io.pearscale.protocol.Heartbeat;
import io.pearscale.protocol.MalformedMessageException;
import io.pearscale.protocol.MessageFields;
import io.pearscale.protocol.Settings;
import io.pearscale.scheduler.model.AbsenceProof;
import io.pearscale.scheduler.model.AgentTimings;
import io.pearscale.scheduler.model.AttemptId;
import io.pearscale.scheduler.model.DecisionLog;
import io.pearscale.scheduler.model.DecisionLog.Channel;
import io.pearscale.scheduler.model.GangTracker;
import io.pearscale.scheduler.model.Job;
import io.pearscale.scheduler.model.JobTable;
import io.pearscale.scheduler.model.LeaderState;
import io.pearscale.scheduler.model.Leadership;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.Machine.Lifecycle;
import io.pearscale.scheduler.model.MachineInventory;
import io.pearscale.scheduler.model.Resources;
import io.pearscale.scheduler.model.TaskAttempt;
import io.pearscale.scheduler.model.TaskAttempt.Stage;
import io.pearscale.scheduler.model.TermExecutor;
import io.pearscale.transport.HttpClient;
import io.pearscale.transport.HttpClient.Reply;
import io.pearscale.transport.MessagePack;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends commands straight to workers, and decides what goes with the answers to their reports. A
 * command without an answer is in doubt: it may yet be carried out, until the worker has seen a
 * higher token.
 */
public final class CommandDispatcher {
  private static final Logger LOG = LoggerFactory.getLogger(CommandDispatcher.class);
  private static final Duration COMMAND_TIMEOUT = Duration.ofMillis(1500);
  private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(1);

  /** So many machines are asked to show themselves at a time. */
  private static final int MAX_CONCURRENT_PROBES = 40;

  /** What a connection, a question and its answer take of a core, roughly. */
  private static final Duration PROBE_CPU_TIME = Duration.ofNanos(800_000);

  /** After a first failure a machine is left alone for so long. */
  private static final Duration INITIAL_BACKOFF = Duration.ofMillis(100);

  /** The pause after a probe without an answer is doubled so often at most. */
  private static final int MAX_BACKOFF_DOUBLINGS = 6;

  /** After a command without an answer, reports are waited for. */
  private static final Duration OUTCOME_UNKNOWN_BACKOFF = Duration.ofSeconds(3);

  /** A command that is under way. */
  private record CommandCall(Machine machine, long fencingToken, List<AgentCommand> commands) {
    boolean isProbe() {
      return commands.isEmpty();
    }
  }

  private final Leadership leadership;
  private final JobTable jobs;
  private final MachineInventory inventory;
  private final InstantSource clock;
  private final Settings settings;
  private final AgentTimings agentTimeouts;
  private final HttpClient calls;
  private final TermExecutor executor;
  private final LongConsumer onHigherTerm;
  private final HeartbeatProcessor heartbeatProcessor;
  private final DecisionLog decisions;

  /** Machines of the roster that were not asked since the takeover. */
  private final ArrayDeque<Machine> unprobed = new ArrayDeque<>();

  /** Questions under way to machines that are to show themselves. */
  private int probesInFlight;

  /** Before that, machines are left to report by themselves. */
  private Instant probesAllowedFrom = Instant.MIN;

  /**
   * Makes a dispatcher.
   *
   * @param onHigherTerm is told of a higher term than ours
   * @param heartbeatProcessor takes in what workers answer
   */
  public CommandDispatcher(
      LeaderState state,
      Settings settings,
      AgentTimings agentTimeouts,
      HttpClient calls,
      TermExecutor executor,
      LongConsumer onHigherTerm,
      HeartbeatProcessor heartbeatProcessor) {
    this.leadership = state.leadership();
    this.jobs = state.jobs();
    this.inventory = state.inventory();
    this.clock = state.clock();
    this.decisions = state.decisions();
    this.settings = settings;
    this.agentTimeouts = agentTimeouts;
    this.calls = calls;
    this.executor = executor;
    this.onHigherTerm = onHigherTerm;
    this.heartbeatProcessor = heartbeatProcessor;
  }

  /** A term has begun: nothing is under way in it. */
  public void begin() {
    probesInFlight = 0;
  }

  /** The term is over. */
  public void end() {
    unprobed.clear();
  }

  /** Sends all that is decided, durable and has its room free. */
  public void sendAllDueCommands() {
    inventory.forEachWithDueCommands(
        this::sendDueCommands,
        machine -> hasPlannedAttempt(machine) || justifiesDirectCommand(machine));
  }

  private static boolean hasPlannedAttempt(Machine machine) {
    return machine.attempts().values().stream()
        .anyMatch(attempt -> attempt.stage() == Stage.PLANNED);
  }

  /** All that goes with the answer to a report of the machine. */
  List<AgentCommand> commandsForHeartbeatResponse(Machine machine) {
    List<AgentCommand> commands = dueCommands(machine, true);
    decisions.sendingStarts(machine, commands, Channel.HEARTBEAT_RESPONSE);
    return commands;
  }

  /** All that the worker has to be told now. */
  private List<AgentCommand> dueCommands(Machine machine, boolean inHeartbeatResponse) {
    List<AgentCommand> commands = StopCommands.due(machine, inHeartbeatResponse, clock.instant());
    if (inHeartbeatResponse) {
      commands.addAll(resentStarts(machine));
    }
    Set<AttemptId> forgotten = forgettableAttempts(machine);
    forgotten.forEach(e -> commands.add(AgentCommand.forget(e.task(), e.attempt())));
    commands.addAll(dueStarts(machine, forgotten));
    return commands;
  }

  /** Starts that seem to be lost. The same attempt can't run twice, whatever comes late. */
  private List<AgentCommand> resentStarts(Machine machine) {
    List<AgentCommand> commands = new ArrayList<>();
    for (TaskAttempt attempt : machine.attempts().values()) {
      boolean seemsLost =
          attempt.stage() == Stage.START_SENT
              && !attempt.observed()
              && !attempt.stopping()
              && !machine.reachability().commandInFlight();
      if (seemsLost && leadership.mayStartTasks()) {
        attempt.startResent(machine.fencing().current(), machine.lease().incarnation());
        commands.add(AgentCommand.start(attempt.task(), attempt.number()));
      }
    }
    return commands;
  }

  /**
   * Attempts that the worker may forget now; the machine's token is raised where that is needed.
   */
  private Set<AttemptId> forgettableAttempts(Machine machine) {
    Set<AttemptId> forgettable = new LinkedHashSet<>();
    for (Map.Entry<AttemptId, Long> entry : machine.reportedAttempts().ended().entrySet()) {
      AttemptId attempt = entry.getKey();
      Job job = jobs.get(attempt.task().job());
      if (job != null
          && job.isDone(attempt.task().index())
          && !job.isDurablyDone(attempt.task().index())) {
        continue;
      }
      // After a clear the worker would take a late start command for a new one, be it in doubt, on
      // its way or a copy. So what clears an attempt carries a higher token than any start of it
      // did: from then on the worker refuses those. Only what is done may be started again: it
      // stays done.
      if (entry.getValue() < 0
          && (machine.reachability().commandInFlight()
              || machine.fencing().isCommandOutcomeUnknown())) {
        continue;
      }
      if (machine.fencing().current() <= entry.getValue()) {
        machine.fencing().increment();
      }
      forgettable.add(attempt);
    }
    return forgettable;
  }

  /** Placements that may be started now; they count as sent from here on. */
  private List<AgentCommand> dueStarts(Machine machine, Set<AttemptId> forgotten) {
    List<AgentCommand> commands = new ArrayList<>();
    if (!machine.record().isRecorded()
        || machine.lifecycle() != Lifecycle.UP
        || !machine.reconciled()
        || machine.leaseExpired()) {
      return commands;
    }
    Resources available = null;
    for (TaskAttempt attempt : List.copyOf(machine.attempts().values())) {
      boolean durable =
          attempt.stage() == Stage.PLANNED
              && attempt.placementRecorded()
              && GangTracker.mayStart(attempt.job());
      if (!durable || mayBeRefusedAsBusy(machine, attempt, forgotten)) {
        continue;
      }
      if (available == null) {
        available = machine.physicallyAvailable();
      }
      if (!available.fits(attempt.job().spec()) || !leadership.mayStartTasks()) {
        continue;
      }
      available.subtract(attempt.job().spec());
      attempt.startSent(machine.fencing().current(), machine.lease().incarnation());
      commands.add(AgentCommand.start(attempt.task(), attempt.number()));
    }
    return commands;
  }

  /** Whether the worker still knows another attempt of the task, and might refuse this one. */
  private static boolean mayBeRefusedAsBusy(
      Machine machine, TaskAttempt attempt, Set<AttemptId> forgotten) {
    return machine.reportedAttempts().ended().keySet().stream()
        .anyMatch(e -> e.task().equals(attempt.task()) && !forgotten.contains(e));
  }

  /** Whether something waits that is worth a command of its own. */
  private static boolean justifiesDirectCommand(Machine machine) {
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

  /** Sends what is due straight to the worker, unless a call is under way or just failed. */
  public void sendDueCommands(Machine machine) {
    if (!maySendDirectCommand(machine)
        || !leadership.mayRenewLeases()
        || !justifiesDirectCommand(machine)) {
      return;
    }
    List<AgentCommand> commands = dueCommands(machine, false);
    if (!commands.isEmpty()) {
      decisions.sendingStarts(machine, commands, Channel.COMMAND);
      send(machine, commands);
    }
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

  /**
   * After a takeover all machines report by themselves, and again at once when the answer shows
   * them the new token. Asking each is sooner only where the processor can open so many connections
   * in less time than that; elsewhere it delays the answers to those reports, and leases run out.
   */
  public void probeRecordedMachines() {
    unprobed.clear();
    unprobed.addAll(inventory.all());
    Duration asking = PROBE_CPU_TIME.multipliedBy(inventory.size());
    boolean soonerThanReports =
        MessageFields.seconds(asking) / settings.cpuShare()
            < MessageFields.seconds(settings.agents().heartbeatInterval());
    probesAllowedFrom =
        soonerThanReports ? clock.instant() : clock.instant().plus(agentTimeouts.heartbeatDue());
    sendMoreProbes();
    if (!soonerThanReports) {
      executor.after(agentTimeouts.heartbeatDue(), this::sendMoreProbes);
    }
  }

  /** Asks all that have not shown themselves, a part at a time: each costs time and a socket. */
  private void sendMoreProbes() {
    if (clock.instant().isBefore(probesAllowedFrom)) {
      return;
    }
    while (probesInFlight < MAX_CONCURRENT_PROBES && !unprobed.isEmpty()) {
      Machine machine = unprobed.poll();
      if (!machine.reconciled()
          && !machine.reachability().commandInFlight()
          && inventory.contains(machine)
          && !machine.address().isEmpty()) {
        send(machine, List.of());
      }
    }
  }

  /** Asks a machine of the roster for its state, and shows it our token on the way. */
  void probe(Machine machine) {
    if (!machine.reachability().commandInFlight() && !machine.address().isEmpty()) {
      send(machine, List.of());
    }
  }

  /** Whether another machine may be asked to show itself, beside those that are being asked. */
  boolean mayProbe() {
    return probesInFlight < MAX_CONCURRENT_PROBES;
  }

  /** Whether all machines that were known at the takeover were asked. */
  boolean hasProbedAllRecorded() {
    return unprobed.isEmpty();
  }

  private void send(Machine machine, List<AgentCommand> commands) {
    CommandCall call = new CommandCall(machine, machine.fencing().current(), commands);
    machine.reachability().commandSent();
    probesInFlight += call.isProbe() ? 1 : 0;
    ObjectNode body =
        MessagePack.map()
            .put("baton", machine.fencing().current())
            .put("stint", machine.lease().incarnation());
    var list = body.putArray("orders");
    commands.forEach(command -> list.add(command.toNode()));
    Duration timeout = call.isProbe() ? PROBE_TIMEOUT : COMMAND_TIMEOUT;
    Consumer<Reply> handler = executor.callback(reply -> handleReply(call, reply));
    calls.call(machine.address(), "POST", "/do", body, timeout, handler);
  }

  private void handleReply(CommandCall call, Reply reply) {
    Machine machine = call.machine;
    machine.reachability().commandEnded();
    probesInFlight -= call.isProbe() ? 1 : 0;
    if (!unprobed.isEmpty()) {
      sendMoreProbes();
    }
    if (!inventory.contains(machine)) {
      return;
    }
    boolean executed = reply.status() == 200;
    boolean refused = reply.status() == 409;
    if ((executed || refused) && processAnswer(call, reply, refused)) {
      return;
    }
    if (reply.notSent()) {
      // Not a sign of anything about the machine: the next report or moment brings another chance.
      revertUnexecuted(call);
      machine.reachability().pauseDirectCommandsUntil(clock.instant().plus(INITIAL_BACKOFF));
    } else if (call.isProbe()) {
      // Each miss doubles the pause: a zone that is cut off must not keep us busy.
      machine.reachability().probeMissed();
      long backoffFactor =
          1L << Math.min(MAX_BACKOFF_DOUBLINGS, machine.reachability().missedProbes());
      machine
          .reachability()
          .pauseDirectCommandsUntil(
              clock.instant().plus(INITIAL_BACKOFF.multipliedBy(backoffFactor)));
    } else {
      // It may have been executed, or be executed later: a higher token puts an end to that.
      machine.fencing().commandOutcomeUnknown(call.fencingToken);
      machine
          .reachability()
          .pauseDirectCommandsUntil(clock.instant().plus(OUTCOME_UNKNOWN_BACKOFF));
      LOG.info(
          "event=command_in_doubt term={} machine={} token={}",
          leadership.term(),
          machine.name(),
          call.fencingToken);
    }
  }

  /** Takes in what the worker answered; false if it can't be read. */
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
        heartbeatProcessor.process(machine, heartbeat, true);
        machine.reachability().commandAnswered(clock.instant());
      }
      if (!wasReconciled && !machine.reconciled() && refused) {
        probe(machine);
      } else {
        sendDueCommands(machine);
      }
      return true;
    } catch (MalformedMessageException malformed) {
      LOG.warn(
          "event=worker_answer_malformed machine={} reason={}",
          machine.name(),
          malformed.getMessage());
      return false;
    }
  }

  /**
   * Nothing was executed, and nothing will be: its starts go back to where they were, unless sent
   * otherwise.
   */
  private void revertUnexecuted(CommandCall call) {
    for (AgentCommand command : call.commands) {
      TaskAttempt attempt = call.machine.attempts().get(command.task());
      if (attempt == null || attempt.number() != command.attempt()) {
        continue;
      }
      if (command.verb() == AgentCommand.Verb.STOP) {
        attempt.forgetStopsSent();
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
      attempt.startNotExecuted();
      inventory.markCommandDue(attempt.machine());
    }
  }
}
