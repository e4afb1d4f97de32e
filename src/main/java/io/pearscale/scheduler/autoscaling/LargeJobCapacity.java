package io.pearscale.scheduler.autoscaling;

import io.pearscale.scheduler.model.JobClasses;
import io.pearscale.scheduler.model.Machine;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Keeps capacity for one large job of each class of batch jobs with a service-level objective. The
 * slots, which are the tasks that fit, are counted once for all machines; releasing a machine only
 * subtracts its slots.
 */
final class LargeJobCapacity {
  private final JobClasses classes;

  /** Number of tasks of each class that fit on the machines that were not released. */
  private final Map<String, Integer> slots = new HashMap<>();

  /** Number of tasks of a large job, by class. */
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

  /** Returns whether a large job of each class still fits if the machine is released. */
  boolean canRelease(Machine machine) {
    for (String jobClass : classes.classesWithKnownSizes()) {
      int lostSlots = slotsOn(machine, jobClass);
      if (lostSlots > 0 && slots.get(jobClass) - lostSlots < largeJobTasks.get(jobClass)) {
        return false;
      }
    }
    return true;
  }

  /** Subtracts the slots of a machine that is to be released. */
  void release(Machine machine) {
    for (String jobClass : classes.classesWithKnownSizes()) {
      slots.merge(jobClass, -slotsOn(machine, jobClass), Integer::sum);
    }
  }

  /** Returns how many tasks of the class's latest job fit on the machine now. */
  private int slotsOn(Machine machine, String jobClass) {
    return classes
        .latestJob(jobClass)
        .filter(job -> job.spec().allows(machine.type(), machine.zone(), machine.spot()))
        .map(job -> machine.available().countFitting(job.spec()))
        .orElse(0);
  }
}
