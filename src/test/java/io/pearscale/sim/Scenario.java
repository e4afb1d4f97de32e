package io.pearscale.sim;

import io.pearscale.protocol.JobSpec;
import io.pearscale.protocol.MachineType;
import io.pearscale.protocol.Priority;
import io.pearscale.protocol.Settings;
import io.pearscale.protocol.WorkloadType;
import io.pearscale.scheduler.OperatorSettings;
import io.pearscale.upgrade.SupportedLevels;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Parses the text of a scenario, runs it in a simulated cluster and reports what failed. */
final class Scenario {
  private final SimulatedCluster cluster;
  private final ScenarioDrains drains;
  private final List<Runnable> expectations = new ArrayList<>();
  private final List<String> failures = new ArrayList<>();
  private Duration runTime = Duration.ofSeconds(60);

  /** Time in which a replica that is being moved runs on another machine. */
  private static final Duration RESCHEDULING_TIME = Duration.ofSeconds(3);

  Scenario(long seed) {
    cluster = new SimulatedCluster(seed);
    drains = new ScenarioDrains(cluster, this::resolveName);
  }

  /** Runs a scenario; returns its failures and the log of the run, or an empty list. */
  static List<String> play(String text, long seed) {
    return of(text, seed).run();
  }

  /** Parses a scenario without running it. */
  static Scenario of(String text, long seed) {
    Scenario s = new Scenario(seed);
    for (String line : text.split("\n")) {
      String clean = line.replaceAll("#.*", "").strip();
      if (!clean.isEmpty()) {
        s.executeLine(clean);
      }
    }
    return s;
  }

  SimulatedCluster cluster() {
    return cluster;
  }

  /** Starts the controllers and the checks, without running the simulation. */
  void begin() {
    cluster.controllers.values().forEach(SimController::start);
    cluster.checkInvariants();
  }

  List<String> run() {
    begin();
    cluster.runUntil(runTime);
    int before = failures.size();
    expectations.forEach(Runnable::run);
    if (failures.size() > before) {
      // A replica may be in transition between machines: only a lasting failure counts.
      failures.subList(before, failures.size()).clear();
      cluster.runUntil(runTime.plus(RESCHEDULING_TIME));
      expectations.forEach(Runnable::run);
    }
    cluster.checkEndOfRun();
    failures.addAll(cluster.violations);
    if (!failures.isEmpty()) {
      cluster
          .store
          .entriesWithPrefix("c/drain-status/")
          .forEach((key, v) -> failures.add(key + " " + v));
      failures.addAll(cluster.log);
    }
    return failures;
  }

  private static Map<String, String> options(List<String> words) {
    Map<String, String> options = new HashMap<>();
    for (String w : words) {
      String[] kv = w.split("=", 2);
      options.put(kv[0], kv.length > 1 ? kv[1] : "true");
    }
    return options;
  }

  private static Settings.StoreLimits storeLimits(Map<String, String> options) {
    return new Settings.StoreLimits(
        number(options, "rps", 100),
        number(options, "writes", 60),
        (int) number(options, "value", 8192),
        (int) number(options, "txn", 24));
  }

  private static double number(Map<String, String> options, String key, double defaultValue) {
    return Double.parseDouble(options.getOrDefault(key, Double.toString(defaultValue)));
  }

  static Duration parseSeconds(String text) {
    return Duration.ofMillis(Math.round(Double.parseDouble(text) * 1000));
  }

