package io.pearscale.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.protocol.JobSpec;
import io.pearscale.protocol.MachineType;
import io.pearscale.protocol.TaskId;
import io.pearscale.transport.HttpClient.Reply;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * A simulated agent. It implements the agent's side of the protocol: heartbeats, commands, fencing
 * tokens, incarnations and leases.
 */
final class SimAgent {
  private static final Duration TIMEOUT = Duration.ofSeconds(4);

  private record TaskAttempt(TaskId task, long attempt) {}

  private static final class TaskState {
    String stage = "fetching";
    String cause = "";
    boolean saved;
    boolean started;
    Instant runsSince = Instant.MAX;
  }

  private final SimulatedCluster cluster;
  final String name;
  final MachineType type;
  final String zone;
  final boolean spot;
  private final Map<TaskAttempt, TaskState> tasks = new LinkedHashMap<>();
  private final Set<String> cachedImages = new HashSet<>();
  private static final Map<SimulatedCluster, Set<TaskId>> COMPLETED = new java.util.WeakHashMap<>();
  private long incarnation = 1;
  private long sequence;
  private long fencingToken;
  private long acceptedResponses;
  private Instant leaseStart;
  private int controllerIndex;
  private boolean heartbeatPending;
  private boolean dead;
  private boolean hung;
  private final List<Runnable> deferredActions = new ArrayList<>();
  private Instant lastHeartbeat = Instant.MIN;
  private long heartbeatTimer;
  boolean faulty;

  /** Whether the agent refuses its next start, as if its resources were in use. */
  boolean refusesNextStart;

  /** Injected fault for a test of the checker: the agent does not execute stop commands. */
  boolean ignoresStops;

  Duration preemptionNotice;
  private Instant preemptionTime;

  SimAgent(SimulatedCluster cluster, String name, MachineType type, String zone, boolean spot) {
    this.cluster = cluster;
    this.name = name;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
  }

  void start() {
    leaseStart = cluster.now;
    controllerIndex = cluster.random.nextInt(cluster.controllers.size());
    cluster.trace(name + " is up in " + zone);
    checkLease();
    sendHeartbeat();
  }

  boolean isDead() {
    return dead;
  }

  static Set<TaskId> completed(SimulatedCluster cluster) {
    return COMPLETED.computeIfAbsent(cluster, w -> new HashSet<>());
  }

  /** Returns whether all tasks of a job have completed, reported to a controller or not. */
  static boolean allCompleted(SimulatedCluster cluster, JobSpec spec) {
    Set<TaskId> done = completed(cluster);
    for (int i = 0; i < spec.tasks(); i++) {
      if (!done.contains(new TaskId(spec.id(), i))) {
        return false;
      }
    }
    return true;
  }

  /** Returns how many more tasks of the job the machine has capacity for. */
  int availableSlots(JobSpec spec) {
    if (dead || hung || faulty || preemptionTime != null || !spec.allows(type, zone, spot)) {
      return 0;
    }
    double used = 0;
    for (SimulatedCluster.RunningTask presence : cluster.runningTasks) {
      used += presence.agent() == this ? cluster.submitted.get(presence.task().job()).cpus() : 0;
    }
    return (int) ((type.cpus() - used + 1e-6) / spec.cpus());
  }

  /** Ends the agent and all its tasks at once. */
  void powerOff() {
    dead = true;
    clearTasks();
  }

  /** Starts a new incarnation without tasks and without the fencing token. */
  void reboot() {
    clearTasks();
    incarnation++;
    sequence = 0;
    fencingToken = 0;
    leaseStart = cluster.now;
    requestHeartbeat();
  }

  /** Loses all tasks, but neither the incarnation nor the fencing token. */
  void loseTasks() {
    clearTasks();
    requestHeartbeat();
  }

  /** Returns the highest fencing token that the agent has seen. */
  long fencingToken() {
    return fencingToken;
  }

  /** Returns the agent's incarnation. */
  long incarnation() {
    return incarnation;
  }

  /** Returns how many heartbeat responses the agent has accepted. */
  long acceptedResponses() {
    return acceptedResponses;
  }

  /** Returns whether the agent lists the attempt, in any state. */
  boolean lists(TaskId task, long attempt) {
    return tasks.containsKey(new TaskAttempt(task, attempt));
  }

  /** Returns whether the attempt is present and has begun to run. */
  boolean hasStarted(TaskId task, long attempt) {
    TaskState state = tasks.get(new TaskAttempt(task, attempt));
    return state != null && state.started;
  }

  /** Returns whether the agent lists the attempt as ended. */
  boolean hasEnded(TaskId task, long attempt) {
    TaskState state = tasks.get(new TaskAttempt(task, attempt));
    return state != null && state.stage.equals("ended");
  }

