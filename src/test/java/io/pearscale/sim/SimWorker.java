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
final class SimWorker {
  private static final Duration TIMEOUT = Duration.ofSeconds(4);

  private record Key(TaskId task, long attempt) {}

  private static final class Task {
    String stage = "fetching";
    String cause = "";
    boolean saved;
    boolean started;
    Instant runsSince = Instant.MAX;
  }

  private final World world;
  final String name;
  final MachineType type;
  final String zone;
  final boolean spot;
  private final Map<Key, Task> tasks = new LinkedHashMap<>();
  private final Set<String> images = new HashSet<>();
  private static final Map<World, Set<TaskId>> COMPLETED = new java.util.WeakHashMap<>();
  private long session = 1;
  private long sequence;
  private long token;
  private Instant leaseFrom;
  private int node;
  private boolean reporting;
  private boolean dead;
  private boolean hung;
  private final List<Runnable> whileHung = new ArrayList<>();
  private Instant lastReport = Instant.MIN;
  private long timer;
  boolean faulty;

  /** A fault of its own, to see that the world's checker finds what goes on after a cancel. */
  boolean ignoresKills;

  Duration notice;
  private Instant noticeEnd;

  SimWorker(World world, String name, MachineType type, String zone, boolean spot) {
    this.world = world;
    this.name = name;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
  }

  void start() {
    leaseFrom = world.now;
    node = world.random.nextInt(world.nodes.size());
    world.note(name + " is up in " + zone);
    checkLease();
    report();
  }

  boolean isDead() {
    return dead;
  }

  static Set<TaskId> completed(World world) {
    return COMPLETED.computeIfAbsent(world, w -> new HashSet<>());
  }

  /** Whether all tasks of a job have completed, told or not. */
  static boolean allDone(World world, JobSpec spec) {
    Set<TaskId> done = completed(world);
    for (int i = 0; i < spec.tasks(); i++) {
      if (!done.contains(new TaskId(spec.id(), i))) {
        return false;
      }
    }
    return true;
  }