  private void executeLine(String line) {
    List<String> w = Arrays.asList(line.split("\\s+"));
    Map<String, String> o = options(w.subList(1, w.size()));
    switch (w.get(0)) {
      case "nodes" -> {
        for (int i = 0; i < Integer.parseInt(w.get(1)); i++) {
          cluster.controllers.put("hive-" + i, new SimController(cluster, "hive-" + i));
        }
      }
      case "build" -> installBuild(w);
      case "value-bytes" -> {
        cluster.valueBytes = Integer.parseInt(w.get(1));
        cluster.store.maxValueBytes = cluster.valueBytes;
      }
      case "next-limits" -> cluster.nextLimits = Optional.of(storeLimits(o));
      case "announce" ->
          cluster.operatorSettings =
              new OperatorSettings(
                  Optional.of(parseSeconds(w.get(1))),
                  cluster.operatorSettings.highestLevel(),
                  o.containsKey("automatic"),
                  cluster.operatorSettings.drains());
      case "budget" -> cluster.disruptionChecker.add(drains.addBudget(w));
      case "unchecked-budget" -> drains.addBudget(w);
      case "drift" -> cluster.controllers.get(w.get(1)).clockRate = Double.parseDouble(w.get(2));
      case "cpu-share" -> cluster.cpuShare = Double.parseDouble(w.get(1));
      case "workers" -> {
        cluster.heartbeatInterval = parseSeconds(o.get("report"));
        cluster.lease = parseSeconds(o.get("lease"));
        cluster.cancelTimeout = parseSeconds(o.get("cancel"));
      }
      case "zones" -> cluster.zones = w.subList(1, w.size());
      case "type" -> cluster.cloud.types.put(w.get(1), type(w.get(1), o));
      case "capacity" ->
          cluster.cloud.capacity.put(
              w.get(1) + "/" + w.get(2) + "/" + w.get(3), Integer.parseInt(w.get(4)));
      case "machines" -> {
        for (int i = 0; i < Integer.parseInt(w.get(4)); i++) {
          cluster.cloud.provision(w.get(1), w.get(2), w.get(3).equals("spot"), Duration.ZERO);
        }
      }
      case "team" ->
          cluster.teams.add(
              new Settings.Team(w.get(1), number(o, "cpus", 0), number(o, "cpus_max", 0), 0, 0));
      case "class" ->
          cluster.objectives.add(
              new Settings.ServiceLevelObjective(w.get(2), w.get(1), parseSeconds(w.get(3))));
      case "keep-command-copies" -> cluster.network.lateCommands.enable();
      case "faulty" -> cluster.cloud.faulty.addAll(w.subList(1, w.size()));
      case "never-boot" -> cluster.cloud.machinesThatNeverBoot = Integer.parseInt(w.get(1));
      case "until" -> runTime = parseSeconds(w.get(1));
      case "at" -> {
        List<String> rest = w.subList(2, w.size());
        Instant when = cluster.now.plus(parseSeconds(w.get(1)));
        cluster.at(when, () -> performAction(rest));
        boolean isFault =
            !List.of("submit", "resubmit", "cancel", "cancel-at-end", "alias", "check")
                .contains(rest.get(0));
        if (isFault && when.isAfter(cluster.lastFaultAt)) {
          cluster.lastFaultAt = when;
        }
      }
      case "expect" -> expectations.add(() -> checkExpectation(w.subList(1, w.size()), line));
      default -> throw new IllegalArgumentException("unknown scenario statement: " + line);
    }
  }

  static MachineType type(String name, List<String> zones, List<String> words) {
    return type(name, zones, options(words));
  }

  private MachineType type(String name, Map<String, String> options) {
    return type(name, cluster.zones, options);
  }

  private static MachineType type(String name, List<String> zones, Map<String, String> options) {
    return new MachineType(
        name,
        number(options, "cpus", 8),
        0,
        number(options, "mem", 64),
        100,
        1,
        number(options, "price", 1),
        number(options, "spot", 0.4),
        parseSeconds(options.getOrDefault("boot", "5")),
        zones);
  }

