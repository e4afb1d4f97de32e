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
 * Checks budgets of disruptions against what workers did, without a look at any ledger. It knows
 * only of tasks that began, were stopped by command, or went away otherwise, and of which jobs are
 * over. For days on which nothing is evicted and no machine is taken with notice: then a stop of
 * work that goes on is voluntary.
 */
final class DisruptionBudgetChecker {
  /** What was lost for so long must be known to whoever stops more, silent as it is since. */
  private static final Duration GRACE = Duration.ofSeconds(6);

  private final SimulatedCluster world;
  private final List<DisruptionBudget> budgets = new ArrayList<>();
  private final Set<TaskId> stopped = new LinkedHashSet<>();
  private final Map<TaskId, Instant> downSince = new HashMap<>();
  private int stops;
  private int mostDown;

  DisruptionBudgetChecker(SimulatedCluster cluster) {
    this.world = cluster;
  }

  void add(DisruptionBudget budget) {
    budgets.add(budget);
  }

  /** How many tasks were stopped by choice. */
  int stops() {
    return stops;
  }

  /** How many were down at once by choice, at the most. */
  int mostDown() {
    return mostDown;
  }

  void started(TaskId task) {
    stopped.remove(task);
    downSince.remove(task);
  }

  void gone(TaskId task) {
    downSince.putIfAbsent(task, world.now);
  }

  /** A command has told a worker to stop the task, which runs there. */
  void stopped(TaskId task) {
    if (budgets.isEmpty() || isOver(task)) {
      return;
    }
    stops++;
    stopped.add(task);
    mostDown = Math.max(mostDown, (int) stopped.stream().filter(t -> !isOver(t)).count());
    for (DisruptionBudget budget : budgets) {
      if (covers(budget, task)) {
        check(budget, task);
      }
    }
  }

  private void check(DisruptionBudget budget, TaskId last) {
    int voluntary = 0;
    int total = 0;
    for (TaskId task : stopped) {
      voluntary += covers(budget, task) && !isOver(task) ? 1 : 0;
    }
    int lost = 0;
    for (Map.Entry<TaskId, Instant> down : downSince.entrySet()) {
      TaskId task = down.getKey();
      boolean old = down.getValue().plus(GRACE).isBefore(world.now);
      lost += old && !stopped.contains(task) && covers(budget, task) && !isOver(task) ? 1 : 0;
    }
    for (SimUser user : world.users.values()) {
      boolean counts = user.spec.isService() && user.accepted && user.cancelledAt == null;
      total += counts && covers(budget, user.spec) ? user.spec.tasks() : 0;
    }
    int down = voluntary + lost;
    boolean kept =
        switch (budget.kind()) {
          case MAX_UNAVAILABLE -> down <= budget.amount();
          case MAX_UNAVAILABLE_SHARE -> down <= budget.amount() * total;
          case MIN_AVAILABLE -> total - down >= budget.amount();
          case MAX_LOST_WORK_SECONDS -> true;
        };
    if (!kept) {
      world.reportViolation(
          "over_budget",
          "%s: %s stopped, %d by choice, %d lost".formatted(budget, last, voluntary, lost));
    }
  }

  private boolean covers(DisruptionBudget budget, TaskId task) {
    return covers(budget, world.submitted.get(task.job()));
  }

  private static boolean covers(DisruptionBudget budget, JobSpec spec) {
    boolean team =
        budget.team().equals(DisruptionBudget.ANY_TEAM) || budget.team().equals(spec.team());
    return team && budget.jobClass().map(spec.jobClass()::equals).orElse(true);
  }

  private boolean isOver(TaskId task) {
    SimUser user = world.users.get(task.job());
    return user == null || user.cancelAsked() || SimAgent.completed(world).contains(task);
  }
}
