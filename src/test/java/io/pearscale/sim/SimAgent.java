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

/** A stand-in for a worker, by its protocol: reports, orders, tokens, sessions, leases. */
final class SimAgent {
  private static final Duration TIMEOUT = Duration.ofSeconds(4);

  private record Key(TaskId task, long attempt) {}

  private static final class Task {
    String stage = "fetching";
    String cause = "";
    boolean saved;
    boolean started;
    Instant runsSince = Instant.MAX;
  }

  private final SimulatedCluster world;
  final String name;
  final MachineType type;
  final String zone;
  final boolean spot;
  private final Map<Key, Task> tasks = new LinkedHashMap<>();
  private final Set<String> cachedImages = new HashSet<>();
  private static final Map<SimulatedCluster, Set<TaskId>> COMPLETED = new java.util.WeakHashMap<>();
  private long incarnation = 1;
  private long sequence;
  private long fencingToken;
  private Instant leaseStart;
  private int controllerIndex;
  private boolean heartbeatPending;
  private boolean dead;
  private boolean hung;
  private final List<Runnable> whileHung = new ArrayList<>();
  private Instant lastHeartbeat = Instant.MIN;
  private long timer;
  boolean faulty;

  /** A fault of its own, to see that the world's checker finds what goes on after a cancel. */
  boolean ignoresStops;

  Duration notice;
  private Instant preemptionTime;

  SimAgent(SimulatedCluster cluster, String name, MachineType type, String zone, boolean spot) {
    this.world = cluster;
    this.name = name;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
  }

  void start() {
    leaseStart = world.now;
    controllerIndex = world.random.nextInt(world.controllers.size());
    world.trace(name + " is up in " + zone);
    checkLease();
    sendHeartbeat();
  }

  boolean isDead() {
    return dead;
  }

  static Set<TaskId> completed(SimulatedCluster cluster) {
    return COMPLETED.computeIfAbsent(cluster, w -> new HashSet<>());
  }

  /** Whether all tasks of a job have completed, told or not. */
  static boolean allDone(SimulatedCluster cluster, JobSpec spec) {
    Set<TaskId> done = completed(cluster);
    for (int i = 0; i < spec.tasks(); i++) {
      if (!done.contains(new TaskId(spec.id(), i))) {
        return false;
      }
    }
    return true;
  }

  /** How many tasks of the job could run here now. */
  int placesFor(JobSpec spec) {
    if (dead || hung || faulty || preemptionTime != null || !spec.allows(type, zone, spot)) {
      return 0;
    }
    double used = 0;
    for (SimulatedCluster.RunningTask p : world.runningTasks) {
      used += p.agent() == this ? world.submitted.get(p.task().job()).cpus() : 0;
    }
    return (int) ((type.cpus() - used + 1e-6) / spec.cpus());
  }

  /** Power off. */
  void die() {
    dead = true;
    clearTasks();
  }

  /** Back within a moment, with nothing of what it ran and nothing of what it was told. */
  void reboot() {
    clearTasks();
    incarnation++;
    sequence = 0;
    fencingToken = 0;
    leaseStart = world.now;
    heartbeatSoon();
  }

  void hang() {
    hung = true;
    world.gangChecker().standsStill(name, world.now);
    tasks.forEach(
        (key, task) -> {
          if (task.stage.equals("running") && isGang(key)) {
            world.gangs.hung(key.task, key.attempt, new GangMember(key, task));
          }
        });
  }

  private boolean isGang(Key key) {
    return world.submitted.get(key.task.job()).isGang();
  }

  /** A task of a gang, as the others see it. Two of them are the same if their task is. */
  private final class GangMember implements SimGangRendezvous.Member {
    private final Key key;
    private final Task task;

    GangMember(Key key, Task task) {
      this.key = key;
      this.task = task;
    }

    @Override
    public void started() {
      task.stage = "running";
      task.runsSince = world.now;
      world.gangChecker().runs(key.task, world.now);
      heartbeatSoon();
    }

    @Override
    public void exited(String cause, boolean saved) {
      whenAlive(
          () -> {
            if (tasks.get(key) == task && !task.stage.equals("ended")) {
              task.saved = saved;
              if (cause.equals("done")) {
                world.gangChecker().completes(key.task, key.attempt);
              }
              end(key, task, cause);
              cancelIfAllDone(key);
            }
          });
    }

    @Override
    public boolean hangs() {
      return hung;
    }

    @Override
    public boolean equals(Object other) {
      return other instanceof GangMember member && member.task == task;
    }

    @Override
    public int hashCode() {
      return System.identityHashCode(task);
    }
  }

  /** Hangs, but goes on when its lease is over, if it did not before. */
  void hangWithinLease() {
    hang();
    world.at(
        leaseStart.plus(world.lease).plusMillis(1),
        () -> {
          if (hung) {
            resume();
          }
        });
  }

  void resume() {
    hung = false;
    world.gangChecker().goesOn(name, world.now);
    List<Runnable> late = List.copyOf(whileHung);
    whileHung.clear();
    late.forEach(Runnable::run);
  }

  void receivePreemptionNotice(Duration left) {
    preemptionTime = world.now.plus(left);
    heartbeatSoon();
  }