  static JobSpec job(String id, WorkloadType workloadType, Map<String, String> options) {
    return new JobSpec(
        id,
        options.getOrDefault("class", "any"),
        options.getOrDefault("team", "t"),
        workloadType,
        Priority.parse(
                options.getOrDefault(
                    "priority", workloadType == WorkloadType.SERVICE ? "critical" : "normal"))
            .orElseThrow(),
        (int) number(options, "tasks", 1),
        number(options, "cpus", 1),
        0,
        number(options, "mem", 1),
        options.getOrDefault("image", "img"),
        number(options, "image-gb", 1),
        Optional.ofNullable(options.get("types")).map(t -> List.of(t.split(","))),
        Optional.ofNullable(options.get("zone")),
        options.containsKey("one-zone"),
        options.containsKey("spread"),
        options.containsKey("spot"),
        parseSeconds(options.getOrDefault("run", "5")),
        parseSeconds(options.getOrDefault("checkpoint", "0")),
        parseSeconds(options.getOrDefault("save", "0")),
        Optional.ofNullable(options.get("deadline")).map(Scenario::parseSeconds));
  }

  /**
   * Resolves a name of the script: a role such as {@code leader} (as recorded in the state service)
   * or {@code follower}, {@code host:TASK} for the machine of a task, an alias, or a plain name.
   */
  private String resolveName(String word) {
    if (word.equals("leader-if-any")) {
      return cluster.store.leader().orElse("hive-0");
    }
    if (word.equals("leader") || word.startsWith("follower")) {
      String leader =
          cluster
              .store
              .leader()
              .orElseThrow(
                  () -> new IllegalStateException("scenario: the state service records no leader"));
      return word.equals("leader")
          ? leader
          : cluster.controllers.keySet().stream()
              .filter(n -> !n.equals(leader))
              .skip(word.equals("follower2") ? 1 : 0)
              .findFirst()
              .get();
    }
    if (word.startsWith("host:")) {
      return cluster.runningTasks.stream()
          .filter(p -> p.task().toString().equals(word.substring(5)))
          .map(p -> p.agent().name)
          .findFirst()
          .orElseThrow(() -> new IllegalStateException("scenario: task has no machine: " + word));
    }
    return aliases.getOrDefault(word, word);
  }

  private final Map<String, String> aliases = new HashMap<>();

