package io.pearscale.scheduler.autoscaling;

import io.pearscale.protocol.MachineType;
import io.pearscale.protocol.Priority;
import io.pearscale.scheduler.autoscaling.ScaleOutPlanner.Offering;
import io.pearscale.scheduler.model.EquivalenceClass;
import io.pearscale.scheduler.model.Job;
import io.pearscale.scheduler.model.JobClasses;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.Machine.Lifecycle;
import io.pearscale.scheduler.model.QuotaUsage;
import io.pearscale.scheduler.model.TaskAttempt;
import io.pearscale.scheduler.model.Tuning;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Decides what to rent, which machines to empty and which to give back, from what waits, runs and
 * is on its way. It only says what to do; the leader does it.
 */
public final class Autoscaler {
  private static final Duration RELOCATION_INTERVAL = Duration.ofSeconds(3);

  /** Shares of room to keep are meant for a fleet of so many machines. */
  private static final int REFERENCE_FLEET_SIZE = 40;

  /**
   * What the leader knows.
   *
   * @param schedulable which machines may take tasks now
   * @param waiting jobs with tasks that wait, in the order in which they are decided
   * @param quotaUsage what each team has in use
   * @param unreachableZones zones of which nothing is heard: what is rented there is of no use by
   *     now
   * @param drainReplacements room that drains lack
   * @param mayScaleIn whether it is known where all tasks are, and can be written what is decided
   */
  record ClusterView(
      Collection<Machine> machines,
      Predicate<Machine> schedulable,
      Collection<Job> jobs,
      List<Job> waiting,
      QuotaUsage quotaUsage,
      Collection<MachineType> types,
      Set<String> unreachableZones,
      List<ScaleOutPlanner.Demand> drainReplacements,
      boolean mayScaleIn) {}

  /** What is to be done: rented, given back, and moved off machines that are to be empty. */
  record ScalingPlan(
      Map<Offering, Integer> scaleOut, List<Machine> scaleIn, List<TaskAttempt> relocations) {}

  private final Tuning tuning;
  private final JobClasses classes;
  private ScaleOutPlanner scaleOutPlanner;
  private Instant nextRelocations = Instant.MIN;
  private int relocationsLeft;

  /** Creates an autoscaler that remembers nothing of an earlier term. */
  public Autoscaler(Tuning tuning, JobClasses classes) {
    this.tuning = tuning;
    this.classes = classes;
    this.scaleOutPlanner = new ScaleOutPlanner(tuning);
  }

  /** Begins a term: what was asked for under another is not ours. */
  void begin() {
    scaleOutPlanner = new ScaleOutPlanner(tuning);
  }

  /** Is to be told of what the cloud grants and refuses. */
  ScaleOutPlanner scaleOutPlanner() {
    return scaleOutPlanner;
  }

  /** What to do now. */
  ScalingPlan plan(ClusterView view, Instant now) {
    List<Machine> booting = new ArrayList<>();
    List<Machine> schedulable = new ArrayList<>();
    for (Machine machine : view.machines) {
      if (machine.lifecycle() == Lifecycle.BOOTING
          && now.isBefore(
              machine.provisionedAt().plus(ScaleOutPlanner.bootTimeout(machine.type())))) {
        booting.add(machine);
      } else if (view.schedulable.test(machine)) {
        schedulable.add(machine);
      }
    }
    Headroom headroom = headroom(view, schedulable);
    List<ScaleOutPlanner.Demand> demands = demands(view, schedulable);
    demands.addAll(headroom.demands());
    demands.addAll(view.drainReplacements);
    Map<Offering, Integer> scaleOut =
        scaleOutPlanner.plan(
            demands, booting, view.types, view.unreachableZones, view.machines.size(), now);
    // Until the cloud has answered, a kind is not asked for again.
    scaleOut.forEach((kind, n) -> scaleOutPlanner.noteRequested(kind, n, now));
    ScalingPlan plan = new ScalingPlan(scaleOut, new ArrayList<>(), new ArrayList<>());
    if (view.mayScaleIn) {
      // Some tasks wait at any moment for the next pass; what counts is whether it finds room.
      planScaleIn(
          schedulable,
          view.waiting.stream().anyMatch(job -> job.isUnschedulable()),
          headroom,
          plan,
          now);
    }
    return plan;
  }

