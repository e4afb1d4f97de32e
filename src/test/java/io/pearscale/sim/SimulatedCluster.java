package io.pearscale.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.protocol.JobSpec;
import io.pearscale.protocol.Settings;
import io.pearscale.protocol.TaskId;
import io.pearscale.scheduler.OperatorSettings;
import io.pearscale.transport.HttpClient.Reply;
import io.pearscale.transport.MessagePack;
import io.pearscale.upgrade.Feature;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * A simulated world: clock, network, state service, cloud, workers, users and controllers, all in
 * one thread and repeatable from a seed. It checks the rules after every event that could break
 * one.
 */
final class SimulatedCluster {
  private record Event(Instant at, long order, Runnable task) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (a, b) -> a.at.equals(b.at) ? Long.compare(a.order, b.order) : a.at.compareTo(b.at));
  private long order;
  private static final int TXN_OPS = 24;
  private static final Duration WAIT = Duration.ofSeconds(90);
  static final Instant START = Instant.EPOCH.plusSeconds(1000);
  Instant now = START;
  final RandomGenerator random;
  final List<String> violations = new ArrayList<>();

  /** Records between controllers, and commands straight to workers. */
  long peerRecords;

  long directCommands;

  /** Questions of a storm, and how many of them were answered. */
  int stormQueries;

  int answeredStormQueries;

  /** Starts of tasks that were done before. */
  int startsOfDoneTasks;

  /** From then on users expect answers, and jobs to begin. */
  Instant troublesOver = START;

  /** When a task of a job was first started. */
  final Map<String, Instant> firstStarts = new HashMap<>();

  final List<String> log = new ArrayList<>();

  /** Is told of all that goes over the wire. */
  Optional<WireRecorder> wireRecorder = Optional.empty();

  final SimKeyValueStore store = new SimKeyValueStore(this);
  final SimCloud cloud = new SimCloud(this);
  final SimGangRendezvous gangs = new SimGangRendezvous(this);
  final Map<String, SimController> controllers = new LinkedHashMap<>();
  final Map<String, SimAgent> agents = new TreeMap<>();
  final Map<String, SimUser> users = new LinkedHashMap<>();
  final Map<String, JobSpec> submitted = new HashMap<>();

  /** The address under which controllers reach a machine. */
  UnaryOperator<String> machineAddress = name -> name;

  // Settings of the simulated deployment.
  List<String> zones = List.of("a", "b");
  Duration heartbeatInterval = Duration.ofSeconds(2);
  Duration lease = Duration.ofSeconds(16);
  Duration cancelTimeout = Duration.ofSeconds(36);
  Duration gangForming = Duration.ofSeconds(40);
  Duration gangPeerLoss = Duration.ofSeconds(6);

  /** How long a value of the state service may be. */
  int valueBytes = 8192;

  /** The limits that the settings say the state service will have some day. */
  Optional<Settings.StoreLimits> nextLimits = Optional.empty();

  /** The part of a core that the settings give each controller. */
  double cpuShare = 1;

  /** What the workers' history shows of disruptions. */
  final DisruptionBudgetChecker disruptions = new DisruptionBudgetChecker(this);

  private Optional<GangInvariantChecker> gangChecker = Optional.empty();

  /** What the workers' history shows of gangs. */
  GangInvariantChecker gangChecker() {
    if (gangChecker.isEmpty()) {
      gangChecker =
          Optional.of(
              new GangInvariantChecker(
                  gangForming, gangPeerLoss, cancelTimeout, this::reportViolation));
    }
    return gangChecker.get();
  }

  /** What operators have switched on. */
  OperatorSettings operations = OperatorSettings.disabled();

  final List<Settings.Team> teams = new ArrayList<>();
  final List<Settings.ServiceLevelObjective> objectives = new ArrayList<>();

  // Faults of the network.
  boolean linksRefused;

  /** How much longer every message takes than by itself. */
  Duration extraLatency = Duration.ZERO;

  /** Machines whose messages arrive, while nothing reaches them. */
  final Set<String> controllerToAgentPathDown = new HashSet<>();

  /** Machines that reach no controller by themselves, while they answer what they are asked. */
  final Set<String> agentToControllerPathDown = new HashSet<>();

  /** How many of a machine's next reports are delivered once more, and how much later. */
  final Map<String, Integer> duplicatedHeartbeats = new HashMap<>();

  Duration duplicateDelay = Duration.ZERO;

  /** The next so many commands straight to workers find no socket. */
  int unsentCommands;

  /** The next so many commands straight to workers are held up, and their answers are lost. */
  int lateCommands;

  Duration lateCommandDelay = Duration.ZERO;

  /** The share of answers to reports that are lost on their way to the machine. */
  double lostAnswers;

  /** The share of commands straight to workers that are lost, or else carried out unanswered. */
  double lostCommands;

  /** Jobs whose users cancel them at the very moment at which the last task ends. */
  final Set<String> cancelledAtEnd = new HashSet<>();

  private final Set<String> cuts = new HashSet<>();
  private final Set<String> holds = new HashSet<>();
  private final Map<String, List<Runnable>> held = new HashMap<>();

  SimulatedCluster(long seed) {
    random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
  }

  void at(Instant when, Runnable task) {
    events.add(new Event(when.isBefore(now) ? now : when, order++, task));
  }

  void after(Duration delay, Runnable task) {
    at(now.plus(delay), task);
  }

  /** Plays until so long after the start. */
  void playTo(Duration when) {
    Instant end = START.plus(when);
    while (!events.isEmpty() && !events.peek().at.isAfter(end)) {
      Event e = events.poll();
      now = e.at;
      e.task.run();
    }
    now = end;
  }

  Duration elapsed() {
    return Duration.between(START, now);
  }

  void trace(String text) {
    if (Boolean.getBoolean("pearscale.trace")) {
      System.err.printf("%8.3f %s%n", elapsed().toMillis() / 1000.0, text);
    }
    log.add("%8.3f %s".formatted(elapsed().toMillis() / 1000.0, text));
  }

  void reportViolation(String rule, String what) {
    violations.add("%s at %.3f: %s".formatted(rule, elapsed().toMillis() / 1000.0, what));
    trace("RULE " + rule + " " + what);
  }

  // ---- Network ----

  private static String pair(String one, String other) {
    return one.compareTo(other) < 0 ? one + "|" + other : other + "|" + one;
  }

  private boolean matches(Set<String> set, String one, String other) {
    return set.contains(pair(one, other))
        || set.contains(pair(one, "all"))
        || set.contains(pair(other, "all"))
        || (kind(other).equals("worker") && set.contains(pair(one, "workers")))
        || (kind(one).equals("worker") && set.contains(pair(other, "workers")));
  }

  private String kind(String name) {
    return agents.containsKey(name) ? "worker" : "other";
  }

  /** Cuts the network between two names, or a name and {@code all} or {@code workers}. */
  void cut(String one, String other, boolean hold) {
    cuts.add(pair(one, other));
    if (hold) {
      holds.add(pair(one, other));
    }
  }

  /** Heals a cut; what was held is delivered now, in order. */
  void heal(String one, String other) {
    cuts.remove(pair(one, other));
    holds.remove(pair(one, other));
    for (String key : List.copyOf(held.keySet())) {
      String[] ends = key.split("\\|");
      if (!matches(cuts, ends[0], ends[1])) {
        held.remove(key).forEach(r -> after(latency(), r));
      }
    }
  }

  private Duration latency() {
    return Duration.ofMillis(1 + random.nextInt(4)).plus(extraLatency);
  }

  /** Carries a message; it may be lost or held when there is a cut. */
  void deliver(String from, String to, Runnable deliver) {
    if (controllerToAgentPathDown.contains(to)) {
      return;
    }
    if (matches(cuts, from, to)) {
      if (matches(holds, from, to)) {
        held.computeIfAbsent(pair(from, to), k -> new ArrayList<>()).add(deliver);
      }
      return;
    }
    after(latency(), deliver);
  }

  /** A request and its answer, both over the network. */
  void request(
      String from,
      String to,
      String method,
      String path,
      JsonNode body,
      Duration timeout,
      Consumer<Reply> answer) {
    boolean[] answered = {false};
    wireRecorder.ifPresent(recorder -> recorder.request(from, to, method, path, body));
    Consumer<Reply> once =
        r -> {
          if (!answered[0]) {
            answered[0] = true;
            wireRecorder.ifPresent(recorder -> recorder.answer(from, to, method, path, r));
            answer.accept(r);
          }
        };
    after(timeout, () -> once.accept(Reply.NO_RESPONSE));
    if (agentToControllerPathDown.contains(from)) {
      return;
    }
    JsonNode copy = body.deepCopy();
    if (path.equals("/do") && unsentCommands > 0) {
      unsentCommands--;
      after(Duration.ZERO, () -> once.accept(Reply.NOT_SENT));
      return;
    }
    directCommands += path.equals("/do") ? 1 : 0;
    if (duplicatedHeartbeats.getOrDefault(from, 0) > 0) {
      duplicatedHeartbeats.merge(from, -1, Integer::sum);
      String later = randomHealthyNode().map(n -> n.name).orElse(to);
      after(duplicateDelay, () -> serve(from, later, method, path, copy, r -> {}));
    }
    if (path.equals("/do") && lateCommands > 0) {
      lateCommands--;
      after(lateCommandDelay, () -> serve(from, to, method, path, copy, r -> {}));
      return;
    }
    boolean requestLost = path.equals("/do") && happens(lostCommands / 2);
    boolean answerLost =
        (path.equals("/do") && happens(lostCommands / 2))
            || (path.equals("/checkin") && happens(lostAnswers));
    if (requestLost) {
      return;
    }
    Consumer<Reply> back =
        answerLost ? reply -> {} : reply -> deliver(to, from, () -> once.accept(reply));
    deliver(from, to, () -> serve(from, to, method, path, copy, back));
  }

  /** Draws only where something may happen, so that other days stay as they were. */
  private boolean happens(double share) {
    return share > 0 && random.nextDouble() < share;
  }

  /** What a host of the world answers to a request. */
  void serve(
      String from, String to, String method, String path, JsonNode body, Consumer<Reply> answer) {
    if (to.equals("state")) {
      store.handleRequest(from, method, path, body, answer);
    } else if (to.equals("cloud")) {
      cloud.handleRequest(method, path, body, answer);
    } else if (controllers.containsKey(to)) {
      controllers.get(to).handleRequest(from, method, path, body, answer);
    } else if (agents.containsKey(to)) {
      agents.get(to).handleRequest(method, path, body, answer);
    }
  }

  // ---- Settings ----

  Settings settings(String host) {
    Map<String, InetSocketAddress> peers = new LinkedHashMap<>();
    for (String n : controllers.keySet()) {
      if (!n.equals(host)) {
        peers.put(n, InetSocketAddress.createUnresolved(n, 1));
      }
    }
    return new Settings(
        host,
        "a",
        InetSocketAddress.createUnresolved(host, 1),
        InetSocketAddress.createUnresolved(host, 2),
        peers,
        "cloud",
        "state",
        teams,
        objectives,
        new Settings.AgentSettings(
            heartbeatInterval,
            lease,
            cancelTimeout,
            Optional.of(new Settings.GangTimeouts(gangForming, gangPeerLoss))),
        stateLimits(host),
        new Settings.CloudLimits(SimCloud.CALLS_PER_SECOND, cloud.listLag),
        1000,
        cpuShare);
  }

  /** Builds from before level 2 know nothing of what the limits will be. */
  private Settings.StoreLimits stateLimits(String host) {
    Settings.StoreLimits now = new Settings.StoreLimits(100, 60, valueBytes, TXN_OPS);
    boolean knowsNext =
        controllers.get(host).installedLevels.contains(Feature.SMALL_VALUES.requiredLevel());
    return knowsNext ? nextLimits.map(now::smallerOf).orElse(now) : now;
  }

  // ---- Rules about tasks ----

  /** A task's run on a machine, as the rules count it. */
  record Presence(SimAgent agent, TaskId task, long attempt) {}

  final List<Presence> present = new ArrayList<>();

  /** What tasks that were stopped had run by then and saved. */
  final Map<TaskId, Duration> savedProgress = new HashMap<>();

  Duration progressOf(TaskId task) {
    return savedProgress.getOrDefault(task, Duration.ZERO);
  }

  /** How often tasks of a job were started. */
  final Map<String, Integer> starts = new HashMap<>();

  void taskStarts(SimAgent agent, TaskId task, long attempt) {
    JobSpec spec = submitted.get(task.job());
    for (Presence presence : present) {
      if (presence.task.equals(task)) {
        reportViolation(
            "ran_twice", task + " on " + agent.name + " while on " + presence.agent.name);
      }
    }
    if (!spec.allows(agent.type, agent.zone, agent.spot)) {
      reportViolation("wrong_place", task + " on " + agent.name);
    }
    int inZone = 0;
    double cpus = spec.cpus();
    for (Presence presence : present) {
      JobSpec other = submitted.get(presence.task.job());
      if (presence.task.job().equals(task.job())) {
        if (presence.agent.zone.equals(agent.zone)) {
          inZone++;
        } else if (spec.singleZone()) {
          reportViolation(
              "wrong_place", task + " in " + agent.zone + ", mates in " + presence.agent.zone);
        }
      }
      if (other.team().equals(spec.team())) {
        cpus += other.cpus();
      }
    }
    if (spec.spreadAcrossZones() && inZone + 1 > (spec.tasks() + 1) / 2) {
      reportViolation("wrong_place", task + " crowds zone " + agent.zone);
    }
    for (Settings.Team team : teams) {
      if (team.name().equals(spec.team()) && team.cpuLimit() > 0 && cpus > team.cpuLimit() + 1e-6) {
        reportViolation("quota", team.name() + " uses " + cpus);
      }
    }
    SimUser user = users.get(task.job());
    if (user != null
        && user.cancelledAt != null
        && now.isAfter(user.cancelledAt.plus(cancelTimeout))) {
      reportViolation("ran_cancelled", task + " starts");
    }
    if (user != null
        && user.cancelledAt != null
        && now.isAfter(user.cancelledAt.plus(lateStart()))) {
      reportViolation("started_cancelled", task + " on " + agent.name);
    }
    starts.merge(task.job(), 1, Integer::sum);
    if (spec.isGang()) {
      gangChecker().taskArrived(spec, task, attempt, agent.name, agent.zone, now);
    } else {
      firstStarts.putIfAbsent(task.job(), now);
    }
    present.add(new Presence(agent, task, attempt));
    disruptions.taskStarted(task);
  }

  /**
   * For how long after a confirmed cancel a start that was under way may still take effect: a
   * leader starts nothing on knowledge older than half of its hold, and a machine learns within an
   * answer or a command that what is held up on its way counts no more.
   */
  private Duration lateStart() {
    return settings("hive-0").renewalAuthorityTimeout().dividedBy(2).plusSeconds(5);
  }

  void taskGone(SimAgent agent, TaskId task, long attempt) {
    present.removeIf(p -> p.agent == agent && p.task.equals(task) && p.attempt == attempt);
    if (submitted.get(task.job()).isGang()) {
      gangChecker().taskLeft(task, agent.name, now);
    }
    disruptions.taskGone(task);
  }

  /** What users check at the end of a day, beside the rules. */
  void endOfDay() {
    gangChecker().check(now);
    Duration begin = Duration.ofMinutes(4);
    for (SimUser user : users.values()) {
      Instant expected = user.acceptedAt == null ? now : user.acceptedAt;
      expected = (expected.isAfter(troublesOver) ? expected : troublesOver).plus(begin);
      Instant began = firstStarts.getOrDefault(user.spec.id(), now);
      if (user.accepted && !user.isFinished() && began.isAfter(expected)) {
        reportViolation("begins_late", user.spec.id());
      }
    }
    served("class", user -> user.spec.jobClass());
    served("team", user -> user.spec.team());
    Map<String, Integer> largest = new HashMap<>();
    users
        .values()
        .forEach(
            user ->
                largest.merge(user.spec.jobClass(), user.spec.tasks(), (a, b) -> Math.max(a, b)));
    served(
        "largest",
        user ->
            2 * user.spec.tasks() > largest.get(user.spec.jobClass()) ? user.spec.jobClass() : "");
  }

  /** Of the accepted jobs of each group, half at least are over or run with all their tasks. */
  private void served(String kind, Function<SimUser, String> groupOf) {
    Map<String, int[]> groups = new HashMap<>();
    for (SimUser user : users.values()) {
      long running = present.stream().filter(p -> p.task.job().equals(user.spec.id())).count();
      if (user.accepted && !groupOf.apply(user).isEmpty()) {
        int[] counts = groups.computeIfAbsent(groupOf.apply(user), k -> new int[2]);
        counts[0]++;
        counts[1] += user.isFinished() || running >= user.spec.tasks() ? 1 : 0;
      }
    }
    groups.forEach(
        (group, counts) -> {
          if (2 * counts[1] < counts[0]) {
            reportViolation(
                "under_half_served", kind + " " + group + " " + counts[1] + "/" + counts[0]);
          }
        });
  }

  /** Jobs that wait although there is room for them, and since when. */
  private final Map<SimUser, Instant> neglected = new HashMap<>();

  /** Whether a task of the job could run, or all of them at once if they are a gang. */
  private boolean hasRoom(JobSpec spec) {
    if (!spec.isGang()) {
      return agents.values().stream().anyMatch(w -> w.availableSlots(spec) > 0);
    }
    Map<String, Integer> places = new HashMap<>();
    agents.values().forEach(w -> places.merge(w.zone, w.availableSlots(spec), Integer::sum));
    int together =
        spec.singleZone()
            ? places.values().stream().mapToInt(n -> n).max().orElse(0)
            : places.values().stream().mapToInt(n -> n).sum();
    return together >= spec.tasks();
  }

  /**
   * Once the troubles are over no job may wait for long while machines that fit have room for it
   * and its team is under its limit.
   */
  private void checkWaiting() {
    for (SimUser user : users.values()) {
      boolean waits =
          user.accepted
              && !user.isFinished()
              && user.cancelledAt == null
              && !user.failsEverywhere()
              && now.isAfter(troublesOver)
              && present.stream().noneMatch(p -> p.task.job().equals(user.spec.id()))
              && !SimAgent.allCompleted(this, user.spec)
              && underLimit(user.spec)
              && hasRoom(user.spec);
      if (!waits) {
        neglected.remove(user);
      } else if (now.isAfter(neglected.computeIfAbsent(user, k -> now).plus(WAIT))) {
        reportViolation("left_waiting", user.spec.id());
        neglected.remove(user);
      }
    }
  }

  private boolean underLimit(JobSpec spec) {
    double used = spec.cpus();
    for (Presence presence : present) {
      JobSpec other = submitted.get(presence.task.job());
      used += other.team().equals(spec.team()) ? other.cpus() : 0;
    }
    double use = used;
    return teams.stream()
        .noneMatch(
            t -> t.name().equals(spec.team()) && t.cpuLimit() > 0 && use > t.cpuLimit() + 1e-6);
  }

  /** Called every second. */
  void audit() {
    checkWaiting();
    for (Presence presence : present) {
      SimUser user = users.get(presence.task.job());
      if (user != null
          && user.cancelledAt != null
          && now.isAfter(user.cancelledAt.plus(cancelTimeout))) {
        reportViolation("ran_cancelled", presence.task + " on " + presence.agent.name);
      }
    }
    after(Duration.ofSeconds(1), this::audit);
  }

  static ObjectNode map() {
    return MessagePack.map();
  }

  Optional<SimController> randomHealthyNode() {
    List<SimController> up = controllers.values().stream().filter(SimController::isUp).toList();
    return up.isEmpty() ? Optional.empty() : Optional.of(up.get(random.nextInt(up.size())));
  }
}
