package io.pearscale.scheduler.maintenance;

import io.pearscale.drain.DisruptionLedger;
import io.pearscale.drain.DrainPlanner;
import io.pearscale.drain.DrainPlanner.Drain;
import io.pearscale.drain.DrainPlanner.MachineView;
import io.pearscale.drain.DrainPlanner.Plan;
import io.pearscale.drain.DrainPlanner.TaskView;
import io.pearscale.drain.DrainSettings;
import io.pearscale.scheduler.agents.CommandDispatcher;
import io.pearscale.scheduler.agents.GracefulTermination;
import io.pearscale.scheduler.agents.MachineRetirement;
import io.pearscale.scheduler.agents.MachineRetirement.Reason;
import io.pearscale.scheduler.autoscaling.RelocationGate;
import io.pearscale.scheduler.autoscaling.ScaleOutPlanner;
import io.pearscale.scheduler.model.AgentTimings;
import io.pearscale.scheduler.model.DecisionRecorder;
import io.pearscale.scheduler.model.Job;
import io.pearscale.scheduler.model.JobTable;
import io.pearscale.scheduler.model.LeaderState;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.Machine.Lifecycle;
import io.pearscale.scheduler.model.MachineInventory;
import io.pearscale.scheduler.model.TaskAttempt;
import io.pearscale.scheduler.records.TransactionContributor;
import io.pearscale.storage.Keys;
import io.pearscale.storage.StoreReplicaActor.KeyChange;
import io.pearscale.upgrade.Feature;
import io.pearscale.upgrade.LevelGate;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Executes drains in rounds: passes the current state of jobs and machines to the planner, and
 * executes its plan. Every component that stops a task voluntarily must request it here first.
 */
public final class DrainCoordinator implements RelocationGate {
  private static final Duration ROUND_INTERVAL = Duration.ofSeconds(1);

  private final JobTable jobs;
  private final MachineInventory inventory;
  private final DecisionRecorder records;
  private final Responsiveness responsiveness;
  private final LevelGate levelGate;
  private final InstantSource wallClock;
  private final MachineRetirement retirement;
  private final DrainPlanner planner;
  private final DisruptionLedger ledger;
  private final DrainRequests requests = new DrainRequests();
  private final DisruptionTracker disruptions;
  private final MaintenanceTransitions maintenance;
  private final DrainViews views;
  private final PublishedRecords published;
  private final StatusPublisher statusPublisher;
  private List<TaskView> tasksWithoutCapacity = List.of();
  private Instant nextRoundAt = Instant.MIN;

  /** Creates a coordinator without stored drains. */
  public DrainCoordinator(
      LeaderState state,
      DrainSettings settings,
      AgentTimings timings,
      GracefulTermination gracefulTermination,
      LevelGate levelGate,
      int maxValueBytes,
      InstantSource wallClock,
      CommandDispatcher dispatcher,
      MachineRetirement retirement) {
    this.jobs = state.jobs();
    this.inventory = state.inventory();
    this.records = state.records();
    this.levelGate = levelGate;
    this.wallClock = wallClock;
    this.retirement = retirement;
    this.planner = new DrainPlanner(settings.windows());
    this.ledger = new DisruptionLedger(settings.budgets());
    this.responsiveness = new Responsiveness(timings);
    this.disruptions =
        new DisruptionTracker(
            state, ledger, maxValueBytes, responsiveness, gracefulTermination, dispatcher);
    this.maintenance = new MaintenanceTransitions(state, timings, responsiveness);
    this.views = new DrainViews(disruptions, responsiveness);
    this.published = new PublishedRecords(state.clock(), maxValueBytes);
    this.statusPublisher = new StatusPublisher(state, ledger, published, wallClock, maxValueBytes);
  }

  /** Returns the contributors that add drain records to the leader's transactions. */
  public List<TransactionContributor> contributors() {
    return List.of(disruptions.records(), published);
  }

  // ---- Stored values ----

  /** Removes all stored values before a new snapshot is delivered. */
  public void clearStoredValues() {
    requests.clearStoredValues();
    disruptions.records().clearStoredValues();
  }

