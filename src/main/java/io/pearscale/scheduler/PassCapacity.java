package io.pearscale.scheduler;

import io.pearscale.scheduler.Machine.Resources;
import io.pearscale.scheduler.Placer.Choice;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** The room of machines, and what teams have in use, after all that was booked in a pass. */
final class PassCapacity {
  private final QuotaUsage use;
  private final Map<Machine, Resources> rooms = new HashMap<>();
  private final Set<TaskAttempt> victims = new HashSet<>();

  PassCapacity(QuotaUsage use) {
    this.use = use;
  }

  Resources of(Machine machine) {
    return rooms.computeIfAbsent(machine, Machine::available);
  }

  QuotaUsage use() {
    return use;
  }

  /** Whether the pass has chosen the task to leave. */
  boolean isVictim(TaskAttempt attempt) {
    return victims.contains(attempt);
  }

  /** Books a task's room, after that of its victims has become free. */
  void book(Job job, Choice choice) {
    Resources room = of(choice.machine());
    choice.victims().forEach(victim -> room.add(victim.job));
    victims.addAll(choice.victims());
    room.subtract(job);
    use.charge(job.spec, 1);
  }

  /** Takes back what was booked for a task. */
  void release(Job job, Choice choice) {
    Resources room = of(choice.machine());
    choice.victims().forEach(victim -> room.subtract(victim.job));
    victims.removeAll(choice.victims());
    room.add(job);
    use.charge(job.spec, -1);
  }
}
