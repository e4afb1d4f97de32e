package io.pearscale.scheduler;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.protocol.AgentCommand;
import io.pearscale.protocol.Heartbeat;
import io.pearscale.protocol.MalformedMessageException;
import io.pearscale.protocol.MessageFields;
import io.pearscale.protocol.Settings;
import io.pearscale.scheduler.DecisionLog.Channel;
import io.pearscale.scheduler.Machine.AttemptId;
import io.pearscale.scheduler.Machine.Lifecycle;
import io.pearscale.scheduler.TaskAttempt.Stage;
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
import java.util.Optional;
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
final class CommandDispatcher {
  private static final Logger LOG = LoggerFactory.getLogger(CommandDispatcher.class);
  private static final Duration COMMAND_TIMEOUT = Duration.ofMillis(1500);
  private static final Duration PROBE_TIMEOUT = Duration.ofMillis(1000);

  /** So many machines are asked to show themselves at a time. */
  private static final int MOST_PROBES = 40;

  /** What a connection, a question and its answer take of a core, roughly. */
  private static final Duration PROBE_COST = Duration.ofNanos(800_000);

  /** After a first failure a machine is left alone for so long. */
  private static final Duration FIRST_PAUSE = Duration.ofMillis(100);

  /** The pause after a probe without an answer is doubled so often at most. */
  private static final int MOST_DOUBLINGS = 6;

  /** After a command without an answer, reports are waited for. */
  private static final Duration DOUBT_PAUSE = Duration.ofSeconds(3);

  /** A command that is under way. */
  private record Call(Machine machine, long token, List<AgentCommand> orders) {
    boolean isProbe() {
      return orders.isEmpty();
    }
  }

  private final Leadership leadership;
  private final JobTable jobs;
  private final MachineInventory inventory;
  private final InstantSource clock;
  private final Settings settings;
  private final AgentTimings times;
  private final HttpClient calls;
  private final TermExecutor executor;
  private final LongConsumer higherTerm;
  private final HeartbeatProcessor reports;
  private final DecisionLog decisions;

  /** Machines of the roster that were not asked since the takeover. */
  private final ArrayDeque<Machine> unprobed = new ArrayDeque<>();

  /** Questions under way to machines that are to show themselves. */
  private int probing;

  /** Before that, machines are left to report by themselves. */
  private Instant probesFrom = Instant.MIN;

  /**
   * Makes a dispatcher.
   *
   * @param higherTerm is told of a higher term than ours
   * @param reports takes in what workers answer
   */
  CommandDispatcher(
      LeaderState state,
      Settings settings,
      AgentTimings times,
      HttpClient calls,
      TermExecutor executor,
      LongConsumer higherTerm,
      HeartbeatProcessor reports) {
    this.leadership = state.leadership();
    this.jobs = state.jobs();
    this.inventory = state.inventory();
    this.clock = state.clock();
    this.decisions = state.decisions();
    this.settings = settings;
    this.times = times;
    this.calls = calls;
    this.executor = executor;
    this.higherTerm = higherTerm;
    this.reports = reports;
  }

  /** A term has begun: nothing is under way in it. */
  void begin() {
    probing = 0;
  }

  /** The term is over. */
  void end() {
    unprobed.clear();
  }

  /** Sends all that is decided, durable and has its room free. */
  void sendAllDue() {
    inventory.forEachWithDueCommands(
        this::sendDue, machine -> hasPlanned(machine) || isWorthACall(machine));
  }

  private static boolean hasPlanned(Machine machine) {
    return machine.attempts.values().stream().anyMatch(attempt -> attempt.stage == Stage.PLANNED);
  }

  /** All that goes with the answer to a report of the machine. */
  List<AgentCommand> ordersInAnswer(Machine machine) {
    List<AgentCommand> orders = ordersDue(machine, true);
    decisions.sendingStarts(machine, orders, Channel.HEARTBEAT_RESPONSE);
    return orders;
  }

  /** All that the worker has to be told now. */
  private List<AgentCommand> ordersDue(Machine machine, boolean inAnswer) {
    List<AgentCommand> orders = StopCommands.due(machine, inAnswer, clock.instant());
    if (inAnswer) {
      orders.addAll(repeatedStarts(machine));
    }
    Set<AttemptId> cleared = clearable(machine);
    cleared.forEach(e -> orders.add(AgentCommand.forget(e.task(), e.attempt())));
    orders.addAll(starts(machine, cleared));
    return orders;
  }

  /** Starts that seem to be lost. The same attempt can't run twice, whatever comes late. */
  private List<AgentCommand> repeatedStarts(Machine machine) {
    List<AgentCommand> orders = new ArrayList<>();
    for (TaskAttempt attempt : machine.attempts.values()) {
      boolean seemsLost =
          attempt.stage == Stage.START_SENT
              && !attempt.observed
              && !attempt.stopping
              && !machine.commandInFlight;
      if (seemsLost && leadership.mayStartTasks()) {
        attempt.startToken = machine.fencingToken;
        attempt.startIncarnation = machine.lease.incarnation();
        orders.add(AgentCommand.start(attempt.task, attempt.number));
      }
    }
    return orders;
  }