  /** What waits for room. */
  private List<ScaleOutPlanner.Demand> demands(ClusterView view, List<Machine> schedulable) {
    // Like tasks are asked for as one.
    Map<DemandKey, ScaleOutPlanner.Demand> demands = new LinkedHashMap<>();
    for (Job job : view.waiting) {
      // What the team's limit keeps waiting would wait on rented machines as well.
      int tasks = Math.min(job.pendingTasks(), view.quotaUsage.tasksLeftWithinLimit(job.spec()));
      if (tasks == 0 || (job.spec().isGang() && tasks < job.pendingTasks())) {
        continue;
      }
      view.quotaUsage.charge(job.spec(), tasks);
      if (job.spec().isGang() && job.spec().singleZone()) {
        addOneZoneDemand(demands, job, tasks, schedulable);
      } else if (job.spec().spreadAcrossZones()) {
        // Each zone may take its part only.
        int left = tasks;
        for (String zone : zones(view)) {
          int n = Math.min(left, job.spec().maxTasksPerZone() - job.attemptsInZone(zone));
          if (n > 0) {
            addDemand(demands, job, n, Optional.of(zone));
            left -= n;
          }
        }
      } else {
        addDemand(demands, job, tasks, Optional.empty());
      }
    }
    return new ArrayList<>(demands.values());
  }

  /** What a gang lacks in the zone that lacks least, so that all of its tasks get room there. */
  private static void addOneZoneDemand(
      Map<DemandKey, ScaleOutPlanner.Demand> demands,
      Job job,
      int tasks,
      List<Machine> schedulable) {
    Map<String, Integer> slotsByZone = new TreeMap<>();
    for (Machine machine : schedulable) {
      if (job.spec().allows(machine.type(), machine.zone(), machine.spot())
          && job.isOnlyInZone(machine.zone())) {
        slotsByZone.merge(
            machine.zone(),
            machine.availableAbove(Priority.IDLE).countFitting(job.spec()),
            Integer::sum);
      }
    }
    Optional<Map.Entry<String, Integer>> most =
        slotsByZone.entrySet().stream().max(Map.Entry.comparingByValue());
    int lacking = tasks - most.map(Map.Entry::getValue).orElse(0);
    if (lacking > 0) {
      addDemand(demands, job, lacking, most.map(Map.Entry::getKey).or(job.spec()::zone));
    }
  }

  private record DemandKey(EquivalenceClass shape, Optional<String> zone) {}

  private static void addDemand(
      Map<DemandKey, ScaleOutPlanner.Demand> demands, Job job, int tasks, Optional<String> zone) {
    demands.merge(
        new DemandKey(EquivalenceClass.of(job.spec()), zone),
        new ScaleOutPlanner.Demand(job, tasks, zone),
        (a, b) -> new ScaleOutPlanner.Demand(a.job(), a.tasks() + b.tasks(), zone));
  }

  /** All zones of the catalogue. */
  private static Set<String> zones(ClusterView view) {
    Set<String> zones = new LinkedHashSet<>();
    view.types.forEach(type -> zones.addAll(type.zones()));
    return zones;
  }

  /** Room to keep for classes that are expected to start at once. */
  private Headroom headroom(ClusterView view, List<Machine> schedulable) {
    Map<String, Integer> running = new HashMap<>();
    for (Job job : view.jobs) {
      if (classes.needsHeadroom(job.spec())) {
        running.merge(job.spec().jobClass(), job.attempts().size(), Integer::sum);
      }
    }
    Set<String> zones = zones(view);
    List<Headroom.Target> targets = new ArrayList<>();
    for (String jobClass : classes.classesNeedingHeadroom()) {
      Optional<Job> sample = classes.latestJob(jobClass);
      if (sample.isPresent()) {
        int tasks = 2 + (int) Math.ceil(tuning.headroomShare() * running.getOrDefault(jobClass, 0));
        int tasksPerZone = (tasks + zones.size() - 1) / Math.max(1, zones.size());
        targets.add(new Headroom.Target(sample.get(), tasksPerZone));
      }
    }
    return new Headroom(targets, zones, schedulable);
  }

