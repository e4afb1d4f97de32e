package io.pearscale.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pearscale.coordination.HeartbeatRelayActor.HeartbeatReceived;
import io.pearscale.coordination.HeartbeatRelayActor.LeaderChanged;
import io.pearscale.protocol.ConnectionLimits;
import io.pearscale.protocol.Heartbeat;
import io.pearscale.protocol.HeartbeatResponse;
import io.pearscale.protocol.MalformedMessageException;
import io.pearscale.protocol.PeerMessage;
import io.pearscale.protocol.PeerMessage.ForwardedHeartbeat;
import io.pearscale.protocol.PeerMessage.ForwardedHeartbeatResponse;
import io.pearscale.transport.CountingEventLoop;
import io.pearscale.transport.PeerTransport;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Tests that the relay responds to each heartbeat exactly once, parks heartbeats during an
 * election, and shares one timer between heartbeats.
 */
class HeartbeatRelayActorTest {
  private static final Heartbeat HEARTBEAT =
      new Heartbeat("m-1", "a:1", "small", "a", false, 1, 1, 0, Optional.empty(), List.of());

  /** The number of sockets of a controller that can serve 4,000 agents while it is the only one. */
  private static final int SOCKETS = 8000;

  private final CountingEventLoop loop = new CountingEventLoop();
  private final List<ForwardedHeartbeat> sent = new ArrayList<>();
  private final List<Integer> statuses = new ArrayList<>();
  private final HeartbeatRelayActor relay =
      new HeartbeatRelayActor(
          loop,
          "hive-0",
          new PeerTransport() {
            @Override
            public boolean send(String peer, byte[] frame) {
              try {
                sent.add((ForwardedHeartbeat) PeerMessage.decode(frame));
              } catch (MalformedMessageException e) {
                throw new IllegalStateException(e);
              }
              return true;
            }

            @Override
            public Set<String> connectedPeers() {
              return Set.of("hive-1");
            }
          },
          Duration.ofMillis(1500),
          ConnectionLimits.of(SOCKETS).maxWaitingHeartbeats(),
          (heartbeat, response) -> {});

  HeartbeatRelayActorTest() {
    relay.tell(new LeaderChanged(1, Optional.of("hive-1")));
  }

  private void sendHeartbeat() {
    relay.tell(
        new HeartbeatReceived(HEARTBEAT, (response, redirect) -> statuses.add(response.status())));
  }

  @Test
  void refusesAHeartbeatAfterTheRelayTimeout() {
    sendHeartbeat();
    loop.advance(Duration.ofMillis(1499));
    assertEquals(List.of(), statuses);
    loop.advance(Duration.ofMillis(300));
    assertEquals(List.of(503), statuses);
    relay.tell(
        new HeartbeatRelayActor.LeaderResponded(
            new ForwardedHeartbeatResponse(
                sent.get(0).exchangeId(), new HeartbeatResponse(200, 1, List.of()))));
    loop.advance(Duration.ofSeconds(1));
    assertEquals(List.of(503), statuses);
  }

  /**
   * If the heartbeat were refused, the agent would retry a second later at a controller that knows
   * of no leader either.
   */
  @Test
  void forwardsAParkedHeartbeatToTheNextLeader() {
    relay.tell(new LeaderChanged(2, Optional.empty()));
    sendHeartbeat();
    loop.advance(Duration.ofMillis(900));
    assertEquals(List.of(), statuses);
    relay.tell(new LeaderChanged(3, Optional.of("hive-1")));
    loop.advance(Duration.ofMillis(10));
    relay.tell(
        new HeartbeatRelayActor.LeaderResponded(
            new ForwardedHeartbeatResponse(
                sent.get(0).exchangeId(), new HeartbeatResponse(200, 1, List.of()))));
    loop.advance(Duration.ofMillis(10));
    assertEquals(List.of(200), statuses);
  }

  /**
   * If half of a fleet were refused during a leader change, all of its agents would retry at the
   * same time one second later.
   */
  @Test
  void parksTheHeartbeatsOfAWholeFleetDuringAnElection() {
    relay.tell(new LeaderChanged(2, Optional.empty()));
    for (int i = 0; i < 4000; i++) {
      sendHeartbeat();
    }
    loop.advance(Duration.ofMillis(900));
    assertEquals(0, statuses.size());
    relay.tell(new LeaderChanged(3, Optional.of("hive-1")));
    loop.advance(Duration.ofMillis(10));
    assertEquals(4000, sent.size());
  }

  /** Parked heartbeats occupy connections, and other agents need some of these in the meantime. */
  @Test
  void refusesHeartbeatsBeyondTheParkingLimitAtOnce() {
    int limit = ConnectionLimits.of(SOCKETS).maxWaitingHeartbeats();
    assertTrue(limit < ConnectionLimits.of(SOCKETS).inbound());
    relay.tell(new LeaderChanged(2, Optional.empty()));
    for (int i = 0; i < limit + 3; i++) {
      sendHeartbeat();
    }
    loop.advance(Duration.ofMillis(10));
    assertEquals(3, statuses.size());
    assertTrue(statuses.stream().allMatch(status -> status == 503));
  }

  @Test
  void refusesAParkedHeartbeatAfterTheElectionWait() {
    relay.tell(new LeaderChanged(2, Optional.empty()));
    sendHeartbeat();
    loop.advance(Duration.ofMillis(1800));
    assertEquals(List.of(503), statuses);
    assertEquals(0, sent.size());
  }

  @Test
  void heartbeatsShareOneTimer() {
    for (int i = 0; i < 1000; i++) {
      sendHeartbeat();
      loop.advance(Duration.ofMillis(2));
      relay.tell(
          new HeartbeatRelayActor.LeaderResponded(
              new ForwardedHeartbeatResponse(
                  sent.get(i).exchangeId(), new HeartbeatResponse(200, 1, List.of()))));
      loop.advance(Duration.ofMillis(2));
    }
    assertEquals(1000, statuses.stream().filter(status -> status == 200).count());
    assertTrue(loop.scheduledTimers() <= 20, "scheduled timers: " + loop.scheduledTimers());
  }
}