  /** Applies a change to a stored value. */
  public void applyChange(KeyChange change) {
    if (Keys.isDisruptions(change.key())) {
      disruptions.records().applyChange(change);
    } else {
      requests.applyChange(change);
    }
  }

  /** Begins a term, after all stored values have been delivered. */
  public void beginTerm() {
    published.clear();
    maintenance.beginTerm();
    tasksWithoutCapacity = List.of();
    nextRoundAt = Instant.MIN;
    disruptions.beginTerm();
  }

  /** Ends the term; nothing more is written. */
  public void endTerm() {
    disruptions.records().clear();
    published.clear();
  }

  // ---- Rounds ----

  /** Runs a round of decisions if at least a second has passed since the last one. */
  public void runRoundIfDue(Instant now) {
    if (now.isBefore(nextRoundAt)) {
      return;
    }
    nextRoundAt = now.plus(ROUND_INTERVAL);
    recordAllMachines();
    published.withdraw(key -> Keys.isDrainStatus(key) && !requests.isKnown(Keys.lastSegment(key)));
    disruptions.update(now);
    if (levelGate.isEnabled(Feature.MACHINE_MAINTENANCE)) {
      maintenance.endProbations(now);
      maintenance.returnOrphanedToService(requests::isKnown);
      executePlan(planRound(now));
    } else {
      maintenance.returnAllToService();
      requests.readable().forEach(drain -> statusPublisher.publishBlockedByLevel(drain.request()));
    }
    statusPublisher.publishCluster();
  }

  /** Records idle machines too, because operators select machines to drain from the records. */
  private void recordAllMachines() {
    for (Machine machine : inventory.all()) {
      if (machine.lifecycle() == Lifecycle.UP
          && machine.reconciled()
          && !records.hasSlot(machine)) {
        records.assignSlot(machine);
        records.recordMachineDeferred(machine);
      }
    }
  }

  private Plan planRound(Instant now) {
    Map<String, MachineView> machines = new HashMap<>();
    List<Drain> drains = requests.readable();
    if (!drains.isEmpty()) {
      inventory.all().stream()
          .filter(machine -> machine.lifecycle() != Lifecycle.RETIRING)
          .forEach(machine -> machines.put(machine.name(), views.view(machine, now)));
    }
    Instant wallClockNow = wallClock.instant();
    inventory.all().forEach(machine -> machine.setDrainPlanned(false));
    drains.stream().filter(drain -> drain.isActive(wallClockNow)).forEach(this::markPlannedDrain);
    DrainCapacity capacity = new DrainCapacity(inventory, jobs, now, responsiveness);
    return planner.plan(drains, machines, ledger, capacity, wallClockNow);
  }

  private void markPlannedDrain(Drain drain) {
    for (String name : drain.machines()) {
      Machine machine = inventory.get(name);
      if (machine != null) {
        machine.setDrainPlanned(true);
      }
    }
  }

  private void executePlan(Plan plan) {
    plan.maintenanceChanges().forEach(maintenance::change);
    plan.machinesToTerminate().stream()
        .map(inventory::get)
        .forEach(machine -> retirement.retire(machine, Reason.DRAINED));
    for (TaskView task : plan.tasksToStop()) {
      disruptions.record(task);
    }
    tasksWithoutCapacity = plan.tasksWithoutCapacity();
    statusPublisher.publish(plan.statuses());
  }

  /** Requests a relocation; if granted, the replica is stopped once its disruption is durable. */
  @Override
  public boolean requestRelocation(TaskAttempt attempt) {
    return disruptions.requestRelocation(attempt);
  }

  /** Returns the demands to provision so that drained tasks have capacity elsewhere. */
  @Override
  public List<ScaleOutPlanner.Demand> replacementDemands() {
    Map<Job, Integer> tasks = new LinkedHashMap<>();
    for (TaskView task : tasksWithoutCapacity) {
      Job job = jobs.get(task.task().job());
      if (job != null) {
        tasks.merge(job, 1, Integer::sum);
      }
    }
    List<ScaleOutPlanner.Demand> demands = new ArrayList<>();
    tasks.forEach(
        (job, count) -> demands.add(new ScaleOutPlanner.Demand(job, count, Optional.empty())));
    return demands;
  }
}