  /** How many tasks of a class with a time to keep have room on the machine now. */
  private int slotsFor(String jobClass, Machine machine) {
    return classes
        .latestJob(jobClass)
        .filter(job -> job.spec().allows(machine.type(), machine.zone(), machine.spot()))
        .map(job -> machine.available().countFitting(job.spec()))
        .orElse(0);
  }

  /**
   * Finds machines that can be spared, the dearest first: what they run would fit elsewhere, with
   * room to spare for what may come. Such machines are met last by new tasks, run empty, and are
   * given back.
   */
  private void planScaleIn(
      List<Machine> schedulable,
      boolean lacking,
      Headroom headroom,
      ScalingPlan plan,
      Instant now) {
    record Candidate(Machine machine, int replicas, double price, double used) {}
    List<Candidate> candidates = new ArrayList<>();
    double free = 0;
    double used = 0;
    for (Machine m : schedulable) {
      double mine = m.type().cpus() - m.availableAbove(Priority.IDLE).cpus();
      double price = m.type().hourlyPrice(m.spot()) / Math.max(1e-9, m.type().cpus());
      candidates.add(new Candidate(m, m.attempts().replicaCount(), price, mine));
      used += mine;
      free += m.type().cpus() - mine;
    }
    // Without replicas first, since those have to be moved; then the dearest and the emptiest.
    candidates.sort(
        Comparator.comparingInt(Candidate::replicas)
            .thenComparing(Candidate::price, Comparator.reverseOrder())
            .thenComparingDouble(Candidate::used)
            .thenComparing(c -> c.machine.name()));
    Map<String, Integer> slots = new HashMap<>();
    Map<String, Integer> large = new HashMap<>();
    for (String c : classes.classesWithKnownSizes()) {
      large.put(c, classes.largeJobTasks(c));
      for (Machine m : schedulable) {
        slots.merge(c, slotsFor(c, m), Integer::sum);
      }
    }
    // Of many machines a smaller part need be kept: what comes and goes varies by the square root.
    double scale =
        Math.sqrt(Math.min(1, REFERENCE_FLEET_SIZE / (double) Math.max(1, schedulable.size())));
    double reserve = tuning.reserveShare() * used * scale;
    int maxEmptied = 1 + schedulable.size() / REFERENCE_FLEET_SIZE;
    if (!now.isBefore(nextRelocations)) {
      nextRelocations = now.plus(RELOCATION_INTERVAL);
      relocationsLeft = maxEmptied;
    }
    ReplicaCapacity rest = new ReplicaCapacity(schedulable);
    int emptied = 0;
    int tried = 0;
    for (Candidate c : candidates) {
      Machine m = c.machine;
      double after = free - m.type().cpus();
      boolean room = !lacking && after >= reserve && headroom.canRelease(m);
      for (String jobClass : classes.classesWithKnownSizes()) {
        int lost = room ? slotsFor(jobClass, m) : 0;
        room &= lost == 0 || slots.get(jobClass) - lost >= large.get(jobClass);
      }
      int replicas = c.replicas;
      if (room && replicas > 0) {
        room =
            emptied < maxEmptied && tried++ < 3 * maxEmptied && rest.reserveForReplicasOf(m, now);
        emptied += room ? 1 : 0;
      }
      if (!room) {
        m.cloud().clearScaleInCandidate();
        continue;
      }
      free = after;
      rest.remove(m);
      headroom.release(m);
      classes.classesWithKnownSizes().forEach(k -> slots.merge(k, -slotsFor(k, m), Integer::sum));
      m.cloud().markScaleInCandidate(now);
      boolean due = now.isAfter(m.cloud().scaleInCandidateSince().plus(tuning.scaleInAfterIdle()));
      if (due && replicas > 0) {
        relocateOneReplica(m, plan);
      } else if (due && m.attempts().isEmpty() && now.isAfter(m.provisionedAt().plusSeconds(60))) {
        plan.scaleIn.add(m);
      }
    }
  }

  /** Moves a replica off a machine that is to be given back, not too many at a time. */
  private void relocateOneReplica(Machine machine, ScalingPlan plan) {
    if (relocationsLeft <= 0) {
      return;
    }
    for (TaskAttempt attempt : machine.attempts().values()) {
      if (attempt.job().spec().isService() && !attempt.stopping()) {
        relocationsLeft--;
        plan.relocations.add(attempt);
        return;
      }
    }
  }
}
