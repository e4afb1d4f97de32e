package io.pearscale.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Late copies of direct commands. The protocol lets a command that an agent has executed and
 * answered arrive once more, minutes later, as long as its fencing token and incarnation still
 * match. Nobody receives the answers to copies.
 */
final class LateCommands {
  /** The copies that {@link #deliverAll} delivers arrive within this time. */
  private static final Duration DELIVERY_SPREAD = Duration.ofMillis(800);

  private final SimulatedCluster cluster;
  private final Map<String, List<JsonNode>> executedByMachine = new TreeMap<>();
  private boolean enabled;
  private double repeatedShare;
  private Duration maxDelay = Duration.ZERO;

  LateCommands(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  /** Keeps copies of all commands that agents execute from now on. */
  void enable() {
    enabled = true;
  }

  /**
   * Delivers each command that an agent executes from now on once more with the given probability,
   * after at most the given delay.
   */
  void repeat(double share, Duration longestDelay) {
    enable();
    repeatedShare = share;
    maxDelay = longestDelay;
  }

  /** Observes a command request that an agent has executed. */
  void executed(String machine, JsonNode request) {
    if (!enabled || request.path("orders").isEmpty()) {
      return;
    }
    executedByMachine.computeIfAbsent(machine, name -> new ArrayList<>()).add(request);
    if (repeatedShare > 0 && cluster.random.nextDouble() < repeatedShare) {
      deliverWithin(maxDelay, machine, request);
    }
  }

  /** Delivers a copy of each command that the agents have executed so far. */
  void deliverAll() {
    executedByMachine.forEach(
        (machine, requests) ->
            requests.forEach(request -> deliverWithin(DELIVERY_SPREAD, machine, request)));
  }

  private void deliverWithin(Duration longest, String machine, JsonNode request) {
    Duration delay = Duration.ofMillis((long) (cluster.random.nextDouble() * longest.toMillis()));
    cluster.after(delay, () -> deliver(machine, request));
  }

  private void deliver(String machine, JsonNode request) {
    SimAgent agent = cluster.agents.get(machine);
    if (agent != null) {
      agent.handleRequest("POST", "/do", request, reply -> {});
    }
  }
}
