package io.pearscale.sim;

import com.fasterxml.jackson.databind.JsonNode;
import io.pearscale.transport.HttpClient.Reply;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The simulated network between all hosts of a {@link SimulatedCluster}, with its injected faults:
 * partitions, latency, and requests and responses that are lost, late or delivered twice.
 */
final class SimNetwork {
  private final SimulatedCluster cluster;

  /** Records sent between controllers. */
  long peerRecords;

  /** Command requests that controllers sent directly to agents. */
  long directCommands;

  boolean peerConnectionsRefused;

  /** Added to the latency of every message. */
  Duration extraLatency = Duration.ZERO;

  /** Machines with a controller-to-agent partition: only their own messages are delivered. */
  final Set<String> controllerToAgentPathDown = new HashSet<>();

  /** Machines with an agent-to-controller partition: they can only respond to requests. */
  final Set<String> agentToControllerPathDown = new HashSet<>();

  /** How many of a machine's next heartbeats are delivered twice. */
  final Map<String, Integer> duplicatedHeartbeats = new HashMap<>();

  /** Delay of the second delivery of a duplicated heartbeat. */
  Duration duplicateDelay = Duration.ZERO;

  /** How many of the next direct command requests fail before they are sent. */
  int unsentCommands;

  /** How many of the next direct command requests are delayed and lose their responses. */
  int delayedCommands;

  Duration commandDelay = Duration.ZERO;

  /** Probability that the response to a heartbeat is lost on its way to the machine. */
  double lostResponseShare;

  /**
   * Probability that a direct command request fails: for one half of it the request is lost, for
   * the other half the agent executes the commands and the response is lost.
   */
  double lostCommandShare;

  final NetworkPartitions partitions = new NetworkPartitions(this::zoneOfMachine);
  final LateCommands lateCommands;
  final LateHeartbeats lateHeartbeats = new LateHeartbeats(this::deliverLateHeartbeat);

  SimNetwork(SimulatedCluster cluster) {
    this.cluster = cluster;
    this.lateCommands = new LateCommands(cluster);
  }

  private Optional<String> zoneOfMachine(String host) {
    return Optional.ofNullable(cluster.agents.get(host)).map(agent -> agent.zone);
  }

  private Duration latency() {
    return Duration.ofMillis(1 + cluster.random.nextInt(4)).plus(extraLatency);
  }

  /** Delivers a message; a partition loses or buffers it. */
  void deliver(String from, String to, Runnable deliver) {
    if (controllerToAgentPathDown.contains(to)) {
      return;
    }
    if (partitions.separates(from, to)) {
      partitions.intercept(from, to, deliver);
      return;
    }
    deliverWithLatency(deliver);
  }

  /** Delivers a message after the latency of the network. */
  void deliverWithLatency(Runnable message) {
    cluster.after(latency(), message);
  }

  /** Sends a request and its response over the network, with the injected faults. */
  void request(
      String from,
      String to,
      String method,
      String path,
      JsonNode body,
      Duration timeout,
      Consumer<Reply> answer) {
    Consumer<Reply> once = onceRecorded(from, to, method, path, answer);
    cluster.wireRecorder.ifPresent(recorder -> recorder.request(from, to, method, path, body));
    cluster.after(timeout, () -> once.accept(Reply.NO_RESPONSE));
    if (agentToControllerPathDown.contains(from)) {
      return;
    }
    boolean isCommand = path.equals("/do");
    JsonNode copy = body.deepCopy();
    if (path.equals("/checkin") && !partitions.separates(from, to)) {
      lateHeartbeats.heartbeatSent(from, copy);
    }
    if (isCommand && unsentCommands > 0) {
      unsentCommands--;
      cluster.after(Duration.ZERO, () -> once.accept(Reply.NOT_SENT));
      return;
    }
    directCommands += isCommand ? 1 : 0;
    if (duplicatedHeartbeats.getOrDefault(from, 0) > 0) {
      duplicatedHeartbeats.merge(from, -1, Integer::sum);
      String receiver = cluster.randomRunningController().map(n -> n.name).orElse(to);
      cluster.after(duplicateDelay, () -> serve(from, receiver, method, path, copy, r -> {}));
    }
    if (isCommand && lateCommands.holds(to, copy)) {
      return;
    }
    if (isCommand && delayedCommands > 0) {
      delayedCommands--;
      cluster.after(commandDelay, () -> serve(from, to, method, path, copy, r -> {}));
      return;
    }
    boolean requestLost = isCommand && drawFault(lostCommandShare / 2);
    boolean answerLost =
        (isCommand && drawFault(lostCommandShare / 2))
            || (path.equals("/checkin") && drawFault(lostResponseShare));
    if (requestLost) {
      return;
    }
    Consumer<Reply> onReply =
        answerLost ? reply -> {} : reply -> deliver(to, from, () -> once.accept(reply));
    deliver(from, to, () -> serve(from, to, method, path, copy, onReply));
  }

  /** Returns a consumer that records the first reply and passes it on; it ignores all others. */
  private Consumer<Reply> onceRecorded(
      String from, String to, String method, String path, Consumer<Reply> answer) {
    boolean[] answered = {false};
    return reply -> {
      if (!answered[0]) {
        answered[0] = true;
        cluster.wireRecorder.ifPresent(
            recorder -> recorder.response(from, to, method, path, reply));
        answer.accept(reply);
      }
    };
  }

  /** Delivers a late copy of a heartbeat to a controller outside the isolated zone. */
  private void deliverLateHeartbeat(String machine, JsonNode heartbeat, Duration delay) {
    List<String> receivers =
        cluster.controllers.keySet().stream().filter(name -> !partitions.isIsolated(name)).toList();
    String receiver = receivers.get(cluster.random.nextInt(receivers.size()));
    cluster.trace("late copy of a heartbeat of " + machine + " to " + receiver);
    cluster.after(
        delay, () -> serve(machine, receiver, "POST", "/checkin", heartbeat, reply -> {}));
  }

  /** Draws a random number only if the fault is enabled, so that other scenarios do not change. */
  private boolean drawFault(double probability) {
    return probability > 0 && cluster.random.nextDouble() < probability;
  }

  /** Passes a request to the simulated host that it is addressed to. */
  void serve(
      String from, String to, String method, String path, JsonNode body, Consumer<Reply> answer) {
    if (to.equals("state")) {
      cluster.store.handleRequest(from, method, path, body, answer);
    } else if (to.equals("cloud")) {
      cluster.cloud.handleRequest(method, path, body, answer);
    } else if (cluster.controllers.containsKey(to)) {
      cluster.controllers.get(to).handleRequest(from, method, path, body, answer);
    } else if (cluster.agents.containsKey(to)) {
      cluster
          .agents
          .get(to)
          .handleRequest(
              method,
              path,
              body,
              reply -> {
                if (path.equals("/do") && reply.status() == 200) {
                  lateCommands.executed(to, body);
                }
                answer.accept(reply);
              });
    }
  }
}
