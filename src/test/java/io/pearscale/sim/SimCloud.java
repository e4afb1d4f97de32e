package io.pearscale.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.protocol.MachineType;
import io.pearscale.transport.HttpClient.Reply;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * A simulated cloud provider with a rate limit, limited capacity, boot times and a machine list
 * that lags behind.
 */
final class SimCloud {
  private record Machine(String name, String type, String zone, boolean spot, Instant createdAt) {}

  private static final int PAGE_SIZE = 500;

  /** The rate limit; bursts may have the calls of two seconds. */
  static final double CALLS_PER_SECOND = 4;

  private final SimulatedCluster cluster;
  private double rateTokens = 2 * CALLS_PER_SECOND;
  private Instant rateTokensAt = SimulatedCluster.START;

  /** How many calls the rate limit rejected. */
  int rateLimitedCalls;

  final Map<String, MachineType> types = new TreeMap<>();
  final Map<String, Integer> capacity = new HashMap<>();
  private final TreeMap<String, Machine> machines = new TreeMap<>();
  private final Map<String, List<String>> machinesByRequest = new HashMap<>();
  private int nextMachineNumber;
  boolean down;
  Duration listLag = Duration.ofSeconds(6);
  int machinesThatNeverBoot;
  int machinesProvisioned;
  final Set<String> faulty = new HashSet<>();

  SimCloud(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  private static String capacityKey(String type, String zone, boolean spot) {
    return type + "/" + zone + "/" + (spot ? "spot" : "ordinary");
  }

  void handleRequest(String method, String path, JsonNode body, Consumer<Reply> answer) {
    if (isRateLimited()) {
      answer.accept(new Reply(429, SimulatedCluster.map()));
    } else if (down) {
      answer.accept(new Reply(503, SimulatedCluster.map().put("error", "trouble")));
    } else if (path.equals("/catalog")) {
      ObjectNode node = SimulatedCluster.map();
      var list = node.putArray("breeds");
      types.values().forEach(type -> list.add(type.toNode()));
      answer.accept(new Reply(200, node));
    } else if (path.equals("/hosts")) {
      handleProvisionRequest(body, answer);
    } else if (path.equals("/hosts/delete")) {
      for (JsonNode node : body.path("hives")) {
        terminate(node.asText());
      }
      answer.accept(new Reply(200, SimulatedCluster.map()));
    } else {
      list(path, answer);
    }
  }

  private boolean isRateLimited() {
    double secondsPassed = Duration.between(rateTokensAt, cluster.now).toNanos() / 1e9;
    rateTokens = Math.min(2 * CALLS_PER_SECOND, rateTokens + secondsPassed * CALLS_PER_SECOND);
    rateTokensAt = cluster.now;
    if (rateTokens < 1) {
      rateLimitedCalls++;
      return true;
    }
    rateTokens--;
    return false;
  }

  private void handleProvisionRequest(JsonNode body, Consumer<Reply> answer) {
    String request = body.path("hire").asText();
    if (machinesByRequest.containsKey(request)) {
      answer.accept(namesReply(machinesByRequest.get(request)));
      return;
    }
    String capacityKey =
        capacityKey(
            body.path("breed").asText(),
            body.path("yard").asText(),
            body.path("windfall").asBoolean());
    int available = capacity.getOrDefault(capacityKey, 0);
    int granted = Math.min(available, body.path("count").asInt());
    if (granted == 0) {
      answer.accept(new Reply(503, SimulatedCluster.map().put("error", "no capacity")));
      return;
    }
    capacity.put(capacityKey, available - granted);
    List<String> names = new ArrayList<>();
    for (int i = 0; i < granted; i++) {
      names.add(
          provision(
              body.path("breed").asText(),
              body.path("yard").asText(),
              body.path("windfall").asBoolean(),
              types.get(body.path("breed").asText()).bootTime()));
    }
    machinesByRequest.put(request, names);
    answer.accept(namesReply(names));
  }

  /** Creates a machine, whose agent starts after the boot time, and returns its name. */
  String provision(String type, String zone, boolean spot, Duration bootTime) {
    String name = "m-%06d".formatted(nextMachineNumber++);
    machines.put(name, new Machine(name, type, zone, spot, cluster.now));
    machinesProvisioned++;
    if (machinesThatNeverBoot > 0) {
      machinesThatNeverBoot--;
      return name;
    }
    cluster.after(
        bootTime,
        () -> {
          if (machines.containsKey(name)) {
            SimAgent agent = new SimAgent(cluster, name, types.get(type), zone, spot);
            agent.faulty = faulty.contains(name);
            cluster.agents.put(name, agent);
            agent.start();
          }
        });
    return name;
  }

  /** Creates machines that are listed immediately and whose agents never start. */
  void provisionWithoutAgents(String type, String zone, int count) {
    listLag = Duration.ZERO;
    machinesThatNeverBoot += count;
    for (int i = 0; i < count; i++) {
      provision(type, zone, /* spot= */ false, Duration.ZERO);
    }
  }

  private static Reply namesReply(List<String> names) {
    ObjectNode body = SimulatedCluster.map();
    var list = body.putArray("hives");
    names.forEach(list::add);
    return new Reply(200, body);
  }

  /** Deletes a machine with everything that runs on it. */
  void terminate(String name) {
    Machine machine = machines.remove(name);
    if (machine == null) {
      return;
    }
    capacity.merge(capacityKey(machine.type, machine.zone, machine.spot), 1, Integer::sum);
    SimAgent agent = cluster.agents.get(name);
    if (agent != null) {
      agent.powerOff();
    }
    cluster.trace(name + " terminated");
  }

  private void list(String path, Consumer<Reply> answer) {
    int since = path.indexOf("since=");
    String startAfter = since < 0 ? "" : path.substring(since + "since=".length()).split("&")[0];
    ObjectNode body = SimulatedCluster.map().put("more", false);
    var list = body.putArray("hives");
    for (Machine machine : machines.tailMap(startAfter, false).values()) {
      if (machine.createdAt.plus(listLag).isAfter(cluster.now)) {
        continue;
      }
      if (list.size() == PAGE_SIZE) {
        body.put("more", true);
        break;
      }
      SimAgent agent = cluster.agents.get(machine.name);
      list.addObject()
          .put("uid", machine.name)
          .put("address", cluster.machineAddress.apply(machine.name))
          .put("breed", machine.type)
          .put("yard", machine.zone)
          .put("windfall", machine.spot)
          .put("stage", agent == null ? "booting" : agent.isDead() ? "failed" : "running")
          .put("ageS", Duration.between(machine.createdAt, cluster.now).toSeconds());
    }
    answer.accept(new Reply(200, body));
  }
}
