package io.pearscale.scheduler.autoscaling;

import io.pearscale.scheduler.model.JobClasses;
import io.pearscale.scheduler.model.Machine;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Capacity that is kept for a large job of each class of batch jobs with a service-level objective.
 * Counted once over all machines; releasing one only subtracts what it has.
 */
final class LargeJobCapacity {
  private final JobClasses classes;

  /** How many tasks of each class have room on machines that were not released. */
  private final Map<String, Integer> slots = new HashMap<>();

  /** How many tasks a large job of each class has. */
  private final Map<String, Integer> largeJobTasks = new HashMap<>();

  LargeJobCapacity(JobClasses classes, List<Machine> schedulable) {
    this.classes = classes;
    for (String jobClass : classes.classesWithKnownSizes()) {
      largeJobTasks.put(jobClass, classes.largeJobTasks(jobClass));
      for (Machine machine : schedulable) {
        slots.merge(jobClass, slotsOn(machine, jobClass), Integer::sum);
      }
    }
  }

  /** Whether a large job of each class that could use the machine has room without it. */
  boolean canRelease(Machine machine) {
    for (String jobClass : classes.classesWithKnownSizes()) {
      int lostSlots = slotsOn(machine, jobClass);
      if (lostSlots > 0 && slots.get(jobClass) - lostSlots < largeJobTasks.get(jobClass)) {
        return false;
      }
    }
    return true;
  }

  /** The machine is to be released. */
  void release(Machine machine) {
    for (String jobClass : classes.classesWithKnownSizes()) {
      slots.merge(jobClass, -slotsOn(machine, jobClass), Integer::sum);
    }
  }

  /** How many tasks like those of the class's latest job have room on the machine now. */
  private int slotsOn(Machine machine, String jobClass) {
    return classes
        .latestJob(jobClass)
        .filter(job -> job.spec().allows(machine.type(), machine.zone(), machine.spot()))
        .map(job -> machine.available().countFitting(job.spec()))
        .orElse(0);
  }
}
