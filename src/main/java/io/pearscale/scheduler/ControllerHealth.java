package io.pearscale.scheduler;

import io.pearscale.storage.KeyValueStoreClient;
import io.pearscale.upgrade.LevelGate;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;

/**
 * Decides when this controller starts to listen, and whether the load balancer should route users
 * to it.
 */
final class ControllerHealth {
  /**
   * Time after the start for which a controller counts as healthy while it loads the stored keys.
   */
  private static final Duration STARTUP_GRACE_PERIOD = Duration.ofSeconds(5);

  /** Time without a reply after which the key-value store counts as unavailable. */
  private static final Duration STORE_TIMEOUT = Duration.ofMillis(4500);

  /** Time for which a peer's health report is valid. */
  private static final Duration PEER_TIMEOUT = Duration.ofSeconds(3);

  private record PeerHealth(Instant reportedAt, boolean storeHealthy) {}

  private final InstantSource clock;
  private final KeyValueStoreClient store;
  private final LevelGate levelGate;
  private final ReplicaStatus replicaStatus;
  private final Duration loadTimeout;
  private final Map<String, PeerHealth> peerHealth = new HashMap<>();
  private Instant startedAt = Instant.EPOCH;

  /**
   * Creates the health of a controller that has not started.
   *
   * @param loadTimeout the time after the start at which the controller listens even if the stored
   *     keys are not loaded
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

  /** Records the start of the controller. */
  void started() {
    startedAt = clock.instant();
  }

  /** Records whether the key-value store answers a peer. */
  void peerReported(String peer, boolean storeHealthy) {
    peerHealth.put(peer, new PeerHealth(clock.instant(), storeHealthy));
  }

  /** Discards the health report of a peer that refuses connections. */
  void peerConnectionRefused(String peer) {
    peerHealth.remove(peer);
  }

  private Duration uptime() {
    return Duration.between(startedAt, clock.instant());
  }

  /**
   * Returns whether the controller should listen. It can't respond to any request before the stored
   * keys are loaded. On a small share of a CPU core, the agents that connect as soon as it listens
   * would use the CPU time that loading needs; while it does not listen, their connections are
   * refused and they try another controller. After the load timeout it listens even if the
   * key-value store is unavailable, so that it can tell users when to retry.
   */
  boolean isReadyToListen() {
    return replicaStatus.isLoaded() || uptime().compareTo(loadTimeout) > 0;
  }

  /**
   * Returns whether this controller may use the key-value store and has recently received a reply
   * from it.
   */
  boolean isStoreHealthy() {
    return replicaStatus.isLoaded()
        && levelGate.incompatibility().isEmpty()
        && store
            .lastSuccess()
            .map(time -> Duration.between(time, clock.instant()).compareTo(STORE_TIMEOUT) < 0)
            .orElse(false);
  }

  /**
   * Returns whether the load balancer should route users to this controller. A controller that
   * can't reach the key-value store can't serve users while another controller can. If no
   * controller can reach it, all of them stay in rotation, since removing them would only add the
   * load balancer's delay to the outage.
   */
  boolean shouldServeUsers() {
    if (!replicaStatus.isLoaded()) {
      // Loading is short and the load balancer takes seconds to return a node to rotation, so the
      // grace period lets both run concurrently.
      return uptime().compareTo(STARTUP_GRACE_PERIOD) < 0;
    }
    return isStoreHealthy() || !peerHasHealthyStore();
  }

  private boolean peerHasHealthyStore() {
    Instant oldestValidReport = clock.instant().minus(PEER_TIMEOUT);
    return peerHealth.values().stream()
        .anyMatch(peer -> peer.storeHealthy && peer.reportedAt.isAfter(oldestValidReport));
  }
}