  void hang() {
    hung = true;
    cluster.gangChecker().machineUnresponsive(name, cluster.now);
    tasks.forEach(
        (key, state) -> {
          if (state.stage.equals("running") && isGang(key)) {
            cluster.gangs.memberUnresponsive(key.task, key.attempt, new GangMember(key, state));
          }
        });
  }

  private boolean isGang(TaskAttempt key) {
    return cluster.submitted.get(key.task.job()).isGang();
  }

  /** A task of a gang on this agent. Members are equal if they are for the same task state. */
  private final class GangMember implements SimGangRendezvous.Member {
    private final TaskAttempt key;
    private final TaskState state;

    GangMember(TaskAttempt key, TaskState state) {
      this.key = key;
      this.state = state;
    }

    @Override
    public void start() {
      state.stage = "running";
      state.runsSince = cluster.now;
      cluster.gangChecker().taskRunning(key.task, cluster.now);
      requestHeartbeat();
    }

    @Override
    public void exit(String cause, boolean saved) {
      runWhenResponsive(
          () -> {
            if (tasks.get(key) == state && !state.stage.equals("ended")) {
              state.saved = saved;
              if (cause.equals("done")) {
                cluster.gangChecker().taskCompleted(key.task, key.attempt);
              }
              end(key, state, cause);
              cancelIfAllCompleted(key);
            }
          });
    }

    @Override
    public boolean isUnresponsive() {
      return hung;
    }

    @Override
    public boolean equals(Object other) {
      return other instanceof GangMember member && member.state == state;
    }

    @Override
    public int hashCode() {
      return System.identityHashCode(state);
    }
  }

  /** Hangs until it is resumed, or until its lease has expired at the latest. */
  void hangUntilLeaseExpires() {
    hang();
    cluster.at(
        leaseStart.plus(cluster.lease).plusMillis(1),
        () -> {
          if (hung) {
            resume();
          }
        });
  }

  void resume() {
    hung = false;
    cluster.gangChecker().machineResumed(name, cluster.now);
    List<Runnable> deferred = List.copyOf(deferredActions);
    deferredActions.clear();
    deferred.forEach(Runnable::run);
  }

  void receivePreemptionNotice(Duration timeLeft) {
    preemptionTime = cluster.now.plus(timeLeft);
    requestHeartbeat();
  }

  private void runWhenResponsive(Runnable action) {
    if (dead) {
      return;
    }
    if (hung) {
      deferredActions.add(() -> runWhenResponsive(action));
    } else {
      action.run();
    }
  }

  private void clearTasks() {
    tasks.forEach(
        (key, state) -> {
          if (state.started && !state.stage.equals("ended")) {
            cluster.taskEnded(this, key.task, key.attempt);
            cluster.gangs.leave(key.task, key.attempt);
          }
        });
    tasks.clear();
  }

  private void checkLease() {
    runWhenResponsive(
        () -> {
          if (cluster.now.isAfter(leaseStart.plus(cluster.lease))) {
            if (!tasks.isEmpty()) {
              cluster.trace(name + " lease expired, " + tasks.size() + " tasks killed");
            }
            clearTasks();
            incarnation++;
            sequence = 0;
            leaseStart = cluster.now;
          }
          cluster.after(Duration.ofMillis(200), this::checkLease);
        });
  }

  private ObjectNode heartbeatBody() {
    ObjectNode body =
        SimulatedCluster.map()
            .put("hive", name)
            .put("address", cluster.machineAddress.apply(name))
            .put("breed", type.name())
            .put("yard", zone)
            .put("windfall", spot)
            .put("stint", incarnation)
            .put("tally", ++sequence)
            .put("baton", fencingToken);
    if (preemptionTime != null) {
      body.put(
          "warningS",
          Math.max(0, Duration.between(cluster.now, preemptionTime).toMillis() / 1000.0));
    }
    var list = body.putArray("pieces");
    tasks.forEach(
        (key, state) -> {
          ObjectNode node =
              list.addObject()
                  .put("piece", key.task.toString())
                  .put("try", key.attempt)
                  .put("stage", state.stage);
          if (state.stage.equals("ended")) {
            node.put("cause", state.cause).put("stored", state.saved);
          }
        });
    return body;
  }

