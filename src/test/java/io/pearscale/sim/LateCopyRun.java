package io.pearscale.sim;

import com.fasterxml.jackson.databind.JsonNode;
import io.pearscale.protocol.TaskId;
import io.pearscale.scheduler.model.Leadership;
import io.pearscale.sim.LateCopyCase.Arrival;
import io.pearscale.sim.LateCopyCase.ForgottenBy;
import io.pearscale.sim.LateCopyCase.Guard;
import io.pearscale.sim.LateCopyCase.JobState;
import io.pearscale.sim.LateCopyCase.Outcome;
import io.pearscale.sim.LateCopyCase.Restart;
import java.time.Duration;
import java.util.List;
import java.util.function.BooleanSupplier;

/** Plays one row of the table of late copies in a simulated cluster of two machines. */
final class LateCopyRun {
  private static final Duration STEP = Duration.ofMillis(1);
  private static final Duration PATIENCE = Duration.ofSeconds(60);
  private static final Duration BACK_WITHIN = Duration.ofMillis(400);
  private static final Duration AWAY = Duration.ofSeconds(5);
  private static final Duration STARTUP = Duration.ofSeconds(4);

  /** How long the invariants are checked after the copy: longer than the cancel timeout. */
  private static final Duration AFTERMATH = Duration.ofSeconds(45);

  private static final TaskId TASK = new TaskId("wk-1", 0);

  private final LateCopyCase row;
  private final Scenario scenario;
  private final SimulatedCluster cluster;
  private SimAgent agent;
  private JsonNode start;
  private long attempt;

  LateCopyRun(LateCopyCase row, long seed) {
    this.row = row;
    this.scenario =
        Scenario.of(
            """
            nodes 3
            zones a b
            type small cpus=8 mem=64
            machines small a ordinary 1
            machines small b ordinary 1
            team t
            keep-command-copies
            """,
            seed);
    this.cluster = scenario.cluster();
  }

  /** The result: what protected the task from the copy, and the violated invariants. */
  record Result(Guard guard, List<String> violations) {}

  /** Plays the row. */
  Result play() {
    scenario.begin();
    advance(STARTUP);
    startAttempt();
    boolean cutOff = row.forgottenBy() == ForgottenBy.NEXT_LEADER;
    bringAbout(cutOff);
    if (row.forgottenBy() == ForgottenBy.THIS_LEADER) {
      await("the agent has forgotten the attempt", this::isOverForThisLeader);
    } else if (row.forgottenBy() == ForgottenBy.INCARNATION_END
        && row.restart() == Restart.CONTROLLER) {
      agent.reboot();
      advance(Duration.ofSeconds(2));
    }
    if (row.jobState() == JobState.CANCELLED) {
      cluster.users.get(TASK.job()).cancel();
      await("the user is told", () -> cluster.users.get(TASK.job()).cancelledAt != null);
      if (!cutOff) {
        advance(cluster.cancelTimeout.plusSeconds(1));
      }
    }
    restart(cutOff);
    Guard guard = guardAgainstCopy();
    agent.handleRequest("POST", "/do", start, reply -> {});
    advance(AFTERMATH);
    return new Result(guard, cluster.violations);
  }

  // ---- The attempt and its outcome ----

  private void startAttempt() {
    switch (row.outcome()) {
      case COMPLETED ->
          // The other task, on the other machine, keeps the job unfinished.
          act("submit wk-1 batch tasks=2 cpus=6 run=2 run-increment=300");
      case FAILED -> act("submit wk-1 batch tasks=1 cpus=4 run=300 always-fails");
      default -> {
        if (row.outcome() == Outcome.STOPPED) {
          act("submit wk-8 service tasks=1 cpus=8");
          await("the other machine is full", () -> isRunning("wk-8"));
        }
        act("submit wk-1 batch tasks=1 cpus=4 run=300 priority=idle");
      }
    }
    if (row.outcome() == Outcome.REFUSED) {
      cluster.agents.values().forEach(each -> each.refusesNextStart = true);
    }
    if (row.outcome() == Outcome.NEVER_LISTED) {
      cluster.network.lateCommands.holdNextStart(TASK);
    }
    await("a start was sent", () -> cluster.network.lateCommands.startOf(TASK).isPresent());
    LateCommands.Start sent = cluster.network.lateCommands.startOf(TASK).orElseThrow();
    agent = cluster.agents.get(sent.machine());
    start = sent.request();
    attempt = sent.attempt();
    cluster.agents.values().stream()
        .filter(other -> other != agent)
        .forEach(other -> other.refusesNextStart = false);
  }

