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
 * Places the tasks of one pass. It scans machines in random order, once per class of tasks with the
 * same requirements, and takes the machine with the best score among the first few feasible ones.
 * If none is feasible, it preempts as few tasks as possible, lowest priority first.
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
   * Creates the placer of one pass.
   *
   * @param waiting the jobs to place in this pass; machines with less available CPU or memory than
   *     the smallest request among them are considered only for preemption
   * @param quotaUsage the usage, limits and guarantees of each team
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

  /** Returns the scan order over all machines, with or without capacity, for preemption. */
  private RandomizedMachineScan allMachines() {
    if (allMachines.isEmpty()) {
      allMachines = Optional.of(new RandomizedMachineScan(context.machines(), context.random()));
    }
    return allMachines.get();
  }

  /**
   * Finds a machine for one more task of the job and reserves the capacity there.
   *
   * @param mayPreempt whether other tasks may be stopped for it
   */
  Optional<Assignment> place(Job job, boolean mayPreempt) {
    return place(job, mayPreempt, machine -> true);
  }

  /**
   * Finds a machine that passes the filter for one more task of the job and reserves the capacity.
   */
  Optional<Assignment> place(Job job, boolean mayPreempt, Predicate<Machine> machineFilter) {
    if (capacity.quotaUsage().tasksLeftWithinLimit(job.spec()) < 1) {
      return Optional.empty();
    }
    Predicate<Machine> allowed =
        machine ->
            machineFilter.test(machine) && PlacementConstraints.allowsAnotherTask(job, machine);
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
      // Tasks of the same class have the same victims, so the search is not repeated in this pass.
      scan.setPreemptionInfeasible(!job.spec().spreadAcrossZones() && !job.spec().singleZone());
      if (!job.spec().singleZone()) {
        preemption.markInfeasible(job);
      }
    }
    return assignment;
  }

  /** Returns the machine with the best score among the first few feasible ones. */
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

  /** Frees the capacity of the victims and reserves capacity for the task. */
  void reserve(Job job, Assignment assignment) {
    capacity.reserve(job, assignment);
  }

  /** Releases what was reserved for a task. */
  void release(Job job, Assignment assignment) {
    capacity.release(job, assignment);
  }

  /** Discards the scan of the job's class; required after reservations are released. */
  void resetScan(Job job) {
    feasibleMachines.resetScan(job);
  }
}