  private void sendHeartbeat() {
    runWhenResponsive(
        () -> {
          if (heartbeatPending) {
            return;
          }
          heartbeatTimer++;
          heartbeatPending = true;
          Instant sentAt = cluster.now;
          lastHeartbeat = sentAt;
          long sentIncarnation = incarnation;
          String controller = List.copyOf(cluster.controllers.keySet()).get(controllerIndex);
          cluster.network.request(
              name,
              controller,
              "POST",
              "/checkin",
              heartbeatBody(),
              TIMEOUT,
              reply ->
                  runWhenResponsive(() -> handleHeartbeatResponse(sentAt, sentIncarnation, reply)));
        });
  }

  private void handleHeartbeatResponse(Instant sentAt, long sentIncarnation, Reply reply) {
    heartbeatPending = false;
    if (reply.status() == 200) {
      long responseToken = reply.body().path("baton").asLong();
      if (responseToken >= fencingToken && sentIncarnation == incarnation) {
        boolean higherToken = responseToken > fencingToken;
        fencingToken = responseToken;
        leaseStart = sentAt;
        acceptedResponses++;
        cluster.network.lateHeartbeats.responseReceived(fencingToken);
        reply.body().path("orders").forEach(this::execute);
        if (higherToken) {
          requestHeartbeat();
        }
      }
      scheduleHeartbeat(jitteredHeartbeatInterval());
    } else {
      if (reply.status() == 421
          && cluster.controllers.containsKey(reply.body().path("foreman").asText())) {
        controllerIndex =
            List.copyOf(cluster.controllers.keySet())
                .indexOf(reply.body().path("foreman").asText());
        scheduleHeartbeat(Duration.ofMillis(200));
        return;
      }
      controllerIndex = (controllerIndex + 1) % cluster.controllers.size();
      scheduleHeartbeat(Duration.ofSeconds(1));
    }
  }

  private Duration jitteredHeartbeatInterval() {
    return Duration.ofMillis(
        (long) (cluster.heartbeatInterval.toMillis() * (0.75 + cluster.random.nextDouble() * 0.5)));
  }

  private void scheduleHeartbeat(Duration delay) {
    long scheduledTimer = ++heartbeatTimer;
    cluster.after(
        delay,
        () -> {
          if (scheduledTimer == heartbeatTimer) {
            sendHeartbeat();
          }
        });
  }

  private void requestHeartbeat() {
    if (!heartbeatPending) {
      Instant earliest =
          lastHeartbeat.equals(Instant.MIN) ? cluster.now : lastHeartbeat.plusMillis(500);
      scheduleHeartbeat(
          earliest.isAfter(cluster.now) ? Duration.between(cluster.now, earliest) : Duration.ZERO);
    } else {
      cluster.after(Duration.ofMillis(500), () -> runWhenResponsive(this::requestHeartbeatIfIdle));
    }
  }

  private void requestHeartbeatIfIdle() {
    if (!heartbeatPending) {
      requestHeartbeat();
    }
  }

  void handleRequest(String method, String path, JsonNode body, Consumer<Reply> responseHandler) {
    runWhenResponsive(
        () -> {
          if (path.equals("/status")) {
            responseHandler.accept(new Reply(200, heartbeatBody()));
            return;
          }
          long commandToken = body.path("baton").asLong();
          if (commandToken < fencingToken || body.path("stint").asLong() != incarnation) {
            responseHandler.accept(new Reply(409, heartbeatBody()));
            return;
          }
          boolean higherToken = commandToken > fencingToken;
          fencingToken = commandToken;
          body.path("orders").forEach(this::execute);
          responseHandler.accept(new Reply(200, heartbeatBody()));
          if (higherToken) {
            requestHeartbeat();
          }
        });
  }

  private void execute(JsonNode command) {
    TaskId task = SimUser.parseTask(command.path("piece").asText());
    TaskAttempt key = new TaskAttempt(task, command.path("try").asLong());
    TaskState state = tasks.get(key);
    switch (command.path("verb").asText()) {
      case "run" -> {
        if (state == null) {
          startTask(key);
        }
      }
      case "kill" -> {
        if (state != null && !state.stage.equals("ended") && !ignoresStops) {
          stopTask(key, state, command.path("leewayS").asDouble());
        }
      }
      default -> {
        if (state != null && state.stage.equals("ended")) {
          tasks.remove(key);
        }
      }
    }
    requestHeartbeat();
  }

