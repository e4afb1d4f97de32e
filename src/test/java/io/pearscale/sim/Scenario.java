package io.pearscale.sim;

import io.pearscale.drain.Disruption;
import io.pearscale.drain.DisruptionBudget;
import io.pearscale.drain.DrainRequest;
import io.pearscale.drain.DrainSettings;
import io.pearscale.protocol.JobSpec;
import io.pearscale.protocol.MachineType;
import io.pearscale.protocol.Priority;
import io.pearscale.protocol.Settings;
import io.pearscale.protocol.TaskId;
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
import java.util.function.Predicate;

/** Reads a scenario's text, plays it, and says what did not come out as expected. */
final class Scenario {
  private final SimulatedCluster world;
  private final List<Runnable> expectations = new ArrayList<>();
  private final List<String> failures = new ArrayList<>();
  private Duration until = Duration.ofSeconds(60);

  /** In so long a replica that is moved runs elsewhere. */
  private static final Duration A_MOVE = Duration.ofSeconds(3);

  Scenario(long seed) {
    world = new SimulatedCluster(seed);
  }

  /** Plays the text; returns what went wrong, with the log of what happened. */
  static List<String> play(String text, long seed) {
    return of(text, seed).run();
  }

  /** The world in which the text is played. */
  static Scenario of(String text, long seed) {
    Scenario s = new Scenario(seed);
    for (String line : text.split("\n")) {
      String clean = line.replaceAll("#.*", "").strip();
      if (!clean.isEmpty()) {
        s.line(clean);
      }
    }
    return s;
  }

  SimulatedCluster world() {
    return world;
  }

