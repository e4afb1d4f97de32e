package io.pearscale.scheduler;

import io.pearscale.storage.KeyValueStoreClient;
import io.pearscale.upgrade.LevelGate;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;

/**
 * Whether this controller should listen yet, and whether the load balancer should send it users.
 */
final class ControllerHealth {
  /** A controller that loads the keys counts as healthy for so long after its start. */
  private static final Duration STARTUP_GRACE_PERIOD = Duration.ofSeconds(5);

  /** The key-value store counts as out when it has not answered for so long. */
  private static final Duration STORE_TIMEOUT = Duration.ofMillis(4500);

  /** What a peer has reported of its health counts for so long. */
  private static final Duration PEER_TIMEOUT = Duration.ofSeconds(3);

  private record PeerHealth(Instant reportedAt, boolean storeHealthy) {}

  private final InstantSource clock;
  private final KeyValueStoreClient store;
  private final LevelGate levelGate;
  private final ReplicaStatus replicaStatus;
  private final Duration loadTimeout;
  private final Map<String, PeerHealth> peers = new HashMap<>();
  private Instant startedAt = Instant.EPOCH;

  /**
   * Health of a controller that has not started.
   *
   * @param loadTimeout after this time it listens though the keys are not loaded
   */
  ControllerHealth(
      InstantSource clock,
      KeyValueStoreClient store,
      LevelGate levelGate,
      ReplicaStatus replicaStatus,
      Duration loadTimeout) {
    this.clock = clock;
    this.store = store;
    this.levelGate = levelGate;
    this.replicaStatus = replicaStatus;
    this.loadTimeout = loadTimeout;
  }

  /** The controller begins to work. */
  void started() {
    startedAt = clock.instant();
  }

  /** A peer has reported whether the key-value store answers it. */
  void peerReported(String peer, boolean storeHealthy) {
    peers.put(peer, new PeerHealth(clock.instant(), storeHealthy));
  }

  /** A peer refuses connections: what it reported is void. */
  void peerConnectionRefused(String peer) {
    peers.remove(peer);
  }

  private Duration uptime() {
    return Duration.between(startedAt, clock.instant());
  }

  /**
   * Whether it is time to listen. Before the keys are loaded nothing can be answered, and on a
   * small part of a core the agents that come as soon as there is somebody to ask would take the
   * time that loading needs: they are refused without a word and ask elsewhere. A key-value store
   * that is out is not waited for, since users are to be told when to come back.
   */
  boolean isReadyToListen() {
    return replicaStatus.isLoaded() || uptime().compareTo(loadTimeout) > 0;
  }

  /** Whether this controller may use the key-value store, and has had an answer of it lately. */
  boolean isStoreHealthy() {
    return replicaStatus.isLoaded()
        && levelGate.incompatibility().isEmpty()
        && store
            .lastSuccess()
            .map(time -> Duration.between(time, clock.instant()).compareTo(STORE_TIMEOUT) < 0)
            .orElse(false);
  }

  /**
   * Whether this controller should get users. One that can't reach the key-value store is of no use
   * to them while another can; if none can, all stay, since leaving would only add the balancer's
   * pause to the outage.
   */
  boolean shouldServeUsers() {
    if (!replicaStatus.isLoaded()) {
      // Loading takes a moment, the balancer's return to a node takes seconds: let both run at
      // once.
      return uptime().compareTo(STARTUP_GRACE_PERIOD) < 0;
    }
    return isStoreHealthy() || !peerHasHealthyStore();
  }

  private boolean peerHasHealthyStore() {
    Instant limit = clock.instant().minus(PEER_TIMEOUT);
    return peers.values().stream()
        .anyMatch(peer -> peer.storeHealthy && peer.reportedAt.isAfter(limit));
  }
}
