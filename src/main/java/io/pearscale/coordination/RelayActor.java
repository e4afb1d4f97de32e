package io.pearscale.coordination;

import io.pearscale.protocol.Heartbeat;
import io.pearscale.protocol.HeartbeatResponse;
import io.pearscale.protocol.PeerMessage;
import io.pearscale.protocol.PeerMessage.ForwardedHeartbeat;
import io.pearscale.protocol.PeerMessage.ForwardedHeartbeatResponse;
import io.pearscale.transport.Actor;
import io.pearscale.transport.EventLoop;
import io.pearscale.transport.PeerTransport;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Carries reports of this controller's workers to the leader, and the leader's answers back. It
 * renews no lease on its own: each 200 stands for an answer that the leader gave to that very
 * report, so the leader alone knows until when a machine may be alive.
 */
public final class RelayActor extends Actor<RelayActor.Message> {
  /** For how long a report waits for an election: longer than most take. */
  private static final Duration ELECTION = Duration.ofMillis(1500);

  private static final Duration SWEEP = Duration.ofMillis(250);

  /** What the actor understands. */
  public sealed interface Message {}

  /** A worker reports here. The text is the leader to go to instead, when there is one. */
  public record Incoming(Heartbeat report, BiConsumer<HeartbeatResponse, Optional<String>> answer)
      implements Message {}

  /** The leader's answer came back. */
  public record Answered(ForwardedHeartbeatResponse answer) implements Message {}

  /** Who leads has changed. */
  public record LeaderIs(long term, Optional<String> name) implements Message {}

  private record Sweep() implements Message {}

  private record Parked(Instant until, Incoming report) {}

  /** A report that waits for the leader's answer until a time. */
  private record Exchange(Instant until, BiConsumer<HeartbeatResponse, Optional<String>> answer) {}

  private final String self;
  private final PeerTransport links;
  private final Duration patience;
  private final int mostParked;
  private final BiConsumer<Heartbeat, Consumer<HeartbeatResponse>> local;

  /** Open exchanges, the oldest first, which is also the first to be overdue. */
  private final Map<Long, Exchange> open = new LinkedHashMap<>();

  /** Reports that came while there is no leader, the oldest first. */
  private final ArrayDeque<Parked> parked = new ArrayDeque<>();

  private boolean sweepPlanned;

  /** Reports that found no room to wait since that was last logged. */
  private int refused;

  private Optional<String> leader = Optional.empty();
  private long leaderTerm;
  private long exchanges;

  /**
   * Relays to the leader, which may be {@code local}.
   *
   * @param patience for how long a report waits for the leader's answer
   * @param mostParked how many reports may wait for an election at the same time
   */
  public RelayActor(
      EventLoop loop,
      String self,
      PeerTransport links,
      Duration patience,
      int mostParked,
      BiConsumer<Heartbeat, Consumer<HeartbeatResponse>> local) {
    super(loop);
    this.self = self;
    this.links = links;
    this.patience = patience;
    this.mostParked = mostParked;
    this.local = local;
  }

  @Override
  protected void receive(Message message) {
    if (message instanceof Incoming m) {
      incoming(m);
    } else if (message instanceof Answered m) {
      close(m.answer.exchange(), m.answer.answer());
    } else if (message instanceof LeaderIs m) {
      if (m.term >= leaderTerm) {
        leaderTerm = m.term;
        leader = m.name;
        unpark();
      }
    } else if (message instanceof Sweep) {
      sweep();
    }
  }

  private void incoming(Incoming m) {
    if (leader.isEmpty()) {
      park(m);
    } else if (leader.get().equals(self)) {
      local.accept(m.report, a -> m.answer.accept(a, Optional.empty()));
    } else {
      long exchange = ++exchanges;
      byte[] frame = PeerMessage.encode(new ForwardedHeartbeat(exchange, m.report));
      if (links.isConnected(leader.get()) && links.send(leader.get(), frame)) {
        open.put(exchange, new Exchange(loop.clock().instant().plus(patience), m.answer));
        planSweep();
      } else {
        m.answer.accept(HeartbeatResponse.UNAVAILABLE, leader);
      }
    }
  }

  /**
   * An election takes about a second. A worker that is refused meanwhile is back in a second, at
   * another controller that knows no more: after a restart of all, such answers took the processor
   * that the election needed. One that waits is answered by the leader to come.
   */
  private void park(Incoming m) {
    if (parked.size() >= mostParked) {
      refused++;
      m.answer.accept(HeartbeatResponse.UNAVAILABLE, Optional.empty());
      return;
    }
    parked.add(new Parked(loop.clock().instant().plus(ELECTION), m));
    planSweep();
  }

  private void unpark() {
    if (leader.isPresent()) {
      List<Parked> reports = List.copyOf(parked);
      parked.clear();
      reports.forEach(p -> incoming(p.report));
    }
  }

  private void close(long exchange, HeartbeatResponse answer) {
    Exchange closed = open.remove(exchange);
    if (closed != null) {
      closed.answer.accept(answer, Optional.empty());
    }
  }

  /** One timer serves all open exchanges: one for each would cost as much as a short report. */
  private void planSweep() {
    if (!sweepPlanned) {
      sweepPlanned = true;
      loop.after(SWEEP, () -> tell(new Sweep()));
    }
  }

  private void sweep() {
    sweepPlanned = false;
    if (refused > 0) {
      log.info("event=reports_refused count={} parked={}", refused, parked.size());
      refused = 0;
    }
    Instant now = loop.clock().instant();
    List<Long> overdue = new ArrayList<>();
    for (Map.Entry<Long, Exchange> entry : open.entrySet()) {
      if (now.isBefore(entry.getValue().until)) {
        break;
      }
      overdue.add(entry.getKey());
    }
    overdue.forEach(exchange -> close(exchange, HeartbeatResponse.UNAVAILABLE));
    while (!parked.isEmpty() && !now.isBefore(parked.peek().until)) {
      parked.poll().report.answer.accept(HeartbeatResponse.UNAVAILABLE, Optional.empty());
    }
    if (!open.isEmpty() || !parked.isEmpty()) {
      planSweep();
    }
  }
}
