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
 * Forwards the heartbeats that agents send to this controller to the leader, and returns the
 * leader's responses to the agents. It never renews an agent's lease itself: each response with
 * status 200 is the leader's response to that heartbeat. Therefore only the leader determines until
 * when a machine may be alive.
 */
public final class HeartbeatRelayActor extends Actor<HeartbeatRelayActor.Message> {
  /**
   * Maximum time for which a heartbeat is parked until a leader is elected; longer than most
   * elections.
   */
  private static final Duration ELECTION_WAIT = Duration.ofMillis(1500);

  /** Interval between checks for heartbeats that have exceeded their deadline. */
  private static final Duration SWEEP_INTERVAL = Duration.ofMillis(250);

  /** The messages that this actor accepts. */
  public sealed interface Message {}

  /**
   * An agent sent a heartbeat to this controller.
   *
   * @param respond receives the response and, if the agent should contact another controller, the
   *     leader; called exactly once
   */
  public record HeartbeatReceived(
      Heartbeat heartbeat, BiConsumer<HeartbeatResponse, Optional<String>> respond)
      implements Message {}

  /** The leader responded to a forwarded heartbeat. */
  public record LeaderResponded(ForwardedHeartbeatResponse response) implements Message {}

  /**
   * The known leader changed.
   *
   * @param leader empty if no leader is known
   */
  public record LeaderChanged(long term, Optional<String> leader) implements Message {}

  private record SweepDue() implements Message {}

  /** A heartbeat that waits for the election of a leader until the deadline. */
  private record ParkedHeartbeat(Instant deadline, HeartbeatReceived received) {}

  /** A forwarded heartbeat that waits for the leader's response until the deadline. */
  private record PendingExchange(
      Instant deadline, BiConsumer<HeartbeatResponse, Optional<String>> respond) {}

  private final String self;
  private final PeerTransport peerTransport;
  private final Duration relayTimeout;
  private final int maxParked;
  private final BiConsumer<Heartbeat, Consumer<HeartbeatResponse>> localLeader;

  /**
   * Pending exchanges by id, oldest first. All of them have the same timeout, so the oldest one
   * expires first.
   */
  private final Map<Long, PendingExchange> pendingExchanges = new LinkedHashMap<>();

  /** Heartbeats received while no leader was known, oldest first. */
  private final ArrayDeque<ParkedHeartbeat> parkedHeartbeats = new ArrayDeque<>();

  private boolean sweepScheduled;

  /** Number of heartbeats refused since the last log line because too many were parked. */
  private int refusedCount;

  private Optional<String> leader = Optional.empty();
  private long leaderTerm;
  private long lastExchangeId;

  /**
   * Creates a relay that knows of no leader.
   *
   * @param self the name of this controller
   * @param relayTimeout the maximum time for which a heartbeat waits for the leader's response
   * @param maxParked the maximum number of heartbeats that may wait for an election at the same
   *     time
   * @param localLeader responds to heartbeats while this controller leads
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
   * Parks a heartbeat until a leader is elected. An election takes about a second. A refused agent
   * would retry within a second, at another controller that knows of no leader either. After a
   * restart of all controllers, such refusals used the CPU time that the election needed.
   */
  private void park(HeartbeatReceived received) {
    if (parkedHeartbeats.size() >= maxParked) {
      refusedCount++;
      received.respond.accept(HeartbeatResponse.UNAVAILABLE, Optional.empty());
      return;
    }
    parkedHeartbeats.add(new ParkedHeartbeat(loop.clock().instant().plus(ELECTION_WAIT), received));
    scheduleSweep();
  }

  private void unpark() {
    if (leader.isPresent()) {
      List<ParkedHeartbeat> waiting = List.copyOf(parkedHeartbeats);
      parkedHeartbeats.clear();
      waiting.forEach(heartbeat -> relay(heartbeat.received));
    }
  }

  private void complete(long exchange, HeartbeatResponse response) {
    PendingExchange pending = pendingExchanges.remove(exchange);
    if (pending != null) {
      pending.respond.accept(response, Optional.empty());
    }
  }

  /**
   * Schedules one timer for all pending exchanges and parked heartbeats. A timer for each exchange
   * would cost as much as handling a short heartbeat.
   */
  private void scheduleSweep() {
    if (!sweepScheduled) {
      sweepScheduled = true;
      loop.schedule(SWEEP_INTERVAL, () -> tell(new SweepDue()));
    }
  }

  private void sweep() {
    sweepScheduled = false;
    if (refusedCount > 0) {
      log.info(
          "event=heartbeats_refused count={} parked={}", refusedCount, parkedHeartbeats.size());
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
    while (!parkedHeartbeats.isEmpty() && !now.isBefore(parkedHeartbeats.peek().deadline)) {
      parkedHeartbeats
          .poll()
          .received
          .respond
          .accept(HeartbeatResponse.UNAVAILABLE, Optional.empty());
    }
    if (!pendingExchanges.isEmpty() || !parkedHeartbeats.isEmpty()) {
      scheduleSweep();
    }
  }
}
