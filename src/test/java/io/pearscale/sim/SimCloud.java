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

/** A stand-in for the cloud, by its protocol: names, boot times, a list that lags. */
final class SimCloud {
  private record Machine(String name, String type, String zone, boolean spot, Instant at) {}

  private static final int PAGE = 500;

  /** Calls a second, of which two seconds' worth may come at once. */
  static final double RATE = 4;

  private final SimulatedCluster world;
  private double allowed = 2 * RATE;
  private Instant counted = SimulatedCluster.START;

  /** Calls that were over the rate. */
  int overRate;

  final Map<String, MachineType> types = new TreeMap<>();
  final Map<String, Integer> capacity = new HashMap<>();
  private final TreeMap<String, Machine> machines = new TreeMap<>();
  private final Map<String, List<String>> answers = new HashMap<>();
  private int nextMachineNumber;
  boolean down;
  Duration listLag = Duration.ofSeconds(6);
  int neverBoot;
  int machinesProvisioned;
  final Set<String> faulty = new HashSet<>();

  SimCloud(SimulatedCluster cluster) {
    this.world = cluster;
  }

  private static String kind(String type, String zone, boolean spot) {
    return type + "/" + zone + "/" + (spot ? "spot" : "ordinary");
  }

  void serve(String method, String path, JsonNode body, Consumer<Reply> answer) {
    if (overRate()) {
      answer.accept(new Reply(429, SimulatedCluster.map()));
    } else if (down) {
      answer.accept(new Reply(503, SimulatedCluster.map().put("error", "trouble")));
    } else if (path.equals("/catalog")) {
      ObjectNode n = SimulatedCluster.map();
      var list = n.putArray("breeds");
      types.values().forEach(type -> list.add(type.toNode()));
      answer.accept(new Reply(200, n));
    } else if (path.equals("/hosts")) {
      handleProvisionRequest(body, answer);
    } else if (path.equals("/hosts/delete")) {
      for (JsonNode n : body.path("hives")) {
        terminate(n.asText());
      }
      answer.accept(new Reply(200, SimulatedCluster.map()));
    } else {
      list(path, answer);
    }
  }

  private boolean overRate() {
    double passed = Duration.between(counted, world.now).toNanos() / 1e9;
    allowed = Math.min(2 * RATE, allowed + passed * RATE);
    counted = world.now;
    if (allowed < 1) {
      overRate++;
      return true;
    }
    allowed--;
    return false;
  }

  private void handleProvisionRequest(JsonNode body, Consumer<Reply> answer) {
    String request = body.path("hire").asText();
    if (answers.containsKey(request)) {
      answer.accept(names(answers.get(request)));
      return;
    }
    String kind =
        kind(
            body.path("breed").asText(),
            body.path("yard").asText(),
            body.path("windfall").asBoolean());
    int left = capacity.getOrDefault(kind, 0);
    int n = Math.min(left, body.path("count").asInt());
    if (n == 0) {
      answer.accept(new Reply(503, SimulatedCluster.map().put("error", "no capacity")));
      return;
    }
    capacity.put(kind, left - n);
    List<String> names = new ArrayList<>();
    for (int i = 0; i < n; i++) {
      names.add(
          provision(
              body.path("breed").asText(),
              body.path("yard").asText(),
              body.path("windfall").asBoolean(),
              types.get(body.path("breed").asText()).bootTime()));
    }
    answers.put(request, names);
    answer.accept(names(names));
  }

  /** A machine comes into being; its worker starts when it has booted. */
  String provision(String type, String zone, boolean spot, Duration boot) {
    String name = "m-%06d".formatted(nextMachineNumber++);
    machines.put(name, new Machine(name, type, zone, spot, world.now));
    machinesProvisioned++;
    if (neverBoot > 0) {
      neverBoot--;
      return name;
    }
    world.after(
        boot,
        () -> {
          if (machines.containsKey(name)) {
            SimAgent w = new SimAgent(world, name, types.get(type), zone, spot);
            w.faulty = faulty.contains(name);
            world.agents.put(name, w);
            w.start();
          }
        });
    return name;
  }

  private static Reply names(List<String> names) {
    ObjectNode n = SimulatedCluster.map();
    var list = n.putArray("hives");
    names.forEach(list::add);
    return new Reply(200, n);
  }

  /** The machine and everything on it is gone. */
  void terminate(String name) {
    Machine r = machines.remove(name);
    if (r == null) {
      return;
    }
    capacity.merge(kind(r.type, r.zone, r.spot), 1, Integer::sum);
    SimAgent w = world.agents.get(name);
    if (w != null) {
      w.die();
    }
    world.trace(name + " gone");
  }

  private void list(String path, Consumer<Reply> answer) {
    int since = path.indexOf("since=");
    String last = since < 0 ? "" : path.substring(since + "since=".length()).split("&")[0];
    ObjectNode n = SimulatedCluster.map().put("more", false);
    var list = n.putArray("hives");
    for (Machine r : machines.tailMap(last, false).values()) {
      if (r.at.plus(listLag).isAfter(world.now)) {
        continue;
      }
      if (list.size() == PAGE) {
        n.put("more", true);
        break;
      }
      SimAgent w = world.agents.get(r.name);
      list.addObject()
          .put("uid", r.name)
          .put("address", world.machineAddress.apply(r.name))
          .put("breed", r.type)
          .put("yard", r.zone)
          .put("windfall", r.spot)
          .put("stage", w == null ? "booting" : w.isDead() ? "failed" : "running")
          .put("ageS", Duration.between(r.at, world.now).toSeconds());
    }
    answer.accept(new Reply(200, n));
  }
}
