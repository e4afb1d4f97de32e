package io.pearscale.drain;

import io.pearscale.drain.DisruptionBudget.Availability;
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
 * Counts disruptions against the disruption budgets. A disruption counts from the decision until
 * its task is observed running again or has finished. Involuntary disruptions, caused by lost
 * machines or preemption, also count, so that voluntary disruptions wait for them.
 */
public final class DisruptionLedger {
  /** Identifies the tasks of one team and job class. */
  public record Group(String team, String jobClass) {}

  private final List<DisruptionBudget> budgets;
  private final Map<TaskId, Disruption> openDisruptions = new LinkedHashMap<>();
  private Map<Group, Availability> availabilityByGroup = Map.of();
  private Optional<String> blockedReason = Optional.empty();

  /** Creates a ledger without open disruptions. */
  public DisruptionLedger(List<DisruptionBudget> budgets) {
    this.budgets = List.copyOf(budgets);
  }

  /**
   * Begins a term. The disruptions that previous leaders recorded count until their tasks run
   * again.
   */
  public void beginTerm(Collection<Disruption> recorded) {
    openDisruptions.clear();
    availabilityByGroup = Map.of();
    blockedReason = Optional.empty();
    recorded.forEach(disruption -> openDisruptions.put(disruption.task(), disruption));
  }

  /** Refuses all further disruptions in this term because recorded ones can't be read. */
  public void blockAll(String reason) {
    blockedReason = Optional.of(reason);
  }

  /** Returns the disruptions that count against the budgets. */
  public Collection<Disruption> openDisruptions() {
    return Collections.unmodifiableCollection(openDisruptions.values());
  }

  /** Returns whether a disruption of the task counts against the budgets. */
  public boolean isDisrupted(TaskId task) {
    return openDisruptions.containsKey(task);
  }

  /** Counts an involuntary disruption, which no budget can refuse. */
  public void recordInvoluntary(Disruption disruption) {
    openDisruptions.putIfAbsent(disruption.task(), disruption);
  }

  /** Closes the disruptions of all tasks that match, and returns these disruptions. */
  public List<Disruption> closeIf(Predicate<TaskId> isFinished) {
    List<Disruption> closed = new ArrayList<>();
    for (Disruption disruption : List.copyOf(openDisruptions.values())) {
      if (isFinished.test(disruption.task())) {
        openDisruptions.remove(disruption.task());
        closed.add(disruption);
      }
    }
    return closed;
  }

  /**
   * Replaces the availability of all groups.
   *
   * @param current availability by group; its unavailable tasks include all open disruptions
   */
  public void updateAvailability(Map<Group, Availability> current) {
    availabilityByGroup = new HashMap<>(current);
  }

  /** Returns the open disruption of the task, if any. */
  public Optional<Disruption> find(TaskId task) {
    return Optional.ofNullable(openDisruptions.get(task));
  }

  /**
   * Requests the disruption of a running task, and counts the disruption if it is granted.
   *
   * @return the reason for a refusal; empty if the disruption is granted
   */
  public Optional<String> trySpend(Disruption disruption) {
    return trySpend(List.of(disruption));
  }

  /**
   * Requests the disruption of several tasks of one job, and counts all the disruptions or none.
   *
   * @return the reason for a refusal; empty if all disruptions are granted
   */
  public Optional<String> trySpend(List<Disruption> disruptions) {
    if (blockedReason.isPresent()) {
      return blockedReason;
    }
    Disruption first = disruptions.get(0);
    Group group = new Group(first.team(), first.jobClass());
    Availability added = new Availability(0, 0, Duration.ZERO);
    for (Disruption disruption : disruptions) {
      added = added.plus(new Availability(0, 1, disruption.lostWork()));
    }
    List<DisruptionBudget> applicable = budgetsFor(group);
    if (applicable.isEmpty()) {
      return Optional.of("no budget covers " + group.team + " " + group.jobClass);
    }
    for (DisruptionBudget budget : applicable) {
      Optional<String> rejection = budget.rejectionReason(availabilityUnder(budget).plus(added));
      if (rejection.isPresent()) {
        return rejection;
      }
    }
    disruptions.forEach(disruption -> openDisruptions.put(disruption.task(), disruption));
    availabilityByGroup = new HashMap<>(availabilityByGroup);
    availabilityByGroup.merge(group, added, Availability::plus);
    return Optional.empty();
  }

  /** Returns the budgets that cover the group; the default budgets if no other budget does. */
  private List<DisruptionBudget> budgetsFor(Group group) {
    List<DisruptionBudget> teamBudgets = new ArrayList<>();
    List<DisruptionBudget> defaultBudgets = new ArrayList<>();
    for (DisruptionBudget budget : budgets) {
      if (budget.covers(group.team, group.jobClass)) {
        teamBudgets.add(budget);
      } else if (budget.isDefault()) {
        defaultBudgets.add(budget.forTeam(group.team));
      }
    }
    defaultBudgets.removeIf(budget -> !budget.covers(group.team, group.jobClass));
    return teamBudgets.isEmpty() ? defaultBudgets : teamBudgets;
  }

  /** Returns the combined availability of all tasks that the budget covers. */
  public Availability availabilityUnder(DisruptionBudget budget) {
    Availability sum = new Availability(0, 0, Duration.ZERO);
    for (Map.Entry<Group, Availability> entry : availabilityByGroup.entrySet()) {
      if (budget.covers(entry.getKey().team, entry.getKey().jobClass)) {
        sum = sum.plus(entry.getValue());
      }
    }
    return sum;
  }

  /** Returns all configured budgets. */
  public List<DisruptionBudget> budgets() {
    return budgets;
  }
}