  private void whenAlive(Runnable action) {
    if (dead) {
      return;
    }
    if (hung) {
      whileHung.add(() -> whenAlive(action));
    } else {
      action.run();
    }
  }

  private void clearTasks() {
    tasks.forEach(
        (k, t) -> {
          if (t.started && !t.stage.equals("ended")) {
            world.taskEnded(this, k.task, k.attempt);
            world.gangs.leave(k.task, k.attempt);
          }
        });
    tasks.clear();
  }

  private void checkLease() {
    whenAlive(
        () -> {
          if (world.now.isAfter(leaseStart.plus(world.lease))) {
            if (!tasks.isEmpty()) {
              world.trace(name + " lease over, " + tasks.size() + " tasks killed");
            }
            clearTasks();
            incarnation++;
            sequence = 0;
            leaseStart = world.now;
          }
          world.after(Duration.ofMillis(200), this::checkLease);
        });
  }

  private ObjectNode body() {
    ObjectNode body =
        SimulatedCluster.map()
            .put("hive", name)
            .put("address", world.machineAddress.apply(name))
            .put("breed", type.name())
            .put("yard", zone)
            .put("windfall", spot)
            .put("stint", incarnation)
            .put("tally", ++sequence)
            .put("baton", fencingToken);
    if (preemptionTime != null) {
      body.put(
          "warningS", Math.max(0, Duration.between(world.now, preemptionTime).toMillis() / 1000.0));
    }
    var list = body.putArray("pieces");
    tasks.forEach(
        (k, t) -> {
          ObjectNode p =
              list.addObject()
                  .put("piece", k.task.toString())
                  .put("try", k.attempt)
                  .put("stage", t.stage);
          if (t.stage.equals("ended")) {
            p.put("cause", t.cause).put("stored", t.saved);
          }
        });
    return body;
  }

  private void sendHeartbeat() {
    whenAlive(
        () -> {
          if (heartbeatPending) {
            return;
          }
          timer++;
          heartbeatPending = true;
          Instant sent = world.now;
          lastHeartbeat = sent;
          long sentSession = incarnation;
          String to = List.copyOf(world.controllers.keySet()).get(controllerIndex);
          world.request(
              name,
              to,
              "POST",
              "/checkin",
              body(),
              TIMEOUT,
              r -> whenAlive(() -> heartbeatAnswered(sent, sentSession, r)));
        });
  }

  private void heartbeatAnswered(Instant sent, long sentSession, Reply reply) {
    heartbeatPending = false;
    if (reply.status() == 200) {
      long answeredToken = reply.body().path("baton").asLong();
      if (answeredToken >= fencingToken && sentSession == incarnation) {
        boolean higher = answeredToken > fencingToken;
        fencingToken = answeredToken;
        leaseStart = sent;
        reply.body().path("orders").forEach(this::execute);
        if (higher) {
          heartbeatSoon();
        }
      }
      scheduleHeartbeat(jitter());
    } else {
      if (reply.status() == 421
          && world.controllers.containsKey(reply.body().path("foreman").asText())) {
        controllerIndex =
            List.copyOf(world.controllers.keySet()).indexOf(reply.body().path("foreman").asText());
        scheduleHeartbeat(Duration.ofMillis(200));
        return;
      }
      controllerIndex = (controllerIndex + 1) % world.controllers.size();
      scheduleHeartbeat(Duration.ofSeconds(1));
    }
  }

  private Duration jitter() {
    return Duration.ofMillis(
        (long) (world.heartbeatInterval.toMillis() * (0.75 + world.random.nextDouble() * 0.5)));
  }

  private void scheduleHeartbeat(Duration delay) {
    long mine = ++timer;
    world.after(
        delay,
        () -> {
          if (mine == timer) {
            sendHeartbeat();
          }
        });
  }

  private void heartbeatSoon() {
    if (!heartbeatPending) {
      Instant soonest =
          lastHeartbeat.equals(Instant.MIN) ? world.now : lastHeartbeat.plusMillis(500);
      scheduleHeartbeat(
          soonest.isAfter(world.now) ? Duration.between(world.now, soonest) : Duration.ZERO);
    } else {
      world.after(Duration.ofMillis(500), () -> whenAlive(this::heartbeatSoonIfIdle));
    }
  }

  private void heartbeatSoonIfIdle() {
    if (!heartbeatPending) {
      heartbeatSoon();
    }
  }

  void serve(String method, String path, JsonNode body, Consumer<Reply> answer) {
    whenAlive(
        () -> {
          if (path.equals("/status")) {
            answer.accept(new Reply(200, body()));
            return;
          }
          long commandToken = body.path("baton").asLong();
          if (commandToken < fencingToken || body.path("stint").asLong() != incarnation) {
            answer.accept(new Reply(409, body()));
            return;
          }
          boolean higher = commandToken > fencingToken;
          fencingToken = commandToken;
          body.path("orders").forEach(this::execute);
          answer.accept(new Reply(200, body()));
          if (higher) {
            heartbeatSoon();
          }
        });
  }

