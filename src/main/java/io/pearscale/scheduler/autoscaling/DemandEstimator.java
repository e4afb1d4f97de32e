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

/** Estimates for how many tasks capacity is needed: queued ones, and ones expected to come. */
final class DemandEstimator {
  /** Tasks of a class for which headroom is kept although none of the class runs. */
  private static final int MIN_HEADROOM_TASKS = 2;

  private final Tuning tuning;
  private final JobClasses classes;

  DemandEstimator(Tuning tuning, JobClasses classes) {
    this.tuning = tuning;
    this.classes = classes;
  }

  /** What demands are merged by: equivalent tasks are asked for as one. */
  private record DemandKey(EquivalenceClass equivalenceClass, Optional<String> zone) {}

  /**
   * Demands that are being collected, in the order in which the first task of each is scheduled.
   */
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

  /** The demand of queued tasks, as far as their teams' quotas let them run. */
  List<Demand> queuedDemands(ClusterView view, List<Machine> schedulable) {
    MergedDemands demands = new MergedDemands();
    for (Job job : view.waiting()) {
      JobSpec spec = job.spec();
      // What the quota keeps pending would be pending on provisioned machines as well.
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

  /** Each zone may take its part only. */
  private static void addSpreadDemand(
      MergedDemands demands, Job job, int tasks, Set<String> zones) {
    int left = tasks;
    for (String zone : zones) {
      int inZone = Math.min(left, job.spec().maxTasksPerZone() - job.attemptsInZone(zone));
      if (inZone > 0) {
        demands.add(job, inZone, Optional.of(zone));
        left -= inZone;
      }
    }
  }

  /** What a gang lacks in the zone that lacks least, so that all of its tasks fit there. */
  private static void addSingleZoneDemand(
      MergedDemands demands, Job job, int tasks, List<Machine> schedulable) {
    JobSpec spec = job.spec();
    Map<String, Integer> slotsByZone = new TreeMap<>();
    for (Machine machine : schedulable) {
      if (spec.allows(machine.type(), machine.zone(), machine.spot())
          && job.isOnlyInZone(machine.zone())) {
        int slots = machine.availableWithPreemption(Priority.IDLE).countFitting(spec);
        slotsByZone.merge(machine.zone(), slots, Integer::sum);
      }
    }
    Optional<Map.Entry<String, Integer>> most =
        slotsByZone.entrySet().stream().max(Map.Entry.comparingByValue());
    int lacking = tasks - most.map(Map.Entry::getValue).orElse(0);
    if (lacking > 0) {
      demands.add(job, lacking, most.map(Map.Entry::getKey).or(spec::zone));
    }
  }

  /** The headroom to keep for classes whose tasks could not wait for a machine to boot. */
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
      Optional<Job> latest = classes.latestJob(jobClass);
      if (latest.isPresent()) {
        int share = (int) Math.ceil(tuning.headroomShare() * running.getOrDefault(jobClass, 0));
        int tasks = MIN_HEADROOM_TASKS + share;
        int tasksPerZone = (tasks + zones.size() - 1) / Math.max(1, zones.size());
        targets.add(new Headroom.Target(latest.get(), tasksPerZone));
      }
    }
    return new Headroom(targets, zones, schedulable);
  }
}
