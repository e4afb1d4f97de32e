package io.pearscale.scheduler;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.protocol.AgentCommand;
import io.pearscale.protocol.Fields;
import io.pearscale.protocol.Heartbeat;
import io.pearscale.protocol.MalformedMessageException;
import io.pearscale.protocol.Settings;
import io.pearscale.scheduler.DecisionLog.Carrier;
import io.pearscale.scheduler.Machine.Ended;
import io.pearscale.scheduler.Machine.Life;
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
  private final WorkerTimes times;
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
      WorkerTimes times,
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
    inventory.forEachWithCommands(this::sendDue, m -> hasPlanned(m) || isWorthACall(m));
  }

  private static boolean hasPlanned(Machine m) {
    return m.placements.values().stream().anyMatch(p -> p.stage == Stage.PLANNED);
  }

  /** All that goes with the answer to a report of the machine. */
  List<AgentCommand> ordersInAnswer(Machine m) {
    List<AgentCommand> orders = ordersDue(m, true);
    decisions.sending(m, orders, Carrier.ANSWER);
    return orders;
  }

  /** All that the worker has to be told now. */
  private List<AgentCommand> ordersDue(Machine m, boolean inAnswer) {
    List<AgentCommand> orders = StopCommands.due(m, inAnswer, clock.instant());
    if (inAnswer) {
      orders.addAll(repeatedStarts(m));
    }
    Set<Ended> cleared = clearable(m);
    cleared.forEach(e -> orders.add(AgentCommand.forget(e.task(), e.attempt())));
    orders.addAll(starts(m, cleared));
    return orders;
  }

  /** Starts that seem to be lost. The same attempt can't run twice, whatever comes late. */
  private List<AgentCommand> repeatedStarts(Machine m) {
    List<AgentCommand> orders = new ArrayList<>();
    for (TaskAttempt p : m.placements.values()) {
      boolean seemsLost = p.stage == Stage.SENT && !p.confirmed && !p.stopping && !m.calling;
      if (seemsLost && leadership.mayStart()) {
        p.token = m.token;
        p.session = m.lease.session();
        orders.add(AgentCommand.start(p.task, p.attempt));
      }
    }
    return orders;
  }

  /**
   * Attempts that the worker may forget now; the machine's token is raised where that is needed.
   */
  private Set<Ended> clearable(Machine m) {
    Set<Ended> clearable = new LinkedHashSet<>();
    for (Map.Entry<Ended, Long> entry : m.ended.entrySet()) {
      Ended e = entry.getKey();
      Job job = jobs.get(e.task().job());
      if (job != null && job.done.get(e.task().index()) && !job.durableDone.get(e.task().index())) {
        continue;
      }
      // After a clear the worker would take a late start command for a new one, be it in doubt, on
      // its way or a copy. So what clears an attempt carries a higher token than any start of it
      // did: from then on the worker refuses those. Only what is done may be started again: it
      // stays done.
      if (entry.getValue() < 0 && (m.calling || m.inDoubt())) {
        continue;
      }
      if (m.token <= entry.getValue()) {
        m.raiseToken();
      }
      clearable.add(e);
    }
    return clearable;
  }

  /** Placements that may be started now; they count as sent from here on. */
  private List<AgentCommand> starts(Machine m, Set<Ended> cleared) {
    List<AgentCommand> orders = new ArrayList<>();
    if (!m.recorded || m.life != Life.UP || !m.settled || m.lost) {
      return orders;
    }
    Machine.Resources room = null;
    for (TaskAttempt p : List.copyOf(m.placements.values())) {
      boolean durable = p.stage == Stage.PLANNED && p.marked && Gangs.mayStart(p.job);
      if (!durable || mayBeCalledBusy(m, p, cleared)) {
        continue;
      }
      if (room == null) {
        room = m.physicalRoom();
      }
      if (!room.fits(p.job) || !leadership.mayStart()) {
        continue;
      }
      room.take(p.job);
      p.stage = Stage.SENT;
      p.token = m.token;
      p.session = m.lease.session();
      orders.add(AgentCommand.start(p.task, p.attempt));
    }
    return orders;
  }

  /** Whether the worker still knows another attempt of the task, and might refuse this one. */
  private static boolean mayBeCalledBusy(Machine m, TaskAttempt p, Set<Ended> cleared) {
    return m.ended.keySet().stream().anyMatch(e -> e.task().equals(p.task) && !cleared.contains(e));
  }

  /** Whether something waits that is worth a command of its own. */
  private static boolean isWorthACall(Machine m) {
    if (StopCommands.unsent(m)) {
      return true;
    }
    for (TaskAttempt p : m.placements.values()) {
      if (p.stage == Stage.PLANNED && p.marked && m.recorded) {
        return true;
      }
    }
    return false;
  }

  /** Sends what is due straight to the worker, unless a call is under way or just failed. */
  void sendDue(Machine m) {
    if (!mayCall(m) || !leadership.mayRenew() || !isWorthACall(m)) {
      return;
    }
    List<AgentCommand> orders = ordersDue(m, false);
    if (!orders.isEmpty()) {
      decisions.sending(m, orders, Carrier.COMMAND);
      send(m, orders);
    }
  }

  private boolean mayCall(Machine m) {
    return leadership.ready()
        && !m.calling
        && m.settled
        && !m.lost
        && !m.address.isEmpty()
        && m.life == Life.UP
        && !clock.instant().isBefore(m.directAfter);
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
        Fields.seconds(asking) / settings.cpuShare() < Fields.seconds(settings.workers().report());
    probesFrom = soonerThanReports ? clock.instant() : clock.instant().plus(times.reportDue());
    probeMore();
    if (!soonerThanReports) {
      executor.after(times.reportDue(), this::probeMore);
    }
  }

  /** Asks all that have not shown themselves, a part at a time: each costs time and a socket. */
  private void probeMore() {
    if (clock.instant().isBefore(probesFrom)) {
      return;
    }
    while (probing < MOST_PROBES && !unprobed.isEmpty()) {
      Machine m = unprobed.poll();
      if (!m.settled && !m.calling && inventory.contains(m) && !m.address.isEmpty()) {
        send(m, List.of());
      }
    }
  }

  /** Asks a machine of the roster for its state, and shows it our token on the way. */
  void probe(Machine m) {
    if (!m.calling && !m.address.isEmpty()) {
      send(m, List.of());
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

  private void send(Machine m, List<AgentCommand> orders) {
    Call call = new Call(m, m.token, orders);
    m.calling = true;
    probing += call.isProbe() ? 1 : 0;
    ObjectNode body = MessagePack.map().put("baton", m.token).put("stint", m.lease.session());
    var list = body.putArray("orders");
    orders.forEach(o -> list.add(o.toNode()));
    Duration timeout = call.isProbe() ? PROBE_TIMEOUT : COMMAND_TIMEOUT;
    Consumer<Reply> handler = executor.callback(reply -> answered(call, reply));
    calls.call(m.address, "POST", "/do", body, timeout, handler);
  }

  private void answered(Call call, Reply reply) {
    Machine m = call.machine;
    m.calling = false;
    probing -= call.isProbe() ? 1 : 0;
    if (!unprobed.isEmpty()) {
      probeMore();
    }
    if (!inventory.contains(m)) {
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
      m.directAfter = clock.instant().plus(FIRST_PAUSE);
    } else if (call.isProbe()) {
      // Each miss doubles the pause: a zone that is cut off must not keep us busy.
      m.missedProbes++;
      long factor = 1L << Math.min(MOST_DOUBLINGS, m.missedProbes);
      m.directAfter = clock.instant().plus(FIRST_PAUSE.multipliedBy(factor));
    } else {
      // It may have been executed, or be executed later: a higher token puts an end to that.
      m.doubtToken = Math.max(m.doubtToken, call.token);
      m.raiseToken();
      m.directAfter = clock.instant().plus(DOUBT_PAUSE);
      LOG.info(
          "event=command_in_doubt term={} machine={} token={}",
          leadership.term(),
          m.name,
          call.token);
    }
  }

  /** Takes in what the worker answered; false if it can't be read. */
  private boolean takeIn(Call call, Reply reply, boolean refused) {
    Machine m = call.machine;
    try {
      Heartbeat r = Heartbeat.parse(reply.body());
      if (!r.machine().equals(m.name)) {
        throw new MalformedMessageException("answer of another machine");
      }
      if (leadership.isOfLaterTerm(r.token())) {
        higherTerm.accept(Leadership.termOf(r.token()));
        return true;
      }
      if (refused) {
        notExecuted(call);
      }
      boolean wasSettled = m.settled;
      if (m.lease.isNews(r)) {
        reports.absorb(m, r, true);
        m.answersSince = m.answersSince.or(() -> Optional.of(clock.instant()));
      }
      if (!wasSettled && !m.settled && refused) {
        probe(m);
      } else {
        sendDue(m);
      }
      return true;
    } catch (MalformedMessageException e) {
      LOG.warn("event=worker_answer_malformed machine={} reason={}", m.name, e.getMessage());
      return false;
    }
  }

  /**
   * Nothing was executed, and nothing will be: its starts go back to where they were, unless sent
   * otherwise.
   */
  private void notExecuted(Call call) {
    for (AgentCommand o : call.orders) {
      TaskAttempt p = call.machine.placements.get(o.task());
      if (p == null || p.attempt != o.attempt()) {
        continue;
      }
      if (o.verb() == AgentCommand.Verb.STOP) {
        p.kills = 0;
      } else if (o.verb() == AgentCommand.Verb.START && !p.confirmed && p.token == call.token) {
        startNotExecuted(p);
      }
    }
  }

  private void startNotExecuted(TaskAttempt p) {
    if (p.stopping) {
      inventory.remove(p, AbsenceProof.NOT_EXECUTED);
    } else {
      p.stage = Stage.PLANNED;
      inventory.noteCommandDue(p.machine);
    }
  }
}