  /**
   * Brings the outcome about.
   *
   * @param cutOff whether to cut the machine off from all controllers as the attempt ends, so that
   *     no command to forget it arrives
   */
  private void bringAbout(boolean cutOff) {
    switch (row.outcome()) {
      case COMPLETED, FAILED -> {
        await("the task runs", () -> agent.hasStarted(TASK, attempt));
        cutOffIf(cutOff);
        await("the task has ended", () -> agent.hasEnded(TASK, attempt));
      }
      case REFUSED -> {
        await("the start is refused", () -> agent.hasEnded(TASK, attempt));
        cutOffIf(cutOff);
        await("the task runs elsewhere", () -> isRunning(TASK.job()));
      }
      case STOPPED, MOVED -> {
        await("the task runs", () -> agent.hasStarted(TASK, attempt));
        preempt();
        await("the task has ended", () -> agent.hasEnded(TASK, attempt));
        cutOffIf(cutOff);
        if (row.outcome() == Outcome.MOVED) {
          await("the task runs elsewhere", () -> isRunning(TASK.job()));
        }
      }
      case NEVER_LISTED -> {
        cutOffIf(cutOff);
        preempt();
      }
      default -> {
        await("the task runs", () -> agent.hasStarted(TASK, attempt));
        advance(Duration.ofSeconds(1));
        agent.loseTasks();
        cutOffIf(cutOff);
      }
    }
  }

  /** Submits a service that needs all of the task's machine. */
  private void preempt() {
    act("submit wk-9 service tasks=1 cpus=8 zone=" + agent.zone);
  }

  private void cutOffIf(boolean cutOff) {
    if (cutOff) {
      act("cut " + agent.name + " all");
    }
  }

  /** Returns whether the leader that started the attempt takes it for gone. */
  private boolean isOverForThisLeader() {
    boolean startedAgain = isRunning(TASK.job());
    return !agent.lists(TASK, attempt) && (startedAgain || !row.isUnlisted());
  }

  // ---- Restarts and the copy ----

  private void restart(boolean cutOff) {
    if (row.leaderChanges()) {
      String leader = cluster.store.leader().orElseThrow();
      cluster.controllers.get(leader).crash();
      Duration away = row.restart() == Restart.MACHINE ? AWAY : BACK_WITHIN;
      cluster.after(away, () -> cluster.controllers.get(leader).start());
    }
    boolean machineRestarts = row.restart() != Restart.CONTROLLER;
    if (machineRestarts && row.forgottenBy() == ForgottenBy.INCARNATION_END) {
      agent.reboot();
    } else if (machineRestarts) {
      agent.hang();
      advance(BACK_WITHIN);
      agent.resume();
    } else {
      advance(BACK_WITHIN);
    }
    long responses = agent.acceptedResponses();
    if (cutOff) {
      act("heal " + agent.name + " all");
    }
    if (row.arrival() == Arrival.AFTER_NEW_TOKEN) {
      await("the agent has a new token", () -> hasNewToken(responses));
    }
  }

  private boolean hasNewToken(long responsesBefore) {
    return row.leaderChanges()
        ? Leadership.termOf(agent.fencingToken()) > startTerm()
        : agent.acceptedResponses() > responsesBefore;
  }

  private long startTerm() {
    return Leadership.termOf(start.path("baton").asLong());
  }

  /** Returns what protects the task from the copy, in the order in which the agent checks. */
  private Guard guardAgainstCopy() {
    if (start.path("stint").asLong() != agent.incarnation()) {
      return Guard.LATER_INCARNATION;
    }
    if (start.path("baton").asLong() < agent.fencingToken()) {
      return Leadership.termOf(agent.fencingToken()) > startTerm()
          ? Guard.TOKEN_OF_NEXT_TERM
          : Guard.TOKEN_OF_THIS_TERM;
    }
    if (agent.lists(TASK, attempt)) {
      return Guard.STILL_LISTED;
    }
    boolean counted =
        row.forgottenBy() == ForgottenBy.NEXT_LEADER && row.isUnlisted() && !isRunning(TASK.job());
    return counted ? Guard.STILL_COUNTED : Guard.NONE;
  }

  // ---- Simulation ----

  private void act(String action) {
    scenario.performAction(List.of(action.split(" ")));
  }

  private boolean isRunning(String job) {
    return cluster.runningTasks.stream().anyMatch(task -> task.task().job().equals(job));
  }

  private void advance(Duration time) {
    cluster.runUntil(cluster.elapsed().plus(time));
  }

  private void await(String what, BooleanSupplier condition) {
    Duration deadline = cluster.elapsed().plus(PATIENCE);
    while (!condition.getAsBoolean()) {
      if (cluster.elapsed().compareTo(deadline) > 0) {
        throw new AssertionError(
            row.title() + ": not seen: " + what + "\n" + String.join("\n", cluster.log));
      }
      advance(STEP);
    }
  }
}
