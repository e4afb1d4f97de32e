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
public final class HeartbeatRelayActor extends Actor<HeartbeatRelayActor.Message> {
  /** For how long a report waits for an election: longer than most take. */
  private static final Duration ELECTION_WAIT = Duration.ofMillis(1500);

  private static final Duration SWEEP_INTERVAL = Duration.ofMillis(250);

  /** What the actor understands. */
  public sealed interface Message {}

  /** A worker reports here. The text is the leader to go to instead, when there is one. */
  public record HeartbeatReceived(
      Heartbeat heartbeat, BiConsumer<HeartbeatResponse, Optional<String>> respond)
      implements Message {}

  /** The leader's answer came back. */
  public record LeaderResponded(ForwardedHeartbeatResponse response) implements Message {}

  /** Who leads has changed. */
  public record LeaderChanged(long term, Optional<String> name) implements Message {}

  private record SweepDue() implements Message {}

  private record ParkedHeartbeat(Instant deadline, HeartbeatReceived received) {}

  /** A report that waits for the leader's answer until a time. */
  private record PendingExchange(
      Instant deadline, BiConsumer<HeartbeatResponse, Optional<String>> respond) {}

  private final String self;
  private final PeerTransport peerTransport;
  private final Duration relayTimeout;
  private final int maxParked;
  private final BiConsumer<Heartbeat, Consumer<HeartbeatResponse>> localLeader;

  /** Open exchanges, the oldest first, which is also the first to be overdue. */
  private final Map<Long, PendingExchange> pendingExchanges = new LinkedHashMap<>();

  /** Reports that came while there is no leader, the oldest first. */
  private final ArrayDeque<ParkedHeartbeat> parked = new ArrayDeque<>();

  private boolean sweepScheduled;

  /** Reports that found no room to wait since that was last logged. */
  private int refusedCount;

  private Optional<String> leader = Optional.empty();
  private long leaderTerm;
  private long lastExchangeId;

  /**
   * Relays to the leader, which may be {@code local}.
   *
   * @param relayTimeout for how long a report waits for the leader's answer
   * @param maxParked how many reports may wait for an election at the same time
   */
  public HeartbeatRelayActor(
      EventLoop loop,
      String self,
      PeerTransport peerTransport,
      Duration relayTimeout,
      int maxParked,
      BiConsumer<Heartbeat, Consumer<HeartbeatResponse>> localLeader) {
    super(loop);
    this.self = self;
    this.peerTransport = peerTransport;
    this.relayTimeout = relayTimeout;
    this.maxParked = maxParked;
    this.localLeader = localLeader;
  }

  @Override
  protected void receive(Message message) {
    if (message instanceof HeartbeatReceived m) {
      relay(m);
    } else if (message instanceof LeaderResponded m) {
      complete(m.response.exchange(), m.response.response());
    } else if (message instanceof LeaderChanged m) {
      if (m.term >= leaderTerm) {
        leaderTerm = m.term;
        leader = m.name;
        unpark();
      }
    } else if (message instanceof SweepDue) {
      sweep();
    }
  }

  private void relay(HeartbeatReceived received) {
    if (leader.isEmpty()) {
      park(received);
    } else if (leader.get().equals(self)) {
      localLeader.accept(received.heartbeat, a -> received.respond.accept(a, Optional.empty()));
    } else {
      long exchange = ++lastExchangeId;
      byte[] frame = PeerMessage.encode(new ForwardedHeartbeat(exchange, received.heartbeat));
      if (peerTransport.isConnected(leader.get()) && peerTransport.send(leader.get(), frame)) {
        pendingExchanges.put(
            exchange,
            new PendingExchange(loop.clock().instant().plus(relayTimeout), received.respond));
        scheduleSweep();
      } else {
        received.respond.accept(HeartbeatResponse.UNAVAILABLE, leader);
      }
    }
  }

  /**
   * An election takes about a second. A worker that is refused meanwhile is back in a second, at
   * another controller that knows no more: after a restart of all, such answers took the processor
   * that the election needed. One that waits is answered by the leader to come.
   */
  private void park(HeartbeatReceived received) {
    if (parked.size() >= maxParked) {
      refusedCount++;
      received.respond.accept(HeartbeatResponse.UNAVAILABLE, Optional.empty());
      return;
    }
    parked.add(new ParkedHeartbeat(loop.clock().instant().plus(ELECTION_WAIT), received));
    scheduleSweep();
  }

  private void unpark() {
    if (leader.isPresent()) {
      List<ParkedHeartbeat> reports = List.copyOf(parked);
      parked.clear();
      reports.forEach(p -> relay(p.received));
    }
  }

  private void complete(long exchange, HeartbeatResponse response) {
    PendingExchange pending = pendingExchanges.remove(exchange);
    if (pending != null) {
      pending.respond.accept(response, Optional.empty());
    }
  }

  /** One timer serves all open exchanges: one for each would cost as much as a short report. */
  private void scheduleSweep() {
    if (!sweepScheduled) {
      sweepScheduled = true;
      loop.schedule(SWEEP_INTERVAL, () -> tell(new SweepDue()));
    }
  }

  private void sweep() {
    sweepScheduled = false;
    if (refusedCount > 0) {
      log.info("event=reports_refused count={} parked={}", refusedCount, parked.size());
      refusedCount = 0;
    }
    Instant now = loop.clock().instant();
    List<Long> overdue = new ArrayList<>();
    for (Map.Entry<Long, PendingExchange> entry : pendingExchanges.entrySet()) {
      if (now.isBefore(entry.getValue().deadline)) {
        break;
      }
      overdue.add(entry.getKey());
    }
    overdue.forEach(exchange -> complete(exchange, HeartbeatResponse.UNAVAILABLE));
    while (!parked.isEmpty() && !now.isBefore(parked.peek().deadline)) {
      parked.poll().received.respond.accept(HeartbeatResponse.UNAVAILABLE, Optional.empty());
    }
    if (!pendingExchanges.isEmpty() || !parked.isEmpty()) {
      scheduleSweep();
    }
  }
}
