package io.pearscale.scheduler.placement;

import io.pearscale.scheduler.model.Job;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.QuotaUsage;
import io.pearscale.scheduler.model.Resources;
import io.pearscale.scheduler.model.TaskAttempt;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** The capacity of machines, and what teams have in use, after all that was reserved in a pass. */
final class PassCapacity {
  private final QuotaUsage quotaUsage;
  private final Map<Machine, Resources> availableByMachine = new HashMap<>();
  private final Set<TaskAttempt> victims = new HashSet<>();

  PassCapacity(QuotaUsage quotaUsage) {
    this.quotaUsage = quotaUsage;
  }

  Resources availableOn(Machine machine) {
    return availableByMachine.computeIfAbsent(machine, Machine::available);
  }

  QuotaUsage quotaUsage() {
    return quotaUsage;
  }

  /** Whether the pass has chosen the task to leave. */
  boolean isVictim(TaskAttempt attempt) {
    return victims.contains(attempt);
  }

  /** Reserves a task's capacity, after that of its victims has become free. */
  void reserve(Job job, Assignment assignment) {
    Resources available = availableOn(assignment.machine());
    assignment.victims().forEach(victim -> available.add(victim.job().spec()));
    victims.addAll(assignment.victims());
    available.subtract(job.spec());
    quotaUsage.charge(job.spec(), 1);
  }

  /** Takes back what was reserved for a task. */
  void release(Job job, Assignment assignment) {
    Resources available = availableOn(assignment.machine());
    assignment.victims().forEach(victim -> available.subtract(victim.job().spec()));
    victims.removeAll(assignment.victims());
    available.add(job.spec());
    quotaUsage.charge(job.spec(), -1);
  }
}