  private void execute(JsonNode command) {
    TaskId task = SimUser.task(command.path("piece").asText());
    Key key = new Key(task, command.path("try").asLong());
    Task run = tasks.get(key);
    switch (command.path("verb").asText()) {
      case "run" -> {
        if (run == null) {
          startTask(key);
        }
      }
      case "kill" -> {
        if (run != null && !run.stage.equals("ended") && !ignoresStops) {
          stopTask(key, run, command.path("leewayS").asDouble());
        }
      }
      default -> {
        if (run != null && run.stage.equals("ended")) {
          tasks.remove(key);
        }
      }
    }
    heartbeatSoon();
  }

  /**
   * A running task with checkpoints saves if it is given the time; a second kill may cut it off.
   */
  private void stopTask(Key key, Task run, double leeway) {
    JobSpec spec = world.submitted.get(key.task.job());
    if (run.started && run.stage.equals("running")) {
      world.disruptionChecker.stopped(key.task);
    }
    boolean hasTime = leeway > 0 && leeway >= spec.checkpointDuration().toMillis() / 1000.0;
    if (spec.isGang()
        && run.stage.equals("running")
        && !spec.checkpointInterval().isZero()
        && hasTime) {
      world.gangs.stopRequested(key.task, key.attempt);
      return;
    }
    if (run.stage.equals("running") && !spec.checkpointInterval().isZero() && hasTime) {
      run.stage = "flushing";
      Duration ran = Duration.between(run.runsSince, world.now);
      world.after(
          spec.checkpointDuration(),
          () ->
              whenAlive(
                  () -> {
                    if (tasks.get(key) == run && run.stage.equals("flushing")) {
                      world.savedProgress.merge(key.task, ran, Duration::plus);
                      end(key, run, "stopped");
                    }
                  }));
    } else if (!run.stage.equals("flushing") || leeway <= 0) {
      end(key, run, "stopped");
    }
  }

  private void startTask(Key key) {
    Task run = new Task();
    tasks.put(key, run);
    JobSpec spec = world.submitted.get(key.task.job());
    double used = 0;
    for (Map.Entry<Key, Task> e : tasks.entrySet()) {
      if (!e.getKey().equals(key) && !e.getValue().stage.equals("ended")) {
        if (e.getKey().task.equals(key.task)) {
          end(key, run, "busy");
          return;
        }
        used += world.submitted.get(e.getKey().task.job()).cpus();
      }
    }
    if (spec == null || used + spec.cpus() > type.cpus() + 1e-6) {
      end(key, run, spec == null ? "no_such" : "no_room");
      return;
    }
    Duration fetch =
        cachedImages.contains(spec.image())
            ? Duration.ofMillis(10)
            : type.fetchTime(spec.imageGb());
    world.after(
        fetch,
        () ->
            whenAlive(
                () -> {
                  if (tasks.get(key) != run || !run.stage.equals("fetching")) {
                    return;
                  }
                  cachedImages.add(spec.image());
                  if (completed(world).contains(key.task)) {
                    world.startsOfDoneTasks++;
                    end(key, run, "done");
                    return;
                  }
                  run.started = true;
                  if (spec.isGang()) {
                    run.stage = "waiting";
                    world.taskStarted(this, key.task, key.attempt);
                    heartbeatSoon();
                    if (faulty) {
                      world.after(
                          Duration.ofMillis(300),
                          () -> whenAlive(() -> endIfThere(key, run, "error")));
                    }
                    world.gangs.join(key.task, key.attempt, new GangMember(key, run));
                    return;
                  }
                  run.stage = "running";
                  run.runsSince = world.now;
                  world.taskStarted(this, key.task, key.attempt);
                  heartbeatSoon();
                  if (faulty || world.users.get(spec.id()).failsEverywhere()) {
                    world.after(
                        Duration.ofMillis(300),
                        () -> whenAlive(() -> endIfRunning(key, run, "error")));
                  } else if (!spec.isService()) {
                    Duration whole = world.users.get(spec.id()).run(key.task);
                    Duration left = whole.minus(world.progressOf(key.task));
                    world.after(left, () -> whenAlive(() -> endIfRunning(key, run, "done")));
                  }
                }));
  }

  private void endIfRunning(Key key, Task run, String cause) {
    if (tasks.get(key) == run && run.stage.equals("running")) {
      if (cause.equals("done")) {
        completed(world).add(key.task);
      }
      end(key, run, cause);
      cancelIfAllDone(key);
    }
  }

  private void endIfThere(Key key, Task run, String cause) {
    if (tasks.get(key) == run && !run.stage.equals("ended")) {
      end(key, run, cause);
    }
  }

  private void cancelIfAllDone(Key key) {
    String job = key.task.job();
    if (world.cancelledAtEnd.contains(job) && allDone(world, world.submitted.get(job))) {
      world.cancelledAtEnd.remove(job);
      world.users.get(job).cancel();
    }
  }

  private void end(Key key, Task run, String cause) {
    if (run.started) {
      world.taskEnded(this, key.task, key.attempt);
      world.gangs.leave(key.task, key.attempt);
    }
    run.stage = "ended";
    run.cause = cause;
    heartbeatSoon();
  }
}
