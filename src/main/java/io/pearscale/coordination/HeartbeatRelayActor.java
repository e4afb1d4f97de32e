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
 * Forwards heartbeats of the agents that turn to this controller to the leader, and the leader's
 * responses back. It renews no lease on its own: each 200 stands for a response that the leader
 * gave to that very heartbeat, so the leader alone knows until when a machine may be alive.
 */
public final class HeartbeatRelayActor extends Actor<HeartbeatRelayActor.Message> {
  /** For how long a heartbeat is parked until a leader is elected: longer than most elections. */
  private static final Duration ELECTION_WAIT = Duration.ofMillis(1500);

  /** How often heartbeats that have waited for too long are looked for. */
  private static final Duration SWEEP_INTERVAL = Duration.ofMillis(250);

  /** What the actor understands. */
  public sealed interface Message {}

  /**
   * An agent has sent a heartbeat to this controller.
   *
   * @param respond takes the response, and the leader that the agent is to turn to instead if there
   *     is one; called exactly once
   */
  public record HeartbeatReceived(
      Heartbeat heartbeat, BiConsumer<HeartbeatResponse, Optional<String>> respond)
      implements Message {}

  /** The leader's response came back. */
  public record LeaderResponded(ForwardedHeartbeatResponse response) implements Message {}

  /**
   * The leader has changed.
   *
   * @param leader empty while nobody is known to lead
   */
  public record LeaderChanged(long term, Optional<String> leader) implements Message {}

  private record SweepDue() implements Message {}

  /** A heartbeat that waits for a leader until the deadline. */
  private record ParkedHeartbeat(Instant deadline, HeartbeatReceived received) {}

  /** A forwarded heartbeat whose response is awaited until the deadline. */
  private record PendingExchange(
      Instant deadline, BiConsumer<HeartbeatResponse, Optional<String>> respond) {}

  private final String self;
  private final PeerTransport peerTransport;
  private final Duration relayTimeout;
  private final int maxParked;
  private final BiConsumer<Heartbeat, Consumer<HeartbeatResponse>> localLeader;

  /** By the id of the exchange, the oldest first, which is also the first to be overdue. */
  private final Map<Long, PendingExchange> pendingExchanges = new LinkedHashMap<>();

  /** Heartbeats that came while there is no leader, the oldest first. */
  private final ArrayDeque<ParkedHeartbeat> parked = new ArrayDeque<>();

  private boolean sweepScheduled;

  /** Heartbeats refused since that was last logged, because too many were parked. */
  private int refusedCount;

  private Optional<String> leader = Optional.empty();
  private long leaderTerm;
  private long lastExchangeId;

  /**
   * Makes a relay that knows of no leader.
   *
   * @param self the name of this controller
   * @param relayTimeout for how long a heartbeat waits for the leader's response
   * @param maxParked how many heartbeats may wait for an election at the same time
   * @param localLeader answers heartbeats while this controller leads
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
      complete(m.response.exchangeId(), m.response.response());
    } else if (message instanceof LeaderChanged m) {
      if (m.term >= leaderTerm) {
        leaderTerm = m.term;
        leader = m.leader;
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
      localLeader.accept(
          received.heartbeat, response -> received.respond.accept(response, Optional.empty()));
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
   * Has a heartbeat wait for the next leader. An election takes about a second. An agent that is
   * refused meanwhile is back in a second, at another controller that knows no more: after a
   * restart of all, such responses took the processor that the election needed.
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
      log.info("event=heartbeats_refused count={} parked={}", refusedCount, parked.size());
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