  /**
   * Attempts that the worker may forget now; the machine's token is raised where that is needed.
   */
  private Set<AttemptId> clearable(Machine machine) {
    Set<AttemptId> clearable = new LinkedHashSet<>();
    for (Map.Entry<AttemptId, Long> entry : machine.endedAttempts.entrySet()) {
      AttemptId e = entry.getKey();
      Job job = jobs.get(e.task().job());
      if (job != null
          && job.doneTasks.get(e.task().index())
          && !job.durablyDoneTasks.get(e.task().index())) {
        continue;
      }
      // After a clear the worker would take a late start command for a new one, be it in doubt, on
      // its way or a copy. So what clears an attempt carries a higher token than any start of it
      // did: from then on the worker refuses those. Only what is done may be started again: it
      // stays done.
      if (entry.getValue() < 0 && (machine.commandInFlight || machine.commandOutcomeUnknown())) {
        continue;
      }
      if (machine.fencingToken <= entry.getValue()) {
        machine.incrementFencingToken();
      }
      clearable.add(e);
    }
    return clearable;
  }

  /** Placements that may be started now; they count as sent from here on. */
  private List<AgentCommand> starts(Machine machine, Set<AttemptId> cleared) {
    List<AgentCommand> orders = new ArrayList<>();
    if (!machine.recorded
        || machine.lifecycle != Lifecycle.UP
        || !machine.reconciled
        || machine.leaseExpired) {
      return orders;
    }
    Machine.Resources room = null;
    for (TaskAttempt attempt : List.copyOf(machine.attempts.values())) {
      boolean durable =
          attempt.stage == Stage.PLANNED
              && attempt.placementRecorded
              && Gangs.mayStart(attempt.job);
      if (!durable || mayBeCalledBusy(machine, attempt, cleared)) {
        continue;
      }
      if (room == null) {
        room = machine.physicallyAvailable();
      }
      if (!room.fits(attempt.job) || !leadership.mayStartTasks()) {
        continue;
      }
      room.subtract(attempt.job);
      attempt.stage = Stage.START_SENT;
      attempt.startToken = machine.fencingToken;
      attempt.startIncarnation = machine.lease.incarnation();
      orders.add(AgentCommand.start(attempt.task, attempt.number));
    }
    return orders;
  }

  /** Whether the worker still knows another attempt of the task, and might refuse this one. */
  private static boolean mayBeCalledBusy(
      Machine machine, TaskAttempt attempt, Set<AttemptId> cleared) {
    return machine.endedAttempts.keySet().stream()
        .anyMatch(e -> e.task().equals(attempt.task) && !cleared.contains(e));
  }

  /** Whether something waits that is worth a command of its own. */
  private static boolean isWorthACall(Machine machine) {
    if (StopCommands.unsent(machine)) {
      return true;
    }
    for (TaskAttempt attempt : machine.attempts.values()) {
      if (attempt.stage == Stage.PLANNED && attempt.placementRecorded && machine.recorded) {
        return true;
      }
    }
    return false;
  }

  /** Sends what is due straight to the worker, unless a call is under way or just failed. */
  void sendDue(Machine machine) {
    if (!mayCall(machine) || !leadership.mayRenewLeases() || !isWorthACall(machine)) {
      return;
    }
    List<AgentCommand> orders = ordersDue(machine, false);
    if (!orders.isEmpty()) {
      decisions.sendingStarts(machine, orders, Channel.COMMAND);
      send(machine, orders);
    }
  }

  private boolean mayCall(Machine machine) {
    return leadership.isReady()
        && !machine.commandInFlight
        && machine.reconciled
        && !machine.leaseExpired
        && !machine.address.isEmpty()
        && machine.lifecycle == Lifecycle.UP
        && !clock.instant().isBefore(machine.directCommandsAfter);
  }

  /**
   * After a takeover all machines report by themselves, and again at once when the answer shows
   * them the new token. Asking each is sooner only where the processor can open so many connections
   * in less time than that; elsewhere it delays the answers to those reports, and leases run out.
   */
  void probeFormerMachines() {
    unprobed.clear();
    unprobed.addAll(inventory.all());
    Duration asking = PROBE_COST.multipliedBy(inventory.size());
    boolean soonerThanReports =
        MessageFields.seconds(asking) / settings.cpuShare()
            < MessageFields.seconds(settings.agents().heartbeatInterval());
    probesFrom = soonerThanReports ? clock.instant() : clock.instant().plus(times.heartbeatDue());
    probeMore();
    if (!soonerThanReports) {
      executor.after(times.heartbeatDue(), this::probeMore);
    }
  }

  /** Asks all that have not shown themselves, a part at a time: each costs time and a socket. */
  private void probeMore() {
    if (clock.instant().isBefore(probesFrom)) {
      return;
    }
    while (probing < MOST_PROBES && !unprobed.isEmpty()) {
      Machine machine = unprobed.poll();
      if (!machine.reconciled
          && !machine.commandInFlight
          && inventory.contains(machine)
          && !machine.address.isEmpty()) {
        send(machine, List.of());
      }
    }
  }

