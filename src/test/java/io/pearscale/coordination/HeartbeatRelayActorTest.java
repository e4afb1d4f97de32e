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

/** Heartbeats on their way to the leader: each is answered once, and they share a timer. */
class HeartbeatRelayActorTest {
  private static final Heartbeat HEARTBEAT =
      new Heartbeat("m-1", "a:1", "small", "a", false, 1, 1, 0, Optional.empty(), List.of());

  /** Of a controller that is to serve 4,000 agents while it is the only one. */
  private static final int SOCKETS = 8000;

  private final CountingEventLoop loop = new CountingEventLoop();
  private final List<ForwardedHeartbeat> sent = new ArrayList<>();
  private final List<Integer> answers = new ArrayList<>();
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
          (heartbeat, answer) -> {});

  HeartbeatRelayActorTest() {
    relay.tell(new LeaderChanged(1, Optional.of("hive-1")));
  }

  private void sendHeartbeat() {
    relay.tell(
        new HeartbeatReceived(HEARTBEAT, (answer, elsewhere) -> answers.add(answer.status())));
  }

  @Test
  void aHeartbeatWithoutAResponseIsRefusedInTime() {
    sendHeartbeat();
    loop.advance(Duration.ofMillis(1499));
    assertEquals(List.of(), answers);
    loop.advance(Duration.ofMillis(300));
    assertEquals(List.of(503), answers);
    relay.tell(
        new HeartbeatRelayActor.LeaderResponded(
            new ForwardedHeartbeatResponse(
                sent.get(0).exchangeId(), new HeartbeatResponse(200, 1, List.of()))));
    loop.advance(Duration.ofSeconds(1));
    assertEquals(List.of(503), answers);
  }

  /** A refused agent asks again in a second, at a controller that knows no more. */
  @Test
  void aHeartbeatDuringAnElectionIsAnsweredByTheNextLeader() {
    relay.tell(new LeaderChanged(2, Optional.empty()));
    sendHeartbeat();
    loop.advance(Duration.ofMillis(900));
    assertEquals(List.of(), answers);
    relay.tell(new LeaderChanged(3, Optional.of("hive-1")));
    loop.advance(Duration.ofMillis(10));
    relay.tell(
        new HeartbeatRelayActor.LeaderResponded(
            new ForwardedHeartbeatResponse(
                sent.get(0).exchangeId(), new HeartbeatResponse(200, 1, List.of()))));
    loop.advance(Duration.ofMillis(10));
    assertEquals(List.of(200), answers);
  }

  /** Half a fleet that is turned away in a takeover comes back a second later, all at once. */
  @Test
  void aWholeFleetWaitsForAnElectionWhereSocketsAllowIt() {
    relay.tell(new LeaderChanged(2, Optional.empty()));
    for (int i = 0; i < 4000; i++) {
      sendHeartbeat();
    }
    loop.advance(Duration.ofMillis(900));
    assertEquals(0, answers.size());
    relay.tell(new LeaderChanged(3, Optional.of("hive-1")));
    loop.advance(Duration.ofMillis(10));
    assertEquals(4000, sent.size());
  }

  /** Parked heartbeats hold connections, of which agents that ask meanwhile need some too. */
  @Test
  void heartbeatsBeyondTheParkingLimitAreRefusedAtOnce() {
    int most = ConnectionLimits.of(SOCKETS).maxWaitingHeartbeats();
    assertTrue(most < ConnectionLimits.of(SOCKETS).inbound());
    relay.tell(new LeaderChanged(2, Optional.empty()));
    for (int i = 0; i < most + 3; i++) {
      sendHeartbeat();
    }
    loop.advance(Duration.ofMillis(10));
    assertEquals(3, answers.size());
    assertTrue(answers.stream().allMatch(status -> status == 503));
  }

  @Test
  void aHeartbeatWithoutALeaderIsRefusedInTime() {
    relay.tell(new LeaderChanged(2, Optional.empty()));
    sendHeartbeat();
    loop.advance(Duration.ofMillis(1800));
    assertEquals(List.of(503), answers);
    assertEquals(0, sent.size());
  }

  @Test
  void aThousandHeartbeatsShareTimers() {
    for (int i = 0; i < 1000; i++) {
      sendHeartbeat();
      loop.advance(Duration.ofMillis(2));
      relay.tell(
          new HeartbeatRelayActor.LeaderResponded(
              new ForwardedHeartbeatResponse(
                  sent.get(i).exchangeId(), new HeartbeatResponse(200, 1, List.of()))));
      loop.advance(Duration.ofMillis(2));
    }
    assertEquals(1000, answers.stream().filter(status -> status == 200).count());
    assertTrue(loop.scheduledTimers() <= 20, "timers: " + loop.scheduledTimers());
  }
}