  /** Performs one action of a script now. */
  void performAction(List<String> words) {
    String verb = words.get(0);
    cluster.trace("action " + String.join(" ", words));
    switch (verb) {
      case "alias" -> aliases.put(words.get(2), resolveName(words.get(1)));
      case "submit" -> submit(cluster, words);
      case "resubmit" -> cluster.users.get(words.get(1)).submit();
      case "cancel" -> cluster.users.get(words.get(1)).cancel();
      case "crash" -> resolveControllers(words.get(1)).forEach(SimController::crash);
      case "freeze" ->
          resolveControllers(words.get(1))
              .forEach(n -> n.freeze(parseSeconds(words.get(2)), words.contains("before-send")));
      case "start" -> resolveControllers(words.get(1)).forEach(SimController::start);
      case "cut" ->
          cluster.network.partitions.partition(
              resolveName(words.get(1)), resolveName(words.get(2)), words.contains("hold"));
      case "heal" ->
          cluster.network.partitions.heal(
              resolveName(words.get(1)),
              resolveName(words.get(2)),
              cluster.network::deliverWithLatency);
      case "isolate-zone" ->
          cluster.network.partitions.isolateZone(
              words.get(1),
              words.stream().skip(2).filter(w -> !w.equals("hold")).map(this::resolveName).toList(),
              words.contains("hold"));
      case "rejoin-zone" ->
          cluster.network.partitions.rejoinZone(cluster.network::deliverWithLatency);
      case "copy-heartbeats-for-next-leader" ->
          cluster.network.lateHeartbeats.copyHeartbeatsOf(words.get(1), parseSeconds(words.get(2)));
      case "down" -> {
        if (words.get(1).equals("state")) {
          cluster.store.down = true;
        } else {
          cluster.cloud.down = true;
        }
      }
      case "up" -> {
        if (words.get(1).equals("state")) {
          cluster.store.recover();
        } else {
          cluster.cloud.down = false;
        }
      }
      case "peer-connections" -> {
        cluster.network.peerConnectionsRefused = words.get(1).equals("refused");
        if (cluster.network.peerConnectionsRefused) {
          cluster.controllers.values().forEach(SimController::refuseLinks);
        }
      }
      case "reboot" -> findAgent(words.get(1)).ifPresent(SimAgent::reboot);
      case "lose-tasks" -> findAgent(words.get(1)).ifPresent(SimAgent::loseTasks);
      case "cut-agent-to-controller" ->
          cluster.network.agentToControllerPathDown.add(resolveName(words.get(1)));
      case "heal-agent-to-controller" ->
          cluster.network.agentToControllerPathDown.remove(resolveName(words.get(1)));
      case "cut-controller-to-agent" ->
          cluster.network.controllerToAgentPathDown.add(resolveName(words.get(1)));
      case "heal-controller-to-agent" ->
          cluster.network.controllerToAgentPathDown.remove(resolveName(words.get(1)));
      case "duplicate-heartbeats" -> {
        cluster.network.duplicatedHeartbeats.put(
            resolveName(words.get(1)), Integer.parseInt(words.get(2)));
        cluster.network.duplicateDelay = parseSeconds(words.get(3));
      }
      case "refuse-store-client" -> cluster.store.refusedClients.add(resolveName(words.get(1)));
      case "accept-store-client" -> cluster.store.refusedClients.remove(resolveName(words.get(1)));
      case "query-burst" ->
          scheduleQueries(Integer.parseInt(words.get(1)), parseSeconds(words.get(2)));
      case "store-latency" -> cluster.store.extraLatency = parseSeconds(words.get(1));
      case "network-latency" -> cluster.network.extraLatency = parseSeconds(words.get(1));
      case "processing-time" ->
          resolveControllers(words.get(1))
              .forEach(n -> n.processingTime = parseSeconds(words.get(2)));
      case "build" -> installBuild(words);
      case "level" ->
          cluster.store.put(
              "c/level", SimulatedCluster.map().put("level", Integer.parseInt(words.get(1))));
      case "drain" -> drains.request(words, options(words.subList(2, words.size())));
      case "record-disruption" -> drains.recordDisruption(words.get(1));
      case "drain-desired-state" -> drains.changeDesiredState(words.get(1), words.get(2));
      case "roll-back-level" -> {
        int level = cluster.store.level().level();
        cluster.store.put(
            "c/level", cluster.store.level().rollingBack().toNode(SimulatedCluster.map()));
        cluster.trace("level " + level + " is rolled back");
      }
      case "limits" -> {
        Settings.StoreLimits limits = storeLimits(options(words.subList(1, words.size())));
        cluster.store.maxValueBytes = limits.maxValueBytes();
        cluster.store.maxTransactionOps = limits.maxTransactionOperations();
        cluster.store.writeRate = Optional.of(limits.writesPerSecond());
      }
      case "at-commit" -> cluster.store.faultAtCommit(Integer.parseInt(words.get(1)), words.get(2));
      case "corrupt-record" -> cluster.store.corrupt(words.get(1));
      case "repair-record" -> cluster.store.repair(words.get(1));
      case "discard-store-history" -> cluster.store.discardHistory();
      case "lose-heartbeat-responses" ->
          cluster.network.lostResponseShare = Double.parseDouble(words.get(1));
      case "lose-commands" -> cluster.network.lostCommandShare = Double.parseDouble(words.get(1));
      case "ignore-stops" -> cluster.agents.get(resolveName(words.get(1))).ignoresStops = true;
      case "cancel-at-end" -> cluster.cancelledAtEnd.add(words.get(1));
      case "leave-commands-unsent" ->
          cluster.network.unsentCommands = Integer.parseInt(words.get(1));
      case "delay-commands" -> {
        cluster.network.delayedCommands = Integer.parseInt(words.get(1));
        cluster.network.commandDelay = parseSeconds(words.get(2));
      }
      case "repeat-commands" ->
          cluster.network.lateCommands.repeat(
              Double.parseDouble(words.get(1)), parseSeconds(words.get(2)));
      case "deliver-command-copies" -> cluster.network.lateCommands.deliverAll();
      case "delay-commits" -> {
        cluster.store.lateCommits = Integer.parseInt(words.get(1));
        cluster.store.lateCommitDelay = parseSeconds(words.get(2));
      }
      case "kill-machine" -> cluster.agents.get(resolveName(words.get(1))).powerOff();
      case "terminate-machine" -> cluster.cloud.terminate(resolveName(words.get(1)));
      case "preemption-notice" -> {
        String machine = resolveName(words.get(1));
        cluster.agents.get(machine).receivePreemptionNotice(parseSeconds(words.get(2)));
        cluster.after(parseSeconds(words.get(2)), () -> cluster.cloud.terminate(machine));
      }
      case "hang" -> findAgent(words.get(1)).ifPresent(SimAgent::hang);
      case "hang-within-lease" ->
          findAgent(words.get(1)).ifPresent(SimAgent::hangUntilLeaseExpires);
      case "resume" -> findAgent(words.get(1)).ifPresent(SimAgent::resume);
      case "inject" ->
          cluster
              .controllers
              .get(resolveName(words.get(1)))
              .injectPeerRecord(HexFormat.of().parseHex(words.get(2)));
      case "check" -> checkExpectation(words.subList(1, words.size()), String.join(" ", words));
      default -> throw new IllegalArgumentException("unknown scenario action: " + words);
    }
  }

