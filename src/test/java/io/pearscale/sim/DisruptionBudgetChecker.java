package io.pearscale.sim;

import io.pearscale.drain.DisruptionBudget;
import io.pearscale.protocol.JobSpec;
import io.pearscale.protocol.TaskId;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks disruption budgets against what agents did, independently of the controllers' disruption
 * ledger. It sees only tasks that started, were stopped by a command or were lost, and which jobs
 * have finished. Use it in scenarios without evictions and without preemption notices: there every
 * stop of a task of an unfinished job is voluntary.
 */
final class DisruptionBudgetChecker {
  /**
   * A leader must know of a loss after this time, by missed heartbeats if nothing else, and count
   * it against the budget before it stops more tasks.
   */
  private static final Duration DETECTION_GRACE = Duration.ofSeconds(6);

  private final SimulatedCluster cluster;
  private final List<DisruptionBudget> budgets = new ArrayList<>();
  private final Set<TaskId> stoppedTasks = new LinkedHashSet<>();
  private final Map<TaskId, Instant> downSince = new HashMap<>();
  private int voluntaryStops;
  private int maxConcurrentlyStopped;

  DisruptionBudgetChecker(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  void add(DisruptionBudget budget) {
    budgets.add(budget);
  }

  /** Returns how many tasks were stopped voluntarily. */
  int voluntaryStops() {
    return voluntaryStops;
  }

  /** Returns the maximum number of tasks that were voluntarily stopped at the same time. */
  int maxConcurrentlyStopped() {
    return maxConcurrentlyStopped;
  }

  void taskStarted(TaskId task) {
    stoppedTasks.remove(task);
    downSince.remove(task);
  }

  void taskGone(TaskId task) {
    downSince.putIfAbsent(task, cluster.now);
  }

  /** Records that a command stopped a task that was running on its agent. */
  void taskStopped(TaskId task) {
    if (budgets.isEmpty() || isFinished(task)) {
      return;
    }
    voluntaryStops++;
    stoppedTasks.add(task);
    maxConcurrentlyStopped =
        Math.max(
            maxConcurrentlyStopped,
            (int) stoppedTasks.stream().filter(t -> !isFinished(t)).count());
    for (DisruptionBudget budget : budgets) {
      if (covers(budget, task)) {
        checkBudget(budget, task);
      }
    }
  }

  private void checkBudget(DisruptionBudget budget, TaskId stoppedTask) {
    int voluntary = 0;
    int total = 0;
    for (TaskId task : stoppedTasks) {
      voluntary += covers(budget, task) && !isFinished(task) ? 1 : 0;
    }
    int lost = 0;
    for (Map.Entry<TaskId, Instant> down : downSince.entrySet()) {
      TaskId task = down.getKey();
      boolean detectable = down.getValue().plus(DETECTION_GRACE).isBefore(cluster.now);
      lost +=
          detectable && !stoppedTasks.contains(task) && covers(budget, task) && !isFinished(task)
              ? 1
              : 0;
    }
    for (SimUser user : cluster.users.values()) {
      boolean active = user.spec.isService() && user.accepted && user.cancelledAt == null;
      total += active && covers(budget, user.spec) ? user.spec.tasks() : 0;
    }
    int down = voluntary + lost;
    boolean withinBudget =
        switch (budget.kind()) {
          case MAX_UNAVAILABLE -> down <= budget.amount();
          case MAX_UNAVAILABLE_SHARE -> down <= budget.amount() * total;
          case MIN_AVAILABLE -> total - down >= budget.amount();
          case MAX_LOST_WORK_SECONDS -> true;
        };
    if (!withinBudget) {
      cluster.reportViolation(
          "over_budget",
          "%s: exceeded by the stop of %s, with %d voluntarily stopped and %d lost"
              .formatted(budget, stoppedTask, voluntary, lost));
    }
  }

  private boolean covers(DisruptionBudget budget, TaskId task) {
    return covers(budget, cluster.submitted.get(task.job()));
  }

  private static boolean covers(DisruptionBudget budget, JobSpec spec) {
    boolean coversTeam =
        budget.team().equals(DisruptionBudget.ANY_TEAM) || budget.team().equals(spec.team());
    return coversTeam && budget.jobClass().map(spec.jobClass()::equals).orElse(true);
  }

  private boolean isFinished(TaskId task) {
    SimUser user = cluster.users.get(task.job());
    return user == null || user.cancelRequested() || SimAgent.completed(cluster).contains(task);
  }
}
