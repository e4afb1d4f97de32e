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
      world.store.under("c/drain-status/").forEach((key, v) -> failures.add(key + " " + v));
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

  private static Settings.StoreLimits limits(Map<String, String> o) {
    return new Settings.StoreLimits(
        number(o, "rps", 100),
        number(o, "writes", 60),
        (int) number(o, "value", 8192),
        (int) number(o, "txn", 24));
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
        world.store.valueBytes = world.valueBytes;
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
      case "drift" -> world.controllers.get(w.get(1)).drift = Double.parseDouble(w.get(2));
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
      case "never-boot" -> world.cloud.neverBoot = Integer.parseInt(w.get(1));
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

  private MachineType type(String name, Map<String, String> o) {
    return type(name, world.zones, o);
  }

  private static MachineType type(String name, List<String> zones, Map<String, String> o) {
    return new MachineType(
        name,
        number(o, "cpus", 8),
        0,
        number(o, "mem", 64),
        100,
        1,
        number(o, "price", 1),
        number(o, "spot", 0.4),
        seconds(o.getOrDefault("boot", "5")),
        zones);
  }

  static JobSpec job(String id, WorkloadType shape, Map<String, String> o) {
    return new JobSpec(
        id,
        o.getOrDefault("class", "any"),
        o.getOrDefault("team", "t"),
        shape,
        Priority.parse(
                o.getOrDefault("priority", shape == WorkloadType.SERVICE ? "critical" : "normal"))
            .orElseThrow(),
        (int) number(o, "tasks", 1),
        number(o, "cpus", 1),
        0,
        number(o, "mem", 1),
        o.getOrDefault("image", "img"),
        number(o, "image-gb", 1),
        Optional.ofNullable(o.get("types")).map(t -> List.of(t.split(","))),
        Optional.ofNullable(o.get("zone")),
        o.containsKey("one-zone"),
        o.containsKey("spread"),
        o.containsKey("spot"),
        seconds(o.getOrDefault("run", "5")),
        seconds(o.getOrDefault("checkpoint", "0")),
        seconds(o.getOrDefault("save", "0")),
        Optional.ofNullable(o.get("due")).map(Scenario::seconds));
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

  private void act(List<String> w) {
    String verb = w.get(0);
    world.trace("do " + String.join(" ", w));
    switch (verb) {
      case "call" -> remembered.put(w.get(2), name(w.get(1)));
      case "submit" -> submit(world, w);
      case "resubmit" -> world.users.get(w.get(1)).submit();
      case "cancel" -> world.users.get(w.get(1)).cancel();
      case "crash" -> nodes(w.get(1)).forEach(SimController::crash);
      case "freeze" ->
          nodes(w.get(1)).forEach(n -> n.freeze(seconds(w.get(2)), w.contains("midway")));
      case "start" -> nodes(w.get(1)).forEach(SimController::start);
      case "cut" -> world.cut(name(w.get(1)), name(w.get(2)), w.contains("hold"));
      case "heal" -> world.heal(name(w.get(1)), name(w.get(2)));
      case "down" -> {
        if (w.get(1).equals("state")) {
          world.store.down = true;
        } else {
          world.cloud.down = true;
        }
      }
      case "up" -> {
        if (w.get(1).equals("state")) {
          world.store.up();
        } else {
          world.cloud.down = false;
        }
      }
      case "links" -> {
        world.linksRefused = w.get(1).equals("refused");
        if (world.linksRefused) {
          world.controllers.values().forEach(SimController::refuseLinks);
        }
      }
      case "reboot" -> worker(w.get(1)).ifPresent(SimAgent::reboot);
      case "mute" -> world.agentToControllerPathDown.add(name(w.get(1)));
      case "unmute" -> world.agentToControllerPathDown.remove(name(w.get(1)));
      case "deafen" -> world.controllerToAgentPathDown.add(name(w.get(1)));
      case "undeafen" -> world.controllerToAgentPathDown.remove(name(w.get(1)));
      case "copies" -> {
        world.duplicatedHeartbeats.put(name(w.get(1)), Integer.parseInt(w.get(2)));
        world.duplicateDelay = seconds(w.get(3));
      }
      case "refuse" -> world.store.refusedClients.add(name(w.get(1)));
      case "serve" -> world.store.refusedClients.remove(name(w.get(1)));
      case "storm" -> storm(Integer.parseInt(w.get(1)), seconds(w.get(2)));
      case "slow-state" -> world.store.extraLatency = seconds(w.get(1));
      case "slow-links" -> world.extraLatency = seconds(w.get(1));
      case "slow" -> nodes(w.get(1)).forEach(n -> n.processingTime = seconds(w.get(2)));
      case "build" -> build(w);
      case "level" ->
          world.store.set(
              "c/level", SimulatedCluster.map().put("level", Integer.parseInt(w.get(1))));
      case "drain" -> drain(w);
      case "disrupted" -> {
        TaskId task = SimUser.task(w.get(1));
        JobSpec spec = world.submitted.get(task.job());
        world.store.set(
            "c/disrupted/0",
            Disruption.encode(
                List.of(new Disruption(task, spec.team(), spec.jobClass(), true, Duration.ZERO))));
      }
      case "drain-wish" ->
          world.store.set(
              "c/drain/" + w.get(1),
              DrainRequest.withDesiredState(
                  world.store.under("c/drain/" + w.get(1)).get("c/drain/" + w.get(1)),
                  DrainRequest.DesiredState.valueOf(w.get(2))));
      case "level-back" -> {
        int level = world.store.level().level();
        world.store.set(
            "c/level", world.store.level().rollingBack().toNode(SimulatedCluster.map()));
        world.trace("level " + level + " is taken back");
      }
      case "limits" -> {
        Settings.StoreLimits limits = limits(options(w.subList(1, w.size())));
        world.store.valueBytes = limits.maxValueBytes();
        world.store.txnOps = limits.maxTransactionOperations();
        world.store.writeRate = Optional.of(limits.writesPerSecond());
      }
      case "at-commit" -> world.store.faultAtCommit(Integer.parseInt(w.get(1)), w.get(2));
      case "damage" -> world.store.damage(w.get(1));
      case "repair" -> world.store.repair(w.get(1));
      case "forget-history" -> world.store.forgetHistory();
      case "lose-answers" -> world.lostAnswers = Double.parseDouble(w.get(1));
      case "lose-commands" -> world.lostCommands = Double.parseDouble(w.get(1));
      case "ignore-kills" -> world.agents.get(name(w.get(1))).ignoresStops = true;
      case "cancel-at-end" -> world.cancelledAtEnd.add(w.get(1));
      case "no-sockets" -> world.unsentCommands = Integer.parseInt(w.get(1));
      case "late-commands" -> {
        world.lateCommands = Integer.parseInt(w.get(1));
        world.lateCommandDelay = seconds(w.get(2));
      }
      case "late-commits" -> {
        world.store.lateCommits = Integer.parseInt(w.get(1));
        world.store.lateCommitDelay = seconds(w.get(2));
      }
      case "kill-machine" -> world.agents.get(name(w.get(1))).die();
      case "take" -> world.cloud.terminate(name(w.get(1)));
      case "notice" -> {
        String machine = name(w.get(1));
        world.agents.get(machine).receivePreemptionNotice(seconds(w.get(2)));
        world.after(seconds(w.get(2)), () -> world.cloud.terminate(machine));
      }
      case "hang" -> worker(w.get(1)).ifPresent(SimAgent::hang);
      case "hang-within-lease" -> worker(w.get(1)).ifPresent(SimAgent::hangWithinLease);
      case "resume" -> worker(w.get(1)).ifPresent(SimAgent::resume);
      case "inject" ->
          world.controllers.get(name(w.get(1))).inject(HexFormat.of().parseHex(w.get(2)));
      case "check" -> expect(w.subList(1, w.size()), String.join(" ", w));
      default -> throw new IllegalArgumentException("scenario: " + w);
    }
  }

  /** Switches drains on, with one more budget. */
  private DisruptionBudget budget(List<String> w) {
    DisruptionBudget budget =
        new DisruptionBudget(
            w.get(1),
            Optional.of(w.get(2)).filter(c -> !c.equals("*")),
            DisruptionBudget.Kind.parse(w.get(3)).orElseThrow(),
            Double.parseDouble(w.get(4)));
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
  private void drain(List<String> w) {
    Map<String, String> o = options(w.subList(2, w.size()));
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
            w.get(1),
            String.join(" ", w),
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
        .forEach(change -> world.store.set(change.key(), change.value().orElseThrow()));
  }

  /** A user submits a job, as the words of a scenario's line say. */
  static void submit(SimulatedCluster world, List<String> w) {
    Map<String, String> o = options(w.subList(3, w.size()));
    JobSpec spec = job(w.get(1), WorkloadType.valueOf(w.get(2).toUpperCase(Locale.ROOT)), o);
    SimUser user =
        new SimUser(
            world,
            spec,
            spec.estimatedDuration(),
            seconds(o.getOrDefault("apart", "0")),
            o.containsKey("mistake"));
    world.submitted.put(spec.id(), spec);
    world.users.put(spec.id(), user);
    user.submit();
  }

  /**
   * Installs a build that supports those levels of stored forms; it runs from the next start on.
   */
  private void build(List<String> w) {
    world.controllers.get(w.get(1)).installedLevels =
        new SupportedLevels(Integer.parseInt(w.get(2)), Integer.parseInt(w.get(3)));
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
          Duration.ofMillis((long) (world.random.nextDouble() * time.toMillis())), u::query);
    }
  }

  private List<SimController> nodes(String word) {
    return word.equals("all")
        ? List.copyOf(world.controllers.values())
        : List.of(world.controllers.get(name(word)));
  }

  private void expect(List<String> w, String line) {
    Predicate<SimUser> test =
        switch (w.get(1)) {
          case "done" ->
              u ->
                  u.stage.equals("done")
                      && (w.size() < 4
                          || Duration.between(SimulatedCluster.START, u.doneAt)
                                  .compareTo(seconds(w.get(3)))
                              <= 0);
          case "stage" -> u -> u.stage.equals(w.get(2));
          case "present" ->
              u ->
                  world.present.stream().filter(p -> p.task().job().equals(u.spec.id())).count()
                      == Long.parseLong(w.get(2));
          default -> null;
        };
    boolean good;
    if (w.get(0).equals("rentals")) {
      good = world.cloud.machinesProvisioned <= Integer.parseInt(w.get(2));
    } else if (w.get(0).equals("told")) {
      good =
          world.stormQueries > 0
              && world.answeredStormQueries >= world.stormQueries * Double.parseDouble(w.get(2));
    } else if (w.get(0).equals("state-requests")) {
      good = world.store.requests <= Long.parseLong(w.get(2));
    } else if (w.get(0).equals("commands")) {
      good = world.directCommands <= Long.parseLong(w.get(2));
    } else if (w.get(0).equals("repeats")) {
      good = world.startsOfDoneTasks <= Integer.parseInt(w.get(2));
    } else if (w.get(0).equals("level")) {
      good =
          world.store.level().migrated()
              && world.store.level().level() == Integer.parseInt(w.get(1));
    } else if (w.get(0).equals("drain")) {
      good = world.store.holds("c/drain-status/" + w.get(1), "\"state\":\"" + w.get(2) + "\"");
    } else if (w.get(0).equals("voluntary-stops")) {
      good = world.disruptions.stops() >= Integer.parseInt(w.get(2));
    } else if (w.get(0).equals("gangs")) {
      int count =
          switch (w.get(1)) {
            case "begun" -> world.gangs.attemptsBegun;
            case "broken" -> world.gangs.attemptsBroken;
            default -> world.gangs.attemptsNeverComplete;
          };
      int bound = Integer.parseInt(w.get(3));
      good = w.get(2).equals("<=") ? count <= bound : count >= bound;
    } else if (w.get(0).equals("announced")) {
      good = world.store.under("c/member/").size() == Integer.parseInt(w.get(2));
    } else if (w.get(0).equals("leader")) {
      good = world.store.leader().isPresent();
    } else if (w.get(0).equals("leader-not")) {
      good = !world.store.leader().equals(Optional.of(w.get(1)));
    } else if (w.get(0).equals("nobody")) {
      good = world.store.leader().isEmpty();
    } else if (w.get(0).equals("terms")) {
      good =
          world.store.under("c/term").get("c/term").path("term").asLong()
              <= Long.parseLong(w.get(2));
    } else if (w.get(0).equals("gone")) {
      good = world.agents.get(name(w.get(1))).isDead();
    } else if (w.get(0).equals("starts")) {
      int starts = world.starts.getOrDefault(w.get(1), 0);
      int bound = Integer.parseInt(w.get(3));
      good = w.get(2).equals("<=") ? starts <= bound : starts >= bound;
    } else {
      SimUser u = world.users.get(w.get(0));
      good = u != null && test.test(u);
    }
    if (!good) {
      failures.add("at " + world.elapsed() + " not met: " + line);
    }
  }
}