  /** Asks a machine of the roster for its state, and shows it our token on the way. */
  void probe(Machine machine) {
    if (!machine.commandInFlight && !machine.address.isEmpty()) {
      send(machine, List.of());
    }
  }

  /** Whether another machine may be asked to show itself, beside those that are being asked. */
  boolean mayProbe() {
    return probing < MOST_PROBES;
  }

  /** Whether all machines that were known at the takeover were asked. */
  boolean askedAll() {
    return unprobed.isEmpty();
  }

  private void send(Machine machine, List<AgentCommand> orders) {
    Call call = new Call(machine, machine.fencingToken, orders);
    machine.commandInFlight = true;
    probing += call.isProbe() ? 1 : 0;
    ObjectNode body =
        MessagePack.map()
            .put("baton", machine.fencingToken)
            .put("stint", machine.lease.incarnation());
    var list = body.putArray("orders");
    orders.forEach(command -> list.add(command.toNode()));
    Duration timeout = call.isProbe() ? PROBE_TIMEOUT : COMMAND_TIMEOUT;
    Consumer<Reply> handler = executor.callback(reply -> answered(call, reply));
    calls.call(machine.address, "POST", "/do", body, timeout, handler);
  }

  private void answered(Call call, Reply reply) {
    Machine machine = call.machine;
    machine.commandInFlight = false;
    probing -= call.isProbe() ? 1 : 0;
    if (!unprobed.isEmpty()) {
      probeMore();
    }
    if (!inventory.contains(machine)) {
      return;
    }
    boolean executed = reply.status() == 200;
    boolean refused = reply.status() == 409;
    if ((executed || refused) && takeIn(call, reply, refused)) {
      return;
    }
    if (reply.notSent()) {
      // Not a sign of anything about the machine: the next report or moment brings another chance.
      notExecuted(call);
      machine.directCommandsAfter = clock.instant().plus(FIRST_PAUSE);
    } else if (call.isProbe()) {
      // Each miss doubles the pause: a zone that is cut off must not keep us busy.
      machine.missedProbes++;
      long factor = 1L << Math.min(MOST_DOUBLINGS, machine.missedProbes);
      machine.directCommandsAfter = clock.instant().plus(FIRST_PAUSE.multipliedBy(factor));
    } else {
      // It may have been executed, or be executed later: a higher token puts an end to that.
      machine.unknownOutcomeToken = Math.max(machine.unknownOutcomeToken, call.token);
      machine.incrementFencingToken();
      machine.directCommandsAfter = clock.instant().plus(DOUBT_PAUSE);
      LOG.info(
          "event=command_in_doubt term={} machine={} token={}",
          leadership.term(),
          machine.name,
          call.token);
    }
  }

  /** Takes in what the worker answered; false if it can't be read. */
  private boolean takeIn(Call call, Reply reply, boolean refused) {
    Machine machine = call.machine;
    try {
      Heartbeat heartbeat = Heartbeat.parse(reply.body());
      if (!heartbeat.machine().equals(machine.name)) {
        throw new MalformedMessageException("answer of another machine");
      }
      if (leadership.isFromLaterTerm(heartbeat.fencingToken())) {
        higherTerm.accept(Leadership.termOf(heartbeat.fencingToken()));
        return true;
      }
      if (refused) {
        notExecuted(call);
      }
      boolean wasSettled = machine.reconciled;
      if (machine.lease.isNewer(heartbeat)) {
        reports.absorb(machine, heartbeat, true);
        machine.answersWithoutHeartbeatSince =
            machine.answersWithoutHeartbeatSince.or(() -> Optional.of(clock.instant()));
      }
      if (!wasSettled && !machine.reconciled && refused) {
        probe(machine);
      } else {
        sendDue(machine);
      }
      return true;
    } catch (MalformedMessageException e) {
      LOG.warn("event=worker_answer_malformed machine={} reason={}", machine.name, e.getMessage());
      return false;
    }
  }

  /**
   * Nothing was executed, and nothing will be: its starts go back to where they were, unless sent
   * otherwise.
   */
  private void notExecuted(Call call) {
    for (AgentCommand command : call.orders) {
      TaskAttempt attempt = call.machine.attempts.get(command.task());
      if (attempt == null || attempt.number != command.attempt()) {
        continue;
      }
      if (command.verb() == AgentCommand.Verb.STOP) {
        attempt.stopsSent = 0;
      } else if (command.verb() == AgentCommand.Verb.START
          && !attempt.observed
          && attempt.startToken == call.token) {
        startNotExecuted(attempt);
      }
    }
  }

  private void startNotExecuted(TaskAttempt attempt) {
    if (attempt.stopping) {
      inventory.remove(attempt, AbsenceProof.NOT_EXECUTED);
    } else {
      attempt.stage = Stage.PLANNED;
      inventory.markCommandDue(attempt.machine);
    }
  }
}
