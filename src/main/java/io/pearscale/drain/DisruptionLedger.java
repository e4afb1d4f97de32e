package io.pearscale.drain;

import io.pearscale.drain.DisruptionBudget.Load;
import io.pearscale.protocol.TaskId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Counts what is disrupted against the budgets. A disruption counts from the decision on, until its
 * task is seen running again or is over; what machines or higher work took counts as well, so that
 * what is our choice waits for it.
 */
public final class DisruptionLedger {
  /** The tasks of a team and class. */
  public record Group(String team, String jobClass) {}

  private final List<DisruptionBudget> budgets;
  private final Map<TaskId, Disruption> open = new LinkedHashMap<>();
  private Map<Group, Load> loads = Map.of();
  private Optional<String> unknown = Optional.empty();

  /** A ledger that knows of no disruptions. */
  public DisruptionLedger(List<DisruptionBudget> budgets) {
    this.budgets = List.copyOf(budgets);
  }

  /** A term begins: what a predecessor has recorded counts as spent until shown otherwise. */
  public void begin(Collection<Disruption> recorded) {
    open.clear();
    loads = Map.of();
    unknown = Optional.empty();
    recorded.forEach(d -> open.put(d.task(), d));
  }

  /** What was spent can't be read: nothing more may be. */
  public void spentIsUnknown(String reason) {
    unknown = Optional.of(reason);
  }

  /** Disruptions that count. */
  public Collection<Disruption> open() {
    return Collections.unmodifiableCollection(open.values());
  }

  /** Whether the task counts as disrupted. */
  public boolean isOpen(TaskId task) {
    return open.containsKey(task);
  }

  /** Counts a disruption that nobody asked the budgets for. */
  public void note(Disruption disruption) {
    open.putIfAbsent(disruption.task(), disruption);
  }

  /** Ends those of tasks that run again or are over, and returns them. */
  public List<Disruption> close(Predicate<TaskId> isOver) {
    List<Disruption> closed = new ArrayList<>();
    for (Disruption d : List.copyOf(open.values())) {
      if (isOver.test(d.task())) {
        open.remove(d.task());
        closed.add(d);
      }
    }
    return closed;
  }

  /**
   * What the groups are like now.
   *
   * @param current what is down includes all that is open here
   */
  public void update(Map<Group, Load> current) {
    loads = new HashMap<>(current);
  }

  /** How the task is disrupted; empty if it is not. */
  public Optional<Disruption> find(TaskId task) {
    return Optional.ofNullable(open.get(task));
  }

  /**
   * Asks for a disruption of a task that runs, and counts it if it is granted.
   *
   * @return why it is refused; empty if it is granted
   */
  public Optional<String> spend(Disruption disruption) {
    return spend(List.of(disruption));
  }

  /**
   * Asks for the disruption of several tasks of one job, and counts all of them or none.
   *
   * @return why they are refused; empty if they are granted
   */
  public Optional<String> spend(List<Disruption> together) {
    if (unknown.isPresent()) {
      return unknown;
    }
    Disruption any = together.get(0);
    Group group = new Group(any.team(), any.jobClass());
    Load added = new Load(0, 0, Duration.ZERO);
    for (Disruption disruption : together) {
      added = added.plus(new Load(0, 1, disruption.lost()));
    }
    List<DisruptionBudget> covering = budgetsFor(group);
    if (covering.isEmpty()) {
      return Optional.of("no budget covers " + group.team + " " + group.jobClass);
    }
    for (DisruptionBudget budget : covering) {
      Optional<String> objection = budget.objection(load(budget).plus(added));
      if (objection.isPresent()) {
        return objection;
      }
    }
    together.forEach(disruption -> open.put(disruption.task(), disruption));
    loads = new HashMap<>(loads);
    loads.merge(group, added, Load::plus);
    return Optional.empty();
  }

  /** The budgets for a group; the defaults where it has none of its own. */
  private List<DisruptionBudget> budgetsFor(Group group) {
    List<DisruptionBudget> own = new ArrayList<>();
    List<DisruptionBudget> defaults = new ArrayList<>();
    for (DisruptionBudget budget : budgets) {
      if (budget.covers(group.team, group.jobClass)) {
        own.add(budget);
      } else if (budget.isDefault()) {
        defaults.add(budget.forTeam(group.team));
      }
    }
    defaults.removeIf(budget -> !budget.covers(group.team, group.jobClass));
    return own.isEmpty() ? defaults : own;
  }

  /** What the tasks are like that a budget covers. */
  public Load load(DisruptionBudget budget) {
    Load sum = new Load(0, 0, Duration.ZERO);
    for (Map.Entry<Group, Load> entry : loads.entrySet()) {
      if (budget.covers(entry.getKey().team, entry.getKey().jobClass)) {
        sum = sum.plus(entry.getValue());
      }
    }
    return sum;
  }

  /** All budgets. */
  public List<DisruptionBudget> budgets() {
    return budgets;
  }
}
