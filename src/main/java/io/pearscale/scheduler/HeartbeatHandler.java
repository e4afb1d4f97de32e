package io.pearscale.scheduler;

import io.pearscale.protocol.AgentCommand;
import io.pearscale.protocol.Heartbeat;
import io.pearscale.protocol.HeartbeatResponse;
import io.pearscale.protocol.MachineType;
import io.pearscale.scheduler.Machine.Life;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.function.LongConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Answers the reports of workers, each answer renewing a lease. */
final class HeartbeatHandler {
  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatHandler.class);
  private final Leadership leadership;
  private final JobTable jobs;
  private final MachineInventory inventory;
  private final InstantSource clock;
  private final HeartbeatProcessor reports;
  private final CommandDispatcher dispatcher;
  private final LongConsumer higherTerm;

  /**
   * Makes a handler.
   *
   * @param higherTerm is told of a higher term than ours
   */
  HeartbeatHandler(
      LeaderState state,
      HeartbeatProcessor reports,
      CommandDispatcher dispatcher,
      LongConsumer higherTerm) {
    this.leadership = state.leadership();
    this.jobs = state.jobs();
    this.inventory = state.inventory();
    this.clock = state.clock();
    this.reports = reports;
    this.dispatcher = dispatcher;
    this.higherTerm = higherTerm;
  }

  /**
   * Takes a report in and answers it.
   *
   * @param via the controller that it came to
   */
  HeartbeatResponse answer(Heartbeat r, String via) {
    if (!leadership.ready() || !leadership.mayRenew()) {
      return HeartbeatResponse.UNAVAILABLE;
    }
    if (leadership.isOfLaterTerm(r.token())) {
      LOG.warn("event=report_of_higher_term machine={} token={}", r.machine(), r.token());
      higherTerm.accept(Leadership.termOf(r.token()));
      return HeartbeatResponse.UNAVAILABLE;
    }
    Machine m = machineOf(r);
    if (m == null || !m.lease.isNews(r)) {
      LOG.debug("event=report_dropped machine={}", r.machine());
      return HeartbeatResponse.UNAVAILABLE;
    }
    reports.absorb(m, r, gotLastAnswer(m, r, via));
    m.answersSince = Optional.empty();
    m.lease.answered(clock.instant());
    m.via = via;
    List<AgentCommand> orders = ordersInAnswer(m, r);
    dispatcher.sendDue(m);
    m.answered = m.token;
    return new HeartbeatResponse(200, m.token, orders);
  }

  /** What goes with the answer to a report, which renews the lease of all that the machine runs. */
  private List<AgentCommand> ordersInAnswer(Machine m, Heartbeat r) {
    if (r.token() > m.token) {
      // The machine drops the answer, so that nothing is renewed.
      return List.of();
    }
    return m.settled ? dispatcher.ordersInAnswer(m) : StopCommands.forUnsettled(r, jobs::isLive);
  }

  /**
   * Whether the machine has got the last answer, as far as its report can tell. One whose reports
   * come while answers and commands don't reach it has a voice, but its lease runs out all the
   * same: it shows an older token than it was answered with, or turns to another controller
   * although it was answered, as workers do when no answer comes. A higher token makes sure.
   */
  private boolean gotLastAnswer(Machine m, Heartbeat r, String via) {
    if (r.token() < m.answered) {
      m.unheard++;
      return false;
    }
    m.unheard = 0;
    if (m.via.isEmpty() || m.via.equals(via)) {
      return true;
    }
    if (m.token <= r.token()) {
      m.raiseToken();
    }
    return false;
  }

  private Machine machineOf(Heartbeat r) {
    Machine m = inventory.get(r.machine());
    if (m == null) {
      if (inventory.isRemoved(r.machine())) {
        return null;
      }
      MachineType type = inventory.catalogue().typeOf(r.type());
      m = new Machine(r.machine(), r.zone(), r.spot(), type, Life.UP, clock.instant());
      inventory.addFormer(m);
      LOG.info("event=machine_unexpected term={} machine={}", leadership.term(), m.name);
    }
    return m;
  }
}
