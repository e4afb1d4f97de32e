package io.pearscale.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.protocol.JobSpec;
import io.pearscale.protocol.Settings;
import io.pearscale.protocol.TaskId;
import io.pearscale.scheduler.OperatorSettings;
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
import java.util.function.Function;
import java.util.function.UnaryOperator;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * Simulates a deployment in one thread, reproducible from a seed: clock, network, state service,
 * cloud provider, agents, users and controllers. It checks the invariants after every event that
 * could violate one.
 */
final class SimulatedCluster {
  private record Event(Instant at, long order, Runnable task) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (a, b) -> a.at.equals(b.at) ? Long.compare(a.order, b.order) : a.at.compareTo(b.at));
  private long nextEventOrder;
  private static final int MAX_TRANSACTION_OPERATIONS = 24;
  private static final Duration MAX_WAIT = Duration.ofSeconds(90);
  static final Instant START = Instant.EPOCH.plusSeconds(1000);
  Instant now = START;
  final RandomGenerator random;
  final List<String> violations = new ArrayList<>();

  /** Job queries sent by {@code query-burst}. */
  int burstQueries;

  /** Queries of {@code burstQueries} that returned status 200. */
  int answeredBurstQueries;

  /** Starts of tasks that had already completed. */
  int startsOfDoneTasks;

  /** Time of the last injected fault; users expect responses and started jobs only after it. */
  Instant lastFaultAt = START;

  /** Time of the first task start of each job. */
  final Map<String, Instant> firstStarts = new HashMap<>();

  final List<String> log = new ArrayList<>();

  /** Records all messages if present. */
  Optional<WireRecorder> wireRecorder = Optional.empty();

  final SimKeyValueStore store = new SimKeyValueStore(this);
  final SimCloud cloud = new SimCloud(this);
  final SimGangRendezvous gangs = new SimGangRendezvous(this);
  final SimNetwork network = new SimNetwork(this);
  final Map<String, SimController> controllers = new LinkedHashMap<>();
  final Map<String, SimAgent> agents = new TreeMap<>();
  final Map<String, SimUser> users = new LinkedHashMap<>();
  final Map<String, JobSpec> submitted = new HashMap<>();

  /** Maps a machine to the address under which controllers reach it. */
  UnaryOperator<String> machineAddress = name -> name;

  // Settings of the simulated deployment.
  List<String> zones = List.of("a", "b");
  Duration heartbeatInterval = Duration.ofSeconds(2);
  Duration lease = Duration.ofSeconds(16);
  Duration cancelTimeout = Duration.ofSeconds(36);
  Duration gangForming = Duration.ofSeconds(40);
  Duration gangPeerLoss = Duration.ofSeconds(6);

  /** Maximum size of a value in the state service, in bytes. */
  int valueBytes = 8192;

  /** Limits of the state service that the settings announce for a later time. */
  Optional<Settings.StoreLimits> nextLimits = Optional.empty();

  /** Fraction of a core that the settings assign to each controller. */
  double cpuShare = 1;

  /** Checks the disruption budgets against the history of task starts and ends. */
  final DisruptionBudgetChecker disruptionChecker = new DisruptionBudgetChecker(this);

  private Optional<GangInvariantChecker> gangChecker = Optional.empty();

  /** Returns the checker of gang invariants; the first call creates it. */
  GangInvariantChecker gangChecker() {
    if (gangChecker.isEmpty()) {
      gangChecker =
          Optional.of(
              new GangInvariantChecker(
                  gangForming, gangPeerLoss, cancelTimeout, this::reportViolation));
    }
    return gangChecker.get();
  }

  /** Settings that operators can change at run time. */
  OperatorSettings operatorSettings = OperatorSettings.disabled();

  final List<Settings.Team> teams = new ArrayList<>();
  final List<Settings.ServiceLevelObjective> objectives = new ArrayList<>();

  /** Jobs that their users cancel at the moment at which the last task ends. */
  final Set<String> cancelledAtEnd = new HashSet<>();

  SimulatedCluster(long seed) {
    random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
  }

  void at(Instant when, Runnable task) {
    events.add(new Event(when.isBefore(now) ? now : when, nextEventOrder++, task));
  }

  void after(Duration delay, Runnable task) {
    at(now.plus(delay), task);
  }

  /** Runs all events up to {@code sinceStart} after the start of the simulation. */
  void runUntil(Duration sinceStart) {
    Instant end = START.plus(sinceStart);
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

  void reportViolation(String rule, String detail) {
    violations.add("%s at %.3f: %s".formatted(rule, elapsed().toMillis() / 1000.0, detail));
    trace("VIOLATION " + rule + " " + detail);
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
        storeLimits(host),
        new Settings.CloudLimits(SimCloud.CALLS_PER_SECOND, cloud.listLag),
        1000,
        cpuShare);
  }

  /** Returns the limits of the state service; builds before level 2 ignore the next limits. */
  private Settings.StoreLimits storeLimits(String host) {
    Settings.StoreLimits now =
        new Settings.StoreLimits(100, 60, valueBytes, MAX_TRANSACTION_OPERATIONS);
    boolean supportsNextLimits =
        controllers.get(host).installedLevels.contains(Feature.SMALL_VALUES.requiredLevel());
    return supportsNextLimits ? nextLimits.map(now::min).orElse(now) : now;
  }

  // ---- Task invariants ----

  /** An attempt of a task that is present on a machine, as the invariants count it. */
  record RunningTask(SimAgent agent, TaskId task, long attempt) {}

  final List<RunningTask> runningTasks = new ArrayList<>();

  /** Run time that stopped tasks have saved in a checkpoint. */
  final Map<TaskId, Duration> savedProgress = new HashMap<>();

  Duration progressOf(TaskId task) {
    return savedProgress.getOrDefault(task, Duration.ZERO);
  }

  /** Number of task starts of each job. */
  final Map<String, Integer> starts = new HashMap<>();

  /** Checks and records the start of a task. */
  void taskStarted(SimAgent agent, TaskId task, long attempt) {
    checkStart(agent, task);
    JobSpec spec = submitted.get(task.job());
    starts.merge(task.job(), 1, Integer::sum);
    if (spec.isGang()) {
      gangChecker().taskArrived(spec, task, attempt, agent.name, agent.zone, now);
    } else {
      firstStarts.putIfAbsent(task.job(), now);
    }
    runningTasks.add(new RunningTask(agent, task, attempt));
    disruptionChecker.taskStarted(task);
  }

  /** Checks the invariants that a start of the task on the machine could violate. */
  void checkStart(SimAgent agent, TaskId task) {
    JobSpec spec = submitted.get(task.job());
    for (RunningTask running : runningTasks) {
      if (running.task.equals(task)) {
        reportViolation(
            "ran_twice", task + " on " + agent.name + " while on " + running.agent.name);
      }
    }
    checkPlacement(agent, task, spec);
    checkTeamLimit(spec);
    checkNotCancelled(agent, task);
  }

  private void checkPlacement(SimAgent agent, TaskId task, JobSpec spec) {
    if (!spec.allows(agent.type, agent.zone, agent.spot)) {
      reportViolation("wrong_place", task + " on " + agent.name);
    }
    int inZone = 0;
    for (RunningTask running : runningTasks) {
      if (!running.task.job().equals(task.job())) {
        continue;
      }
      if (running.agent.zone.equals(agent.zone)) {
        inZone++;
      } else if (spec.singleZone()) {
        reportViolation(
            "wrong_place", task + " in " + agent.zone + ", other tasks in " + running.agent.zone);
      }
    }
    if (spec.spreadAcrossZones() && inZone + 1 > (spec.tasks() + 1) / 2) {
      reportViolation(
          "wrong_place", task + " puts more than half of the tasks in zone " + agent.zone);
    }
  }

  private void checkTeamLimit(JobSpec spec) {
    double cpus = cpusWithOneMore(spec);
    if (exceedsTeamLimit(spec, cpus)) {
      reportViolation("quota", spec.team() + " uses " + cpus);
    }
  }

  /** Returns the CPUs that the team of the job uses when one more task of the job runs. */
  private double cpusWithOneMore(JobSpec spec) {
    double cpus = spec.cpus();
    for (RunningTask running : runningTasks) {
      JobSpec other = submitted.get(running.task.job());
      cpus += other.team().equals(spec.team()) ? other.cpus() : 0;
    }
    return cpus;
  }

  private boolean exceedsTeamLimit(JobSpec spec, double cpus) {
    return teams.stream()
        .anyMatch(
            team ->
                team.name().equals(spec.team())
                    && team.cpuLimit() > 0
                    && cpus > team.cpuLimit() + 1e-6);
  }

  private void checkNotCancelled(SimAgent agent, TaskId task) {
    SimUser user = users.get(task.job());
    if (user == null || user.cancelledAt == null) {
      return;
    }
    if (now.isAfter(user.cancelledAt.plus(cancelTimeout))) {
      reportViolation("ran_cancelled", task + " started");
    }
    if (now.isAfter(user.cancelledAt.plus(cancelledStartTolerance()))) {
      reportViolation("started_cancelled", task + " on " + agent.name);
    }
  }

  /**
   * Returns how long after a confirmed cancellation a start in flight may still take effect. A
   * leader starts nothing based on a replica that is older than half of its renewal authority, and
   * the next response or command invalidates delayed commands to a machine.
   */
  private Duration cancelledStartTolerance() {
    return settings("hive-0").renewalAuthorityTimeout().dividedBy(2).plusSeconds(5);
  }

  void taskEnded(SimAgent agent, TaskId task, long attempt) {
    runningTasks.removeIf(p -> p.agent == agent && p.task.equals(task) && p.attempt == attempt);
    if (submitted.get(task.job()).isGang()) {
      gangChecker().taskLeft(task, agent.name, now);
    }
    disruptionChecker.taskGone(task);
  }

  /** Checks the invariants that only hold at the end of a run. */
  void checkEndOfRun() {
    gangChecker().check(now);
    Duration maxStartDelay = Duration.ofMinutes(4);
    for (SimUser user : users.values()) {
      Instant startDeadline = user.acceptedAt == null ? now : user.acceptedAt;
      startDeadline =
          (startDeadline.isAfter(lastFaultAt) ? startDeadline : lastFaultAt).plus(maxStartDelay);
      Instant startedAt = firstStarts.getOrDefault(user.spec.id(), now);
      if (user.accepted && !user.isFinished() && startedAt.isAfter(startDeadline)) {
        reportViolation("begins_late", user.spec.id());
      }
    }
    checkServedShare("class", user -> user.spec.jobClass());
    checkServedShare("team", user -> user.spec.team());
    Map<String, Integer> largest = new HashMap<>();
    users
        .values()
        .forEach(
            user ->
                largest.merge(user.spec.jobClass(), user.spec.tasks(), (a, b) -> Math.max(a, b)));
    checkServedShare(
        "largest",
        user ->
            2 * user.spec.tasks() > largest.get(user.spec.jobClass()) ? user.spec.jobClass() : "");
  }

  /** Checks that at least half of the accepted jobs of each group ended or run all their tasks. */
  private void checkServedShare(String kind, Function<SimUser, String> groupOf) {
    Map<String, int[]> groups = new HashMap<>();
    for (SimUser user : users.values()) {
      long running = runningTasks.stream().filter(p -> p.task.job().equals(user.spec.id())).count();
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

  /** Jobs that wait although capacity for them is available, with the start of their wait. */
  private final Map<SimUser, Instant> waitingSince = new HashMap<>();

  /** Returns whether a task of the job, or all tasks of a gang at once, fit on the machines. */
  private boolean hasCapacity(JobSpec spec) {
    if (!spec.isGang()) {
      return agents.values().stream().anyMatch(w -> w.availableSlots(spec) > 0);
    }
    Map<String, Integer> capacityByZone = new HashMap<>();
    agents
        .values()
        .forEach(w -> capacityByZone.merge(w.zone, w.availableSlots(spec), Integer::sum));
    int capacity =
        spec.singleZone()
            ? capacityByZone.values().stream().mapToInt(n -> n).max().orElse(0)
            : capacityByZone.values().stream().mapToInt(n -> n).sum();
    return capacity >= spec.tasks();
  }

  /**
   * Checks that after the last fault no job waits longer than {@code MAX_WAIT} while suitable
   * machines have capacity for it and its team is under its limit.
   */
  private void checkStarvation() {
    for (SimUser user : users.values()) {
      boolean waits =
          user.accepted
              && !user.isFinished()
              && user.cancelledAt == null
              && !user.failsEverywhere()
              && now.isAfter(lastFaultAt)
              && runningTasks.stream().noneMatch(p -> p.task.job().equals(user.spec.id()))
              && !SimAgent.allCompleted(this, user.spec)
              && underTeamLimit(user.spec)
              && hasCapacity(user.spec);
      if (!waits) {
        waitingSince.remove(user);
      } else if (now.isAfter(waitingSince.computeIfAbsent(user, k -> now).plus(MAX_WAIT))) {
        reportViolation("left_waiting", user.spec.id());
        waitingSince.remove(user);
      }
    }
  }

  private boolean underTeamLimit(JobSpec spec) {
    return !exceedsTeamLimit(spec, cpusWithOneMore(spec));
  }

  /** Checks the time-dependent invariants, and schedules itself again in one second. */
  void checkInvariants() {
    checkStarvation();
    for (RunningTask running : runningTasks) {
      SimUser user = users.get(running.task.job());
      if (user != null
          && user.cancelledAt != null
          && now.isAfter(user.cancelledAt.plus(cancelTimeout))) {
        reportViolation("ran_cancelled", running.task + " on " + running.agent.name);
      }
    }
    after(Duration.ofSeconds(1), this::checkInvariants);
  }

  static ObjectNode map() {
    return MessagePack.map();
  }

  Optional<SimController> randomRunningController() {
    List<SimController> running =
        controllers.values().stream().filter(SimController::isUp).toList();
    return running.isEmpty()
        ? Optional.empty()
        : Optional.of(running.get(random.nextInt(running.size())));
  }
}