  /** How many tasks of the job could run here now. */
  int placesFor(JobSpec spec) {
    if (dead || hung || faulty || noticeEnd != null || !spec.allows(type, zone, spot)) {
      return 0;
    }
    double used = 0;
    for (World.Presence p : world.present) {
      used += p.worker() == this ? world.submitted.get(p.task().job()).cpus() : 0;
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
    session++;
    sequence = 0;
    token = 0;
    leaseFrom = world.now;
    reportSoon();
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
  private final class GangMember implements SimGangs.Member {
    private final Key key;
    private final Task task;

    GangMember(Key key, Task task) {
      this.key = key;
      this.task = task;
    }

    @Override
    public void runs() {
      task.stage = "running";
      task.runsSince = world.now;
      world.gangChecker().runs(key.task, world.now);
      reportSoon();
    }

    @Override
    public void exits(String cause, boolean saved) {
      alive(
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
        leaseFrom.plus(world.lease).plusMillis(1),
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

  void warn(Duration left) {
    noticeEnd = world.now.plus(left);
    reportSoon();
  }

  private void alive(Runnable r) {
    if (dead) {
      return;
    }
    if (hung) {
      whileHung.add(() -> alive(r));
    } else {
      r.run();
    }
  }

  private void clearTasks() {
    tasks.forEach(
        (k, t) -> {
          if (t.started && !t.stage.equals("ended")) {
            world.taskGone(this, k.task, k.attempt);
            world.gangs.leave(k.task, k.attempt);
          }
        });
    tasks.clear();
  }

  private void checkLease() {
    alive(
        () -> {
          if (world.now.isAfter(leaseFrom.plus(world.lease))) {
            if (!tasks.isEmpty()) {
              world.note(name + " lease over, " + tasks.size() + " tasks killed");
            }
            clearTasks();
            session++;
            sequence = 0;
            leaseFrom = world.now;
          }
          world.after(Duration.ofMillis(200), this::checkLease);
        });
  }

  private ObjectNode body() {
    ObjectNode n =
        World.map()
            .put("hive", name)
            .put("address", world.machineAddress.apply(name))
            .put("breed", type.name())
            .put("yard", zone)
            .put("windfall", spot)
            .put("stint", session)
            .put("tally", ++sequence)
            .put("baton", token);
    if (noticeEnd != null) {
      n.put("warningS", Math.max(0, Duration.between(world.now, noticeEnd).toMillis() / 1000.0));
    }
    var list = n.putArray("pieces");
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
    return n;
  }

  private void report() {
    alive(
        () -> {
          if (reporting) {
            return;
          }
          timer++;
          reporting = true;
          Instant sent = world.now;
          lastReport = sent;
          long sentSession = session;
          String to = List.copyOf(world.nodes.keySet()).get(node);
          world.request(
              name,
              to,
              "POST",
              "/checkin",
              body(),
              TIMEOUT,
              r -> alive(() -> answered(sent, sentSession, r)));
        });
  }

  private void answered(Instant sent, long sentSession, Reply r) {
    reporting = false;
    if (r.status() == 200) {
      long t = r.body().path("baton").asLong();
      if (t >= token && sentSession == session) {
        boolean higher = t > token;
        token = t;
        leaseFrom = sent;
        r.body().path("orders").forEach(this::execute);
        if (higher) {
          reportSoon();
        }
      }
      next(jitter());
    } else {
      if (r.status() == 421 && world.nodes.containsKey(r.body().path("foreman").asText())) {
        node = List.copyOf(world.nodes.keySet()).indexOf(r.body().path("foreman").asText());
        next(Duration.ofMillis(200));
        return;
      }
      node = (node + 1) % world.nodes.size();
      next(Duration.ofSeconds(1));
    }
  }

  private Duration jitter() {
    return Duration.ofMillis(
        (long) (world.report.toMillis() * (0.75 + world.random.nextDouble() * 0.5)));
  }

  private void next(Duration delay) {
    long mine = ++timer;
    world.after(
        delay,
        () -> {
          if (mine == timer) {
            report();
          }
        });
  }

  private void reportSoon() {
    if (!reporting) {
      Instant soonest = lastReport.equals(Instant.MIN) ? world.now : lastReport.plusMillis(500);
      next(soonest.isAfter(world.now) ? Duration.between(world.now, soonest) : Duration.ZERO);
    } else {
      world.after(Duration.ofMillis(500), () -> alive(this::reportSoonIfIdle));
    }
  }

  private void reportSoonIfIdle() {
    if (!reporting) {
      reportSoon();
    }
  }

  void serve(String method, String path, JsonNode body, Consumer<Reply> answer) {
    alive(
        () -> {
          if (path.equals("/status")) {
            answer.accept(new Reply(200, body()));
            return;
          }
          long t = body.path("baton").asLong();
          if (t < token || body.path("stint").asLong() != session) {
            answer.accept(new Reply(409, body()));
            return;
          }
          boolean higher = t > token;
          token = t;
          body.path("orders").forEach(this::execute);
          answer.accept(new Reply(200, body()));
          if (higher) {
            reportSoon();
          }
        });
  }

  private void execute(JsonNode o) {
    TaskId task = SimUser.task(o.path("piece").asText());
    Key key = new Key(task, o.path("try").asLong());
    Task t = tasks.get(key);
    switch (o.path("verb").asText()) {
      case "run" -> {
        if (t == null) {
          run(key);
        }
      }
      case "kill" -> {
        if (t != null && !t.stage.equals("ended") && !ignoresKills) {
          kill(key, t, o.path("leewayS").asDouble());
        }
      }
      default -> {
        if (t != null && t.stage.equals("ended")) {
          tasks.remove(key);
        }
      }
    }
    reportSoon();
  }

  /**
   * A running task with checkpoints saves if it is given the time; a second kill may cut it off.
   */
  private void kill(Key key, Task t, double leeway) {
    JobSpec spec = world.submitted.get(key.task.job());
    if (t.started && t.stage.equals("running")) {
      world.disruptions.stopped(key.task);
    }
    boolean hasTime = leeway > 0 && leeway >= spec.checkpointDuration().toMillis() / 1000.0;
    if (spec.isGang()
        && t.stage.equals("running")
        && !spec.checkpointInterval().isZero()
        && hasTime) {
      world.gangs.told(key.task, key.attempt);
      return;
    }
    if (t.stage.equals("running") && !spec.checkpointInterval().isZero() && hasTime) {
      t.stage = "flushing";
      Duration ran = Duration.between(t.runsSince, world.now);
      world.after(
          spec.checkpointDuration(),
          () ->
              alive(
                  () -> {
                    if (tasks.get(key) == t && t.stage.equals("flushing")) {
                      world.savedProgress.merge(key.task, ran, Duration::plus);
                      end(key, t, "stopped");
                    }
                  }));
    } else if (!t.stage.equals("flushing") || leeway <= 0) {
      end(key, t, "stopped");
    }
  }

  private void run(Key key) {
    Task t = new Task();
    tasks.put(key, t);
    JobSpec spec = world.submitted.get(key.task.job());
    double used = 0;
    for (Map.Entry<Key, Task> e : tasks.entrySet()) {
      if (!e.getKey().equals(key) && !e.getValue().stage.equals("ended")) {
        if (e.getKey().task.equals(key.task)) {
          end(key, t, "busy");
          return;
        }
        used += world.submitted.get(e.getKey().task.job()).cpus();
      }
    }
    if (spec == null || used + spec.cpus() > type.cpus() + 1e-6) {
      end(key, t, spec == null ? "no_such" : "no_room");
      return;
    }
    Duration fetch =
        images.contains(spec.image()) ? Duration.ofMillis(10) : type.fetchTime(spec.imageGb());
    world.after(
        fetch,
        () ->
            alive(
                () -> {
                  if (tasks.get(key) != t || !t.stage.equals("fetching")) {
                    return;
                  }
                  images.add(spec.image());
                  if (completed(world).contains(key.task)) {
                    world.repeats++;
                    end(key, t, "done");
                    return;
                  }
                  t.started = true;
                  if (spec.isGang()) {
                    t.stage = "waiting";
                    world.taskStarts(this, key.task, key.attempt);
                    reportSoon();
                    if (faulty) {
                      world.after(
                          Duration.ofMillis(300), () -> alive(() -> endIfThere(key, t, "error")));
                    }
                    world.gangs.join(key.task, key.attempt, new GangMember(key, t));
                    return;
                  }
                  t.stage = "running";
                  t.runsSince = world.now;
                  world.taskStarts(this, key.task, key.attempt);
                  reportSoon();
                  if (faulty || world.users.get(spec.id()).mistake()) {
                    world.after(
                        Duration.ofMillis(300), () -> alive(() -> endIfRunning(key, t, "error")));
                  } else if (!spec.isService()) {
                    Duration whole = world.users.get(spec.id()).run(key.task);
                    Duration left = whole.minus(world.progressOf(key.task));
                    world.after(left, () -> alive(() -> endIfRunning(key, t, "done")));
                  }
                }));
  }

  private void endIfRunning(Key key, Task t, String cause) {
    if (tasks.get(key) == t && t.stage.equals("running")) {
      if (cause.equals("done")) {
        completed(world).add(key.task);
      }
      end(key, t, cause);
      cancelIfAllDone(key);
    }
  }

  private void endIfThere(Key key, Task t, String cause) {
    if (tasks.get(key) == t && !t.stage.equals("ended")) {
      end(key, t, cause);
    }
  }

  private void cancelIfAllDone(Key key) {
    String job = key.task.job();
    if (world.cancelledAtEnd.contains(job) && allDone(world, world.submitted.get(job))) {
      world.cancelledAtEnd.remove(job);
      world.users.get(job).cancel();
    }
  }

  private void end(Key key, Task t, String cause) {
    if (t.started) {
      world.taskGone(this, key.task, key.attempt);
      world.gangs.leave(key.task, key.attempt);
    }
    t.stage = "ended";
    t.cause = cause;
    reportSoon();
  }
}
