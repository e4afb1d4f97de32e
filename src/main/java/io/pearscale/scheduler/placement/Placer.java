package io.pearscale.scheduler.placement;

import io.pearscale.scheduler.model.Job;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.QuotaUsage;
import io.pearscale.scheduler.placement.FeasibleMachines.Scan;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Finds places for the tasks of one pass: machines in random order, one check per class of like
 * tasks, the best score among the first few that fit, and if none fits the fewest, lowest victims.
 */
final class Placer {
  private final PassContext context;
  private final PassCapacity capacity;
  private final ScoringPolicy scoring;
  private final PreemptionPlanner preemption;
  private final ReplicaRelocation relocation;
  private final FeasibleMachines feasibleMachines;
  private Optional<RandomizedMachineScan> allMachines = Optional.empty();

  /**
   * Prepares a pass.
   *
   * @param waiting the jobs that the pass is for: machines without capacity for the smallest task
   *     of any of them are met only in search of victims
   * @param quotaUsage what each team may have on machines
   */
  Placer(PassContext context, Collection<Job> waiting, QuotaUsage quotaUsage) {
    this.context = context;
    this.capacity = new PassCapacity(quotaUsage);
    ZoneCapacity zoneCapacity = new ZoneCapacity(context.machines());
    this.scoring = new ScoringPolicy(context, capacity);
    this.preemption = new PreemptionPlanner(context, capacity, zoneCapacity, this::allMachines);
    this.relocation = new ReplicaRelocation(context, capacity, this::allMachines);
    this.feasibleMachines = new FeasibleMachines(context, capacity, zoneCapacity, waiting);
  }

  /** The order for those who look for victims, on machines with capacity or without. */
  private RandomizedMachineScan allMachines() {
    if (allMachines.isEmpty()) {
      allMachines = Optional.of(new RandomizedMachineScan(context.machines(), context.random()));
    }
    return allMachines.get();
  }

  /**
   * Finds a machine for one more task of the job and reserves the capacity.
   *
   * @param mayPreempt whether others may be stopped for it
   */
  Optional<Assignment> place(Job job, boolean mayPreempt) {
    return place(job, mayPreempt, machine -> true);
  }

  /** The same, on machines of which {@code among} holds. */
  Optional<Assignment> place(Job job, boolean mayPreempt, Predicate<Machine> machineFilter) {
    if (capacity.quotaUsage().tasksLeftWithinLimit(job.spec()) < 1) {
      return Optional.empty();
    }
    Predicate<Machine> allowed =
        machine -> machineFilter.test(machine) && PlacementConstraints.allowsNow(job, machine);
    Scan scan = feasibleMachines.scanFor(job);
    Optional<Machine> freeMachine = bestFeasible(job, scan, allowed);
    if (freeMachine.isPresent()) {
      Optional<Assignment> withImage =
          mayPreempt
              ? preemption.preemptForImage(job, freeMachine.get(), allowed)
              : Optional.empty();
      return withImage.or(() -> Optional.of(reserveWithoutVictims(job, freeMachine.get())));
    }
    return mayPreempt && !scan.isPreemptionInfeasible()
        ? placeByPreemption(job, scan, allowed)
        : Optional.empty();
  }

  private Assignment reserveWithoutVictims(Job job, Machine machine) {
    Assignment assignment = new Assignment(machine, List.of());
    capacity.reserve(job, assignment);
    return assignment;
  }

  private Optional<Assignment> placeByPreemption(Job job, Scan scan, Predicate<Machine> allowed) {
    if (preemption.isInfeasible(job)) {
      return Optional.empty();
    }
    Optional<Assignment> assignment =
        preemption.preempt(job, allowed).or(() -> relocation.relocateFor(job));
    if (assignment.isEmpty()) {
      // Like tasks are decided as a class: what found nobody to preempt need not look again.
      scan.setPreemptionInfeasible(!job.spec().spreadAcrossZones() && !job.spec().singleZone());
      if (!job.spec().singleZone()) {
        preemption.markInfeasible(job);
      }
    }
    return assignment;
  }

  /** The best of the first few machines that have capacity for the task. */
  private Optional<Machine> bestFeasible(Job job, Scan scan, Predicate<Machine> allowed) {
    feasibleMachines.extend(scan, job, allowed);
    Machine best = null;
    double bestScore = Double.MAX_VALUE;
    for (Machine machine : scan.feasible()) {
      double score =
          allowed.test(machine)
              ? scoring.score(job, machine, scan.zoneShortfall())
              : Double.MAX_VALUE;
      if (score < bestScore) {
        bestScore = score;
        best = machine;
      }
    }
    return Optional.ofNullable(best);
  }

  /** Reserves a task's capacity, after that of its victims has become free. */
  void reserve(Job job, Assignment assignment) {
    capacity.reserve(job, assignment);
  }

  /** Takes back what was reserved for a task. */
  void release(Job job, Assignment assignment) {
    capacity.release(job, assignment);
  }

  /** The machines met for the job's class are met anew: some were dropped for what was released. */
  void resetScan(Job job) {
    feasibleMachines.resetScan(job);
  }
}
