package io.pearscale.scheduler.autoscaling;

import io.pearscale.protocol.JobSpec;
import io.pearscale.protocol.Priority;
import io.pearscale.scheduler.autoscaling.Autoscaler.ClusterView;
import io.pearscale.scheduler.autoscaling.ScaleOutPlanner.Demand;
import io.pearscale.scheduler.model.EquivalenceClass;
import io.pearscale.scheduler.model.Job;
import io.pearscale.scheduler.model.JobClasses;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.Tuning;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/** Estimates the capacity that is needed for queued tasks and, as headroom, for expected tasks. */
final class DemandEstimator {
  /** Number of tasks of a class for which headroom is kept even if none of the class is running. */
  private static final int MIN_HEADROOM_TASKS = 2;

  private final Tuning tuning;
  private final JobClasses classes;

  DemandEstimator(Tuning tuning, JobClasses classes) {
    this.tuning = tuning;
    this.classes = classes;
  }

  /** Key for merging demands: tasks of the same equivalence class and zone form one demand. */
  private record DemandKey(EquivalenceClass equivalenceClass, Optional<String> zone) {}

  /** Collects demands in the order in which the first task of each is scheduled. */
  private static final class MergedDemands {
    private final Map<DemandKey, Demand> demands = new LinkedHashMap<>();

    void add(Job job, int tasks, Optional<String> zone) {
      demands.merge(
          new DemandKey(EquivalenceClass.of(job.spec()), zone),
          new Demand(job, tasks, zone),
          (a, b) -> new Demand(a.job(), a.tasks() + b.tasks(), zone));
    }

    List<Demand> toList() {
      return new ArrayList<>(demands.values());
    }
  }

  /** Returns the demand of queued tasks, limited by the quotas of their teams. */
  List<Demand> queuedDemands(ClusterView view, List<Machine> schedulable) {
    MergedDemands demands = new MergedDemands();
    for (Job job : view.queuedJobs()) {
      JobSpec spec = job.spec();
      // Tasks above the quota would stay pending even if machines were provisioned for them.
      int tasks = Math.min(job.pendingTasks(), view.quotaUsage().tasksLeftWithinLimit(spec));
      if (tasks == 0 || (spec.isGang() && tasks < job.pendingTasks())) {
        continue;
      }
      view.quotaUsage().charge(spec, tasks);
      if (spec.isGang() && spec.singleZone()) {
        addSingleZoneDemand(demands, job, tasks, schedulable);
      } else if (spec.spreadAcrossZones()) {
        addSpreadDemand(demands, job, tasks, view.zones());
      } else {
        demands.add(job, tasks, Optional.empty());
      }
    }
    return demands.toList();
  }

  /** Splits the demand between zones, because the job limits its tasks in each zone. */
  private static void addSpreadDemand(
      MergedDemands demands, Job job, int tasks, Set<String> zones) {
    int remainingTasks = tasks;
    for (String zone : zones) {
      int tasksInZone =
          Math.min(remainingTasks, job.spec().maxTasksPerZone() - job.attemptsInZone(zone));
      if (tasksInZone > 0) {
        demands.add(job, tasksInZone, Optional.of(zone));
        remainingTasks -= tasksInZone;
      }
    }
  }

  /** Adds the capacity that the zone with the most free slots lacks for all tasks of the gang. */
  private static void addSingleZoneDemand(
      MergedDemands demands, Job job, int tasks, List<Machine> schedulable) {
    JobSpec spec = job.spec();
    Map<String, Integer> slotsByZone = new TreeMap<>();
    for (Machine machine : schedulable) {
      if (spec.allows(machine.type(), machine.zone(), machine.spot())
          && job.hasNoAttemptsOutside(machine.zone())) {
        int slots = machine.availableWithPreemption(Priority.IDLE).countFitting(spec);
        slotsByZone.merge(machine.zone(), slots, Integer::sum);
      }
    }
    Optional<Map.Entry<String, Integer>> zoneWithMostSlots =
        slotsByZone.entrySet().stream().max(Map.Entry.comparingByValue());
    int missingTasks = tasks - zoneWithMostSlots.map(Map.Entry::getValue).orElse(0);
    if (missingTasks > 0) {
      demands.add(job, missingTasks, zoneWithMostSlots.map(Map.Entry::getKey).or(spec::zone));
    }
  }

  /** Returns the headroom for classes whose tasks can't wait until a new machine has booted. */
  Headroom headroom(ClusterView view, List<Machine> schedulable) {
    Map<String, Integer> running = new HashMap<>();
    for (Job job : view.jobs()) {
      if (classes.needsHeadroom(job.spec())) {
        running.merge(job.spec().jobClass(), job.attempts().size(), Integer::sum);
      }
    }
    Set<String> zones = view.zones();
    List<Headroom.Target> targets = new ArrayList<>();
    for (String jobClass : classes.classesNeedingHeadroom()) {
      Optional<Job> latestJob = classes.latestJob(jobClass);
      if (latestJob.isPresent()) {
        int share = (int) Math.ceil(tuning.headroomShare() * running.getOrDefault(jobClass, 0));
        int tasks = MIN_HEADROOM_TASKS + share;
        int tasksPerZone = (tasks + zones.size() - 1) / Math.max(1, zones.size());
        targets.add(new Headroom.Target(latestJob.get(), tasksPerZone));
      }
    }
    return new Headroom(targets, zones, schedulable);
  }
}