  /** Submits a job as a user; {@code words} are the words of the script's statement. */
  static void submit(SimulatedCluster cluster, List<String> words) {
    Map<String, String> o = options(words.subList(3, words.size()));
    JobSpec spec =
        job(words.get(1), WorkloadType.valueOf(words.get(2).toUpperCase(Locale.ROOT)), o);
    SimUser user =
        new SimUser(
            cluster,
            spec,
            spec.estimatedDuration(),
            parseSeconds(o.getOrDefault("run-increment", "0")),
            o.containsKey("always-fails"));
    cluster.submitted.put(spec.id(), spec);
    cluster.users.put(spec.id(), user);
    user.submit();
  }

  /** Installs a build that supports a range of schema levels; it runs from the next start. */
  private void installBuild(List<String> words) {
    cluster.controllers.get(words.get(1)).installedLevels =
        new SupportedLevels(Integer.parseInt(words.get(2)), Integer.parseInt(words.get(3)));
  }

  /** Returns the agent of a machine; empty if the machine was deleted. */
  private Optional<SimAgent> findAgent(String name) {
    return Optional.ofNullable(cluster.agents.get(resolveName(name)));
  }

  /** Schedules {@code rate} queries per second about random accepted jobs. */
  private void scheduleQueries(int rate, Duration duration) {
    List<SimUser> users = cluster.users.values().stream().filter(u -> u.accepted).toList();
    for (long i = 0; i < rate * duration.toSeconds(); i++) {
      SimUser u = users.get(cluster.random.nextInt(users.size()));
      cluster.after(
          Duration.ofMillis((long) (cluster.random.nextDouble() * duration.toMillis())),
          u::pollOnce);
    }
  }

  private List<SimController> resolveControllers(String word) {
    return word.equals("all")
        ? List.copyOf(cluster.controllers.values())
        : List.of(cluster.controllers.get(resolveName(word)));
  }

  private void checkExpectation(List<String> words, String line) {
    if (!new ScenarioExpectation(cluster, this::resolveName).isMet(words)) {
      failures.add("at " + cluster.elapsed() + " expectation not met: " + line);
    }
  }
}
