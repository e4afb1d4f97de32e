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

/** Available resources of machines and quota usage of teams, including a pass's reservations. */
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

  /** Returns whether this pass has selected the attempt to be preempted. */
  boolean isVictim(TaskAttempt attempt) {
    return victims.contains(attempt);
  }

  /** Frees the capacity of the victims and reserves capacity for the task. */
  void reserve(Job job, Assignment assignment) {
    Resources available = availableOn(assignment.machine());
    assignment.victims().forEach(victim -> available.add(victim.job().spec()));
    victims.addAll(assignment.victims());
    available.subtract(job.spec());
    quotaUsage.charge(job.spec(), 1);
  }

  /** Releases what was reserved for a task. */
  void release(Job job, Assignment assignment) {
    Resources available = availableOn(assignment.machine());
    assignment.victims().forEach(victim -> available.subtract(victim.job().spec()));
    victims.removeAll(assignment.victims());
    available.add(job.spec());
    quotaUsage.charge(job.spec(), -1);
  }
}