  List<String> run() {
    world.controllers.values().forEach(SimController::start);
    world.audit();
    world.playTo(until);
    int before = failures.size();
    expectations.forEach(Runnable::run);
    if (failures.size() > before) {
      // A replica that is moved as the day ends is away for a moment: what lasts is a failure.
      failures.subList(before, failures.size()).clear();
      world.playTo(until.plus(A_MOVE));
      expectations.forEach(Runnable::run);
    }
    world.endOfDay();
    failures.addAll(world.violations);
    if (!failures.isEmpty()) {
      world
          .store
          .entriesWithPrefix("c/drain-status/")
          .forEach((key, v) -> failures.add(key + " " + v));
      failures.addAll(world.log);
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

  private static Settings.StoreLimits limits(Map<String, String> options) {
    return new Settings.StoreLimits(
        number(options, "rps", 100),
        number(options, "writes", 60),
        (int) number(options, "value", 8192),
        (int) number(options, "txn", 24));
  }

  private static double number(Map<String, String> options, String key, double otherwise) {
    return Double.parseDouble(options.getOrDefault(key, Double.toString(otherwise)));
  }

  static Duration seconds(String text) {
    return Duration.ofMillis(Math.round(Double.parseDouble(text) * 1000));
  }

  private void line(String line) {
    List<String> w = Arrays.asList(line.split("\\s+"));
    Map<String, String> o = options(w.subList(1, w.size()));
    switch (w.get(0)) {
      case "nodes" -> {
        for (int i = 0; i < Integer.parseInt(w.get(1)); i++) {
          world.controllers.put("hive-" + i, new SimController(world, "hive-" + i));
        }
      }
      case "build" -> build(w);
      case "value-bytes" -> {
        world.valueBytes = Integer.parseInt(w.get(1));
        world.store.maxValueBytes = world.valueBytes;
      }
      case "next-limits" -> world.nextLimits = Optional.of(limits(o));
      case "announce" ->
          world.operations =
              new OperatorSettings(
                  Optional.of(seconds(w.get(1))),
                  world.operations.highestLevel(),
                  o.containsKey("automatic"),
                  world.operations.drains());
      case "budget" -> world.disruptions.add(budget(w));
      case "unchecked-budget" -> budget(w);
      case "drift" -> world.controllers.get(w.get(1)).clockRate = Double.parseDouble(w.get(2));
      case "cpu-share" -> world.cpuShare = Double.parseDouble(w.get(1));
      case "workers" -> {
        world.heartbeatInterval = seconds(o.get("report"));
        world.lease = seconds(o.get("lease"));
        world.cancelTimeout = seconds(o.get("cancel"));
      }
      case "zones" -> world.zones = w.subList(1, w.size());
      case "type" -> world.cloud.types.put(w.get(1), type(w.get(1), o));
      case "capacity" ->
          world.cloud.capacity.put(
              w.get(1) + "/" + w.get(2) + "/" + w.get(3), Integer.parseInt(w.get(4)));
      case "machines" -> {
        for (int i = 0; i < Integer.parseInt(w.get(4)); i++) {
          world.cloud.provision(w.get(1), w.get(2), w.get(3).equals("spot"), Duration.ZERO);
        }
      }
      case "team" ->
          world.teams.add(
              new Settings.Team(w.get(1), number(o, "cpus", 0), number(o, "cpus_max", 0), 0, 0));
      case "class" ->
          world.objectives.add(
              new Settings.ServiceLevelObjective(w.get(2), w.get(1), seconds(w.get(3))));
      case "faulty" -> world.cloud.faulty.addAll(w.subList(1, w.size()));
      case "never-boot" -> world.cloud.machinesThatNeverBoot = Integer.parseInt(w.get(1));
      case "until" -> until = seconds(w.get(1));
      case "at" -> {
        List<String> rest = w.subList(2, w.size());
        Instant when = world.now.plus(seconds(w.get(1)));
        world.at(when, () -> act(rest));
        boolean trouble =
            !List.of("submit", "resubmit", "cancel", "cancel-at-end", "call", "check")
                .contains(rest.get(0));
        if (trouble && when.isAfter(world.troublesOver)) {
          world.troublesOver = when;
        }
      }
      case "expect" -> expectations.add(() -> expect(w.subList(1, w.size()), line));
      default -> throw new IllegalArgumentException("scenario: " + line);
    }
  }

  static MachineType type(String name, List<String> zones, List<String> words) {
    return type(name, zones, options(words));
  }

  private MachineType type(String name, Map<String, String> options) {
    return type(name, world.zones, options);
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
        seconds(options.getOrDefault("boot", "5")),
        zones);
  }

  static JobSpec job(String id, WorkloadType shape, Map<String, String> options) {
    return new JobSpec(
        id,
        options.getOrDefault("class", "any"),
        options.getOrDefault("team", "t"),
        shape,
        Priority.parse(
                options.getOrDefault(
                    "priority", shape == WorkloadType.SERVICE ? "critical" : "normal"))
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
        seconds(options.getOrDefault("run", "5")),
        seconds(options.getOrDefault("checkpoint", "0")),
        seconds(options.getOrDefault("save", "0")),
        Optional.ofNullable(options.get("due")).map(Scenario::seconds));
  }

  /** The current leader, as the state service has it. */
  private String name(String word) {
    if (word.equals("leader-if-any")) {
      return world.store.leader().orElse("hive-0");
    }
    if (word.equals("leader") || word.startsWith("follower")) {
      String leader =
          world
              .store
              .leader()
              .orElseThrow(() -> new IllegalStateException("scenario: nobody leads"));
      return word.equals("leader")
          ? leader
          : world.controllers.keySet().stream()
              .filter(n -> !n.equals(leader))
              .skip(word.equals("follower2") ? 1 : 0)
              .findFirst()
              .get();
    }
    if (word.startsWith("host:")) {
      return world.present.stream()
          .filter(p -> p.task().toString().equals(word.substring(5)))
          .map(p -> p.agent().name)
          .findFirst()
          .orElseThrow(() -> new IllegalStateException("scenario: not running: " + word));
    }
    return remembered.getOrDefault(word, word);
  }

  private final Map<String, String> remembered = new HashMap<>();

  private void act(List<String> words) {
    String verb = words.get(0);
    world.trace("do " + String.join(" ", words));
    switch (verb) {
      case "call" -> remembered.put(words.get(2), name(words.get(1)));
      case "submit" -> submit(world, words);
      case "resubmit" -> world.users.get(words.get(1)).submit();
      case "cancel" -> world.users.get(words.get(1)).cancel();
      case "crash" -> nodes(words.get(1)).forEach(SimController::crash);
      case "freeze" ->
          nodes(words.get(1))
              .forEach(n -> n.freeze(seconds(words.get(2)), words.contains("midway")));
      case "start" -> nodes(words.get(1)).forEach(SimController::start);
      case "cut" -> world.cut(name(words.get(1)), name(words.get(2)), words.contains("hold"));
      case "heal" -> world.heal(name(words.get(1)), name(words.get(2)));
      case "down" -> {
        if (words.get(1).equals("state")) {
          world.store.down = true;
        } else {
          world.cloud.down = true;
        }
      }
      case "up" -> {
        if (words.get(1).equals("state")) {
          world.store.recover();
        } else {
          world.cloud.down = false;
        }
      }
      case "links" -> {
        world.linksRefused = words.get(1).equals("refused");
        if (world.linksRefused) {
          world.controllers.values().forEach(SimController::refuseLinks);
        }
      }
      case "reboot" -> worker(words.get(1)).ifPresent(SimAgent::reboot);
      case "mute" -> world.agentToControllerPathDown.add(name(words.get(1)));
      case "unmute" -> world.agentToControllerPathDown.remove(name(words.get(1)));
      case "deafen" -> world.controllerToAgentPathDown.add(name(words.get(1)));
      case "undeafen" -> world.controllerToAgentPathDown.remove(name(words.get(1)));
      case "copies" -> {
        world.duplicatedHeartbeats.put(name(words.get(1)), Integer.parseInt(words.get(2)));
        world.duplicateDelay = seconds(words.get(3));
      }
      case "refuse" -> world.store.refusedClients.add(name(words.get(1)));
      case "serve" -> world.store.refusedClients.remove(name(words.get(1)));
      case "storm" -> storm(Integer.parseInt(words.get(1)), seconds(words.get(2)));
      case "slow-state" -> world.store.extraLatency = seconds(words.get(1));
      case "slow-links" -> world.extraLatency = seconds(words.get(1));
      case "slow" -> nodes(words.get(1)).forEach(n -> n.processingTime = seconds(words.get(2)));
      case "build" -> build(words);
      case "level" ->
          world.store.put(
              "c/level", SimulatedCluster.map().put("level", Integer.parseInt(words.get(1))));
      case "drain" -> drain(words);
      case "disrupted" -> {
        TaskId task = SimUser.parseTask(words.get(1));
        JobSpec spec = world.submitted.get(task.job());
        world.store.put(
            "c/disrupted/0",
            Disruption.encode(
                List.of(new Disruption(task, spec.team(), spec.jobClass(), true, Duration.ZERO))));
      }
      case "drain-wish" ->
          world.store.put(
              "c/drain/" + words.get(1),
              DrainRequest.withDesiredState(
                  world
                      .store
                      .entriesWithPrefix("c/drain/" + words.get(1))
                      .get("c/drain/" + words.get(1)),
                  DrainRequest.DesiredState.valueOf(words.get(2))));
      case "level-back" -> {
        int level = world.store.level().level();
        world.store.put(
            "c/level", world.store.level().rollingBack().toNode(SimulatedCluster.map()));
        world.trace("level " + level + " is taken back");
      }
      case "limits" -> {
        Settings.StoreLimits limits = limits(options(words.subList(1, words.size())));
        world.store.maxValueBytes = limits.maxValueBytes();
        world.store.maxTransactionOps = limits.maxTransactionOperations();
        world.store.writeRate = Optional.of(limits.writesPerSecond());
      }
      case "at-commit" -> world.store.faultAtCommit(Integer.parseInt(words.get(1)), words.get(2));
      case "damage" -> world.store.corrupt(words.get(1));
      case "repair" -> world.store.repair(words.get(1));
      case "forget-history" -> world.store.discardHistory();
      case "lose-answers" -> world.lostAnswers = Double.parseDouble(words.get(1));
      case "lose-commands" -> world.lostCommands = Double.parseDouble(words.get(1));
      case "ignore-kills" -> world.agents.get(name(words.get(1))).ignoresStops = true;
      case "cancel-at-end" -> world.cancelledAtEnd.add(words.get(1));
      case "no-sockets" -> world.unsentCommands = Integer.parseInt(words.get(1));
      case "late-commands" -> {
        world.lateCommands = Integer.parseInt(words.get(1));
        world.lateCommandDelay = seconds(words.get(2));
      }
      case "late-commits" -> {
        world.store.lateCommits = Integer.parseInt(words.get(1));
        world.store.lateCommitDelay = seconds(words.get(2));
      }
      case "kill-machine" -> world.agents.get(name(words.get(1))).powerOff();
      case "take" -> world.cloud.terminate(name(words.get(1)));
      case "notice" -> {
        String machine = name(words.get(1));
        world.agents.get(machine).receivePreemptionNotice(seconds(words.get(2)));
        world.after(seconds(words.get(2)), () -> world.cloud.terminate(machine));
      }
      case "hang" -> worker(words.get(1)).ifPresent(SimAgent::hang);
      case "hang-within-lease" -> worker(words.get(1)).ifPresent(SimAgent::hangUntilLeaseExpires);
      case "resume" -> worker(words.get(1)).ifPresent(SimAgent::resume);
      case "inject" ->
          world
              .controllers
              .get(name(words.get(1)))
              .injectPeerRecord(HexFormat.of().parseHex(words.get(2)));
      case "check" -> expect(words.subList(1, words.size()), String.join(" ", words));
      default -> throw new IllegalArgumentException("scenario: " + words);
    }
  }

  /** Switches drains on, with one more budget. */
  private DisruptionBudget budget(List<String> words) {
    DisruptionBudget budget =
        new DisruptionBudget(
            words.get(1),
            Optional.of(words.get(2)).filter(c -> !c.equals("*")),
            DisruptionBudget.Kind.parse(words.get(3)).orElseThrow(),
            Double.parseDouble(words.get(4)));
    List<DisruptionBudget> budgets = new ArrayList<>();
    world.operations.drains().ifPresent(set -> budgets.addAll(set.budgets()));
    budgets.add(budget);
    world.operations =
        new OperatorSettings(
            world.operations.supportRecordTtl(),
            world.operations.highestLevel(),
            world.operations.automaticLevel(),
            Optional.of(new DrainSettings(budgets, Map.of())));
    return budget;
  }

  /** Asks for a drain, as an operator's command does. */
  private void drain(List<String> words) {
    Map<String, String> o = options(words.subList(2, words.size()));
    List<String> machines = new ArrayList<>();
    List<String> named =
        Arrays.stream(o.getOrDefault("machines", "").split(",")).map(this::name).toList();
    for (SimAgent worker : world.agents.values()) {
      boolean meant =
          o.containsKey("zone")
              ? worker.zone.equals(o.get("zone"))
              : o.containsKey("all") || named.contains(worker.name);
      if (meant && !worker.isDead()) {
        machines.add(worker.name);
      }
    }
    DrainRequest request =
        new DrainRequest(
            words.get(1),
            String.join(" ", words),
            (int) number(o, "at-once", 1),
            o.containsKey("hold")
                ? DrainRequest.CompletionAction.HOLD
                : DrainRequest.CompletionAction.TERMINATE,
            DrainRequest.DesiredState.RUN,
            world.now,
            world.now.plus(seconds(o.getOrDefault("for", "3600"))),
            Optional.empty());
    request
        .toMutations(machines, world.valueBytes)
        .forEach(change -> world.store.put(change.key(), change.value().orElseThrow()));
  }

  /** A user submits a job, as the words of a scenario's line say. */
  static void submit(SimulatedCluster cluster, List<String> words) {
    Map<String, String> o = options(words.subList(3, words.size()));
    JobSpec spec =
        job(words.get(1), WorkloadType.valueOf(words.get(2).toUpperCase(Locale.ROOT)), o);
    SimUser user =
        new SimUser(
            cluster,
            spec,
            spec.estimatedDuration(),
            seconds(o.getOrDefault("apart", "0")),
            o.containsKey("mistake"));
    cluster.submitted.put(spec.id(), spec);
    cluster.users.put(spec.id(), user);
    user.submit();
  }

  /**
   * Installs a build that supports those levels of stored forms; it runs from the next start on.
   */
  private void build(List<String> words) {
    world.controllers.get(words.get(1)).installedLevels =
        new SupportedLevels(Integer.parseInt(words.get(2)), Integer.parseInt(words.get(3)));
  }

  /** The machine of that name; none if it was given back. */
  private Optional<SimAgent> worker(String name) {
    return Optional.ofNullable(world.agents.get(name(name)));
  }

  /** So many questions a second about any of the jobs. */
  private void storm(int rate, Duration time) {
    List<SimUser> users = world.users.values().stream().filter(u -> u.accepted).toList();
    for (long i = 0; i < rate * time.toSeconds(); i++) {
      SimUser u = users.get(world.random.nextInt(users.size()));
      world.after(
          Duration.ofMillis((long) (world.random.nextDouble() * time.toMillis())), u::pollOnce);
    }
  }

  private List<SimController> nodes(String word) {
    return word.equals("all")
        ? List.copyOf(world.controllers.values())
        : List.of(world.controllers.get(name(word)));
  }

  private void expect(List<String> words, String line) {
    Predicate<SimUser> test =
        switch (words.get(1)) {
          case "done" ->
              u ->
                  u.stage.equals("done")
                      && (words.size() < 4
                          || Duration.between(SimulatedCluster.START, u.doneAt)
                                  .compareTo(seconds(words.get(3)))
                              <= 0);
          case "stage" -> u -> u.stage.equals(words.get(2));
          case "present" ->
              u ->
                  world.present.stream().filter(p -> p.task().job().equals(u.spec.id())).count()
                      == Long.parseLong(words.get(2));
          default -> null;
        };
    boolean good;
    if (words.get(0).equals("rentals")) {
      good = world.cloud.machinesProvisioned <= Integer.parseInt(words.get(2));
    } else if (words.get(0).equals("told")) {
      good =
          world.stormQueries > 0
              && world.answeredStormQueries
                  >= world.stormQueries * Double.parseDouble(words.get(2));
    } else if (words.get(0).equals("state-requests")) {
      good = world.store.requests <= Long.parseLong(words.get(2));
    } else if (words.get(0).equals("commands")) {
      good = world.directCommands <= Long.parseLong(words.get(2));
    } else if (words.get(0).equals("repeats")) {
      good = world.startsOfDoneTasks <= Integer.parseInt(words.get(2));
    } else if (words.get(0).equals("level")) {
      good =
          world.store.level().migrated()
              && world.store.level().level() == Integer.parseInt(words.get(1));
    } else if (words.get(0).equals("drain")) {
      good =
          world.store.valueContains(
              "c/drain-status/" + words.get(1), "\"state\":\"" + words.get(2) + "\"");
    } else if (words.get(0).equals("voluntary-stops")) {
      good = world.disruptions.voluntaryStops() >= Integer.parseInt(words.get(2));
    } else if (words.get(0).equals("gangs")) {
      int count =
          switch (words.get(1)) {
            case "begun" -> world.gangs.attemptsStarted;
            case "broken" -> world.gangs.attemptsAborted;
            default -> world.gangs.formingTimeouts;
          };
      int bound = Integer.parseInt(words.get(3));
      good = words.get(2).equals("<=") ? count <= bound : count >= bound;
    } else if (words.get(0).equals("announced")) {
      good = world.store.entriesWithPrefix("c/member/").size() == Integer.parseInt(words.get(2));
    } else if (words.get(0).equals("leader")) {
      good = world.store.leader().isPresent();
    } else if (words.get(0).equals("leader-not")) {
      good = !world.store.leader().equals(Optional.of(words.get(1)));
    } else if (words.get(0).equals("nobody")) {
      good = world.store.leader().isEmpty();
    } else if (words.get(0).equals("terms")) {
      good =
          world.store.entriesWithPrefix("c/term").get("c/term").path("term").asLong()
              <= Long.parseLong(words.get(2));
    } else if (words.get(0).equals("gone")) {
      good = world.agents.get(name(words.get(1))).isDead();
    } else if (words.get(0).equals("starts")) {
      int starts = world.starts.getOrDefault(words.get(1), 0);
      int bound = Integer.parseInt(words.get(3));
      good = words.get(2).equals("<=") ? starts <= bound : starts >= bound;
    } else {
      SimUser u = world.users.get(words.get(0));
      good = u != null && test.test(u);
    }
    if (!good) {
      failures.add("at " + world.elapsed() + " not met: " + line);
    }
  }
}
