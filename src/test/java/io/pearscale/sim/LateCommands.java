package io.pearscale.sim;

import com.fasterxml.jackson.databind.JsonNode;
import io.pearscale.protocol.TaskId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Late copies of direct commands. The protocol lets a command that an agent has executed and
 * answered arrive once more, minutes later, as long as its fencing token and incarnation still
 * match. Nobody receives the answers to copies.
 */
final class LateCommands {
  /** The copies that {@link #deliverAll} delivers arrive within this time. */
  private static final Duration DELIVERY_SPREAD = Duration.ofMillis(800);

  /** The start of a task's attempt in a command request to a machine. */
  record Start(String machine, JsonNode request, long attempt) {}

  private final SimulatedCluster cluster;
  private final Map<String, List<JsonNode>> keptByMachine = new TreeMap<>();
  private boolean enabled;
  private double repeatedShare;
  private Duration maxDelay = Duration.ZERO;
  private Optional<TaskId> taskWithHeldStart = Optional.empty();

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

  /** Holds the next command request that starts the task; it is never delivered by itself. */
  void holdNextStart(TaskId task) {
    taskWithHeldStart = Optional.of(task);
  }

  /** Returns whether the request that is being sent is to be held, and keeps it if so. */
  boolean holds(String machine, JsonNode request) {
    if (taskWithHeldStart.flatMap(task -> attemptStarted(request, task)).isEmpty()) {
      return false;
    }
    taskWithHeldStart = Optional.empty();
    keep(machine, request);
    return true;
  }

  /** Returns the first start of the task in the requests that were kept. */
  Optional<Start> startOf(TaskId task) {
    for (Map.Entry<String, List<JsonNode>> entry : keptByMachine.entrySet()) {
      for (JsonNode request : entry.getValue()) {
        Optional<Long> attempt = attemptStarted(request, task);
        if (attempt.isPresent()) {
          return Optional.of(new Start(entry.getKey(), request, attempt.get()));
        }
      }
    }
    return Optional.empty();
  }

  private static Optional<Long> attemptStarted(JsonNode request, TaskId task) {
    for (JsonNode command : request.path("orders")) {
      if (command.path("verb").asText().equals("run")
          && command.path("piece").asText().equals(task.toString())) {
        return Optional.of(command.path("try").asLong());
      }
    }
    return Optional.empty();
  }

  private void keep(String machine, JsonNode request) {
    keptByMachine.computeIfAbsent(machine, name -> new ArrayList<>()).add(request);
  }

  /** Observes a command request that an agent has executed. */
  void executed(String machine, JsonNode request) {
    if (!enabled || request.path("orders").isEmpty()) {
      return;
    }
    keep(machine, request);
    if (repeatedShare > 0 && cluster.random.nextDouble() < repeatedShare) {
      deliverWithin(maxDelay, machine, request);
    }
  }

  /** Delivers a copy of each command that the agents have executed so far. */
  void deliverAll() {
    keptByMachine.forEach(
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