  /**
   * Stops a task. A running task with checkpoints saves its progress first if the grace period is
   * long enough; a second stop command without a grace period interrupts that.
   */
  private void stopTask(TaskAttempt key, TaskState state, double gracePeriodSeconds) {
    JobSpec spec = cluster.submitted.get(key.task.job());
    if (state.started && state.stage.equals("running")) {
      cluster.disruptionChecker.taskStopped(key.task);
    }
    boolean hasTime =
        gracePeriodSeconds > 0
            && gracePeriodSeconds >= spec.checkpointDuration().toMillis() / 1000.0;
    if (spec.isGang()
        && state.stage.equals("running")
        && !spec.checkpointInterval().isZero()
        && hasTime) {
      cluster.gangs.stopRequested(key.task, key.attempt);
      return;
    }
    if (state.stage.equals("running") && !spec.checkpointInterval().isZero() && hasTime) {
      state.stage = "flushing";
      Duration runTime = Duration.between(state.runsSince, cluster.now);
      cluster.after(
          spec.checkpointDuration(),
          () ->
              runWhenResponsive(
                  () -> {
                    if (tasks.get(key) == state && state.stage.equals("flushing")) {
                      cluster.savedProgress.merge(key.task, runTime, Duration::plus);
                      end(key, state, "stopped");
                    }
                  }));
    } else if (!state.stage.equals("flushing") || gracePeriodSeconds <= 0) {
      end(key, state, "stopped");
    }
  }

  private void startTask(TaskAttempt key) {
    TaskState state = new TaskState();
    tasks.put(key, state);
    JobSpec spec = cluster.submitted.get(key.task.job());
    double used = 0;
    for (Map.Entry<TaskAttempt, TaskState> entry : tasks.entrySet()) {
      if (!entry.getKey().equals(key) && !entry.getValue().stage.equals("ended")) {
        if (entry.getKey().task.equals(key.task)) {
          end(key, state, "busy");
          return;
        }
        used += cluster.submitted.get(entry.getKey().task.job()).cpus();
      }
    }
    if (spec == null || used + spec.cpus() > type.cpus() + 1e-6 || refusesNextStart) {
      refusesNextStart = false;
      end(key, state, spec == null ? "no_such" : "no_room");
      return;
    }
    Duration fetch =
        cachedImages.contains(spec.image())
            ? Duration.ofMillis(10)
            : type.fetchTime(spec.imageGb());
    cluster.after(
        fetch,
        () ->
            runWhenResponsive(
                () -> {
                  if (tasks.get(key) != state || !state.stage.equals("fetching")) {
                    return;
                  }
                  cachedImages.add(spec.image());
                  if (completed(cluster).contains(key.task)) {
                    cluster.startsOfDoneTasks++;
                    cluster.checkStart(this, key.task);
                    end(key, state, "done");
                    return;
                  }
                  state.started = true;
                  if (spec.isGang()) {
                    state.stage = "waiting";
                    cluster.taskStarted(this, key.task, key.attempt);
                    requestHeartbeat();
                    if (faulty) {
                      cluster.after(
                          Duration.ofMillis(300),
                          () -> runWhenResponsive(() -> endIfPresent(key, state, "error")));
                    }
                    cluster.gangs.join(key.task, key.attempt, new GangMember(key, state));
                    return;
                  }
                  state.stage = "running";
                  state.runsSince = cluster.now;
                  cluster.taskStarted(this, key.task, key.attempt);
                  requestHeartbeat();
                  if (faulty || cluster.users.get(spec.id()).failsEverywhere()) {
                    cluster.after(
                        Duration.ofMillis(300),
                        () -> runWhenResponsive(() -> endIfRunning(key, state, "error")));
                  } else if (!spec.isService()) {
                    Duration runTime = cluster.users.get(spec.id()).runTime(key.task);
                    Duration timeLeft = runTime.minus(cluster.progressOf(key.task));
                    cluster.after(
                        timeLeft, () -> runWhenResponsive(() -> endIfRunning(key, state, "done")));
                  }
                }));
  }

  private void endIfRunning(TaskAttempt key, TaskState state, String cause) {
    if (tasks.get(key) == state && state.stage.equals("running")) {
      if (cause.equals("done")) {
        completed(cluster).add(key.task);
      }
      end(key, state, cause);
      cancelIfAllCompleted(key);
    }
  }

  private void endIfPresent(TaskAttempt key, TaskState state, String cause) {
    if (tasks.get(key) == state && !state.stage.equals("ended")) {
      end(key, state, cause);
    }
  }

  private void cancelIfAllCompleted(TaskAttempt key) {
    String job = key.task.job();
    if (cluster.cancelledAtEnd.contains(job) && allCompleted(cluster, cluster.submitted.get(job))) {
      cluster.cancelledAtEnd.remove(job);
      cluster.users.get(job).cancel();
    }
  }

  private void end(TaskAttempt key, TaskState state, String cause) {
    if (state.started) {
      cluster.taskEnded(this, key.task, key.attempt);
      cluster.gangs.leave(key.task, key.attempt);
    }
    state.stage = "ended";
    state.cause = cause;
    requestHeartbeat();
  }
}
