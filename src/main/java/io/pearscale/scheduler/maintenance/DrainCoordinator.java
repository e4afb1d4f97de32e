package io.pearscale.scheduler.maintenance;

import io.pearscale.drain.Disruption;
import io.pearscale.drain.DisruptionBudget.Availability;
import io.pearscale.drain.DisruptionLedger;
import io.pearscale.drain.DisruptionLedger.Group;
import io.pearscale.drain.DrainPlanner;
import io.pearscale.drain.DrainPlanner.Drain;
import io.pearscale.drain.DrainPlanner.MachineView;
import io.pearscale.drain.DrainPlanner.Plan;
import io.pearscale.drain.DrainPlanner.TaskView;
import io.pearscale.drain.DrainSettings;
import io.pearscale.protocol.MalformedMessageException;
import io.pearscale.protocol.TaskId;
import io.pearscale.scheduler.agents.CommandDispatcher;
import io.pearscale.scheduler.agents.GracefulTermination;
import io.pearscale.scheduler.agents.MachineRetirement;
import io.pearscale.scheduler.agents.MachineRetirement.Reason;
import io.pearscale.scheduler.autoscaling.ScaleOutPlanner;
import io.pearscale.scheduler.model.AgentTimings;
import io.pearscale.scheduler.model.DecisionRecorder;
import io.pearscale.scheduler.model.Job;
import io.pearscale.scheduler.model.JobTable;
import io.pearscale.scheduler.model.LeaderState;
import io.pearscale.scheduler.model.Leadership;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.Machine.Lifecycle;
import io.pearscale.scheduler.model.MachineInventory;
import io.pearscale.scheduler.model.TaskAttempt;
import io.pearscale.scheduler.model.TaskAttempt.Stage;
import io.pearscale.scheduler.records.TransactionContributor;
import io.pearscale.storage.Keys;
import io.pearscale.storage.Maintenance;
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
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Carries drains out: shows the planner the jobs and machines as they are, and does what it
 * decides. All that is voluntary asks here before a task is stopped.
 */
public final class DrainCoordinator {
  private static final Logger LOG = LoggerFactory.getLogger(DrainCoordinator.class);
  private static final Duration ROUND_INTERVAL = Duration.ofSeconds(1);

  /** A machine has shown that it works when it has reported for so many leases without trouble. */
  private static final int PROBATION_LEASES = 2;

  private final Leadership leadership;
  private final JobTable jobs;
  private final MachineInventory inventory;
  private final DecisionRecorder records;
  private final AgentTimings times;
  private final GracefulTermination stops;
  private final LevelGate levelGate;
  private final InstantSource timeOfDay;
  private final CommandDispatcher dispatcher;
  private final MachineRetirement retirement;
  private final DrainPlanner planner;
  private final DisruptionLedger ledger;
  private final DrainRequests requests = new DrainRequests();
  private final DisruptionRecords disruptions;
  private final PublishedRecords published;
  private final StatusPublisher status;
  private final Map<Machine, Instant> probationSince = new HashMap<>();
  private List<TaskView> tasksWithoutCapacity = List.of();
  private Instant nextRoundAt = Instant.MIN;

  /** Creates a coordinator that has read no stored drains yet. */
  public DrainCoordinator(
      LeaderState state,
      DrainSettings settings,
      AgentTimings times,
      GracefulTermination stops,
      LevelGate levelGate,
      int maxValueBytes,
      InstantSource timeOfDay,
      CommandDispatcher dispatcher,
      MachineRetirement retirement) {
    this.leadership = state.leadership();
    this.jobs = state.jobs();
    this.inventory = state.inventory();
    this.records = state.records();
    this.times = times;
    this.stops = stops;
    this.levelGate = levelGate;
    this.timeOfDay = timeOfDay;
    this.dispatcher = dispatcher;
    this.retirement = retirement;
    this.planner = new DrainPlanner(settings.windows());
    this.ledger = new DisruptionLedger(settings.budgets());
    this.disruptions = new DisruptionRecords(maxValueBytes, records::requestCommit, this::carryOut);
    this.published = new PublishedRecords(state.clock(), maxValueBytes);
    this.status = new StatusPublisher(state, ledger, published, timeOfDay, maxValueBytes);
    inventory.onRemoved(this::noteRemoved);
  }

  /** What is to be written for drains. */
  public List<TransactionContributor> contributors() {
    return List.of(disruptions, published);
  }

  // ---- What is stored ----

  /** All keys are about to be read anew. */
  public void forgetStored() {
    requests.forgetStored();
    disruptions.forgetStored();
  }

  /** A stored value has changed. */
  public void storedChanged(KeyChange change) {
    if (Keys.isDisruptions(change.key())) {
      disruptions.storedChanged(change);
    } else {
      requests.storedChanged(change);
    }
  }

  /** A term begins, with all that is stored at hand. */
  public void beginTerm() {
    published.clear();
    probationSince.clear();
    tasksWithoutCapacity = List.of();
    nextRoundAt = Instant.MIN;
    try {
      ledger.beginTerm(disruptions.beginTerm());
    } catch (MalformedMessageException e) {
      ledger.beginTerm(List.of());
      ledger.blockAll("what is disrupted can't be read: " + e.getMessage());
      LOG.error("event=disruptions_unreadable reason={}", e.getMessage());
    }
  }

  /** The term is over. */
  public void endTerm() {
    disruptions.clear();
    published.clear();
  }

  // ---- Rounds ----

  /** Decides once a second. */
  public void roundIfDue(Instant now) {
    if (now.isBefore(nextRoundAt)) {
      return;
    }
    nextRoundAt = now.plus(ROUND_INTERVAL);
    recordAllMachines();
    published.withdraw(key -> Keys.isDrainStatus(key) && !requests.isKnown(Keys.lastSegment(key)));
    closeFinishedDisruptions(now);
    ledger.updateAvailability(availabilityByGroup(now));
    if (levelGate.isEnabled(Feature.MACHINE_MAINTENANCE)) {
      endProbations(now);
      releaseOrphanedMachines();
      carryOut(decide(now));
    } else {
      releaseAllMachines();
      requests.readable().forEach(drain -> status.publishBlockedByLevel(drain.request()));
    }
    status.publishCluster();
  }

  /** Operators choose machines from the records: idle ones have to be in them as well. */
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

  private Plan decide(Instant now) {
    Map<String, MachineView> machines = new HashMap<>();
    List<Drain> drains = requests.readable();
    if (!drains.isEmpty()) {
      inventory.all().stream()
          .filter(machine -> machine.lifecycle() != Lifecycle.RETIRING)
          .forEach(machine -> machines.put(machine.name(), view(machine, now)));
    }
    Instant today = timeOfDay.instant();
    inventory.all().forEach(machine -> machine.planDrain(false));
    drains.stream().filter(drain -> drain.isActive(today)).forEach(this::noteScheduledDrain);
    DrainCapacity capacity = new DrainCapacity(inventory, jobs, now, times);
    return planner.plan(drains, machines, ledger, capacity, today);
  }

  private void noteScheduledDrain(Drain drain) {
    for (String name : drain.machines()) {
      Machine machine = inventory.get(name);
      if (machine != null) {
        machine.planDrain(true);
      }
    }
  }

  private void carryOut(Plan plan) {
    plan.maintenanceChanges().forEach(this::changeMaintenance);
    plan.machinesToRelease().stream()
        .map(inventory::get)
        .forEach(machine -> retirement.retire(machine, Reason.DRAINED));
    for (TaskView task : plan.tasksToStop()) {
      ledger.find(task.task()).ifPresent(disruptions::record);
      task.gangMembers().forEach(member -> ledger.find(member).ifPresent(disruptions::record));
    }
    tasksWithoutCapacity = plan.tasksWithoutCapacity();
    status.publish(plan.statuses());
  }

  private void changeMaintenance(String name, Maintenance maintenance) {
    Machine machine = inventory.get(name);
    LOG.info(
        "event=maintenance term={} machine={} stage={} drain={}",
        leadership.term(),
        name,
        maintenance.stage(),
        maintenance.drain());
    machine.changeMaintenance(maintenance);
    if (!maintenance.isSchedulable()) {
      inventory.withdrawPlanned(machine);
    }
    records.assignSlot(machine);
    records.recordMachineNow(machine);
  }

  /** Machines whose drain is not known any more are in service again. */
  private void releaseOrphanedMachines() {
    for (Machine machine : List.copyOf(inventory.all())) {
      boolean orphaned =
          !machine.maintenance().isSchedulable()
              && !requests.isKnown(machine.maintenance().drain());
      if (orphaned) {
        changeMaintenance(machine.name(), new Maintenance(Maintenance.Stage.PROBATION, ""));
      }
    }
  }

  /** Below level 1 no record can say that a machine is in maintenance: none is. */
  private void releaseAllMachines() {
    for (Machine machine : List.copyOf(inventory.all())) {
      if (!machine.maintenance().isInService()) {
        changeMaintenance(machine.name(), Maintenance.IN_SERVICE);
      }
    }
  }

  /** Ends the probation of machines that have shown that they work. */
  private void endProbations(Instant now) {
    for (Machine machine : List.copyOf(inventory.all())) {
      if (machine.maintenance().stage() != Maintenance.Stage.PROBATION) {
        probationSince.remove(machine);
        continue;
      }
      boolean responsive = isResponsive(machine, now);
      Instant since = probationSince.computeIfAbsent(machine, m -> now);
      if (!responsive) {
        probationSince.put(machine, now);
      }
      Instant provenAt = since.plus(times.lease().multipliedBy(PROBATION_LEASES));
      if (responsive && (!machine.images().isEmpty() || now.isAfter(provenAt))) {
        changeMaintenance(machine.name(), Maintenance.IN_SERVICE);
      }
    }
  }

  // ---- Disruptions ----

  /** Whether a replica may be moved for a reason of our own; it is stopped once that is durable. */
  public boolean requestRelocation(TaskAttempt attempt) {
    Disruption disruption = disruption(attempt, /* voluntary= */ true);
    if (ledger.isOpen(attempt.task()) || ledger.trySpend(disruption).isPresent()) {
      return false;
    }
    disruptions.record(disruption);
    return true;
  }

  private static Disruption disruption(TaskAttempt attempt, boolean voluntary) {
    return new Disruption(
        attempt.task(),
        attempt.job().spec().team(),
        attempt.job().spec().jobClass(),
        voluntary,
        Duration.ZERO);
  }

  /**
   * The disruption is durable: its task may be stopped, and with it its gang, once that is durable
   * for all of them.
   */
  private void carryOut(Disruption disruption) {
    Optional<TaskAttempt> found = attemptOf(disruption.task());
    if (found.isEmpty() || found.get().stopping()) {
      return;
    }
    TaskAttempt attempt = found.get();
    if (gangMembersOf(attempt).stream().anyMatch(disruptions::isPending)) {
      return;
    }
    LOG.info(
        "event=drain_stop term={} machine={} task={} attempt={}",
        leadership.term(),
        attempt.machine().name(),
        attempt.task(),
        attempt.number());
    stops.stop(attempt);
    List.copyOf(attempt.job().attempts().values()).stream()
        .filter(stopped -> stopped.stopping())
        .forEach(stopped -> dispatcher.sendDueCommands(stopped.machine()));
  }

  /** The other tasks of the placement's gang; none if it is of no gang. */
  private static List<TaskId> gangMembersOf(TaskAttempt attempt) {
    if (!attempt.job().spec().isGang()) {
      return List.of();
    }
    return attempt.job().attempts().values().stream()
        .filter(member -> member != attempt)
        .map(member -> member.task())
        .toList();
  }

  private Optional<TaskAttempt> attemptOf(TaskId task) {
    return Optional.ofNullable(jobs.get(task.job())).map(job -> job.attempts().get(task.index()));
  }

  /** What is lost otherwise counts as well, so that what is our choice waits for it. */
  private void noteRemoved(TaskAttempt attempt) {
    boolean wasRunning = attempt.stage() == Stage.RUNNING || attempt.stage() == Stage.CHECKPOINTING;
    if (wasRunning && jobs.contains(attempt.job()) && !attempt.job().spec().isService()) {
      ledger.recordInvoluntary(disruption(attempt, /* voluntary= */ false));
    }
  }

  private void closeFinishedDisruptions(Instant now) {
    List<Disruption> closed =
        ledger.closeIf(
            task -> {
              Job job = jobs.get(task.job());
              return job == null
                  || job.isDone(task.index())
                  || attemptOf(task).map(attempt -> isRunning(attempt, now)).orElse(false);
            });
    closed.stream().filter(Disruption::voluntary).forEach(disruptions::remove);
  }

  /**
   * Whether the task is seen running, and nothing is under way that would stop it. A machine counts
   * as heard only once it has shown a token of this term, after which no stop of a former leader
   * can reach it: so a new leader takes all as down that it has not heard.
   */
  private boolean isRunning(TaskAttempt attempt, Instant now) {
    return attempt.stage() == Stage.RUNNING
        && attempt.observed()
        && !attempt.stopping()
        && isResponsive(attempt.machine(), now)
        && !disruptions.isPending(attempt.task());
  }

  private boolean isResponsive(Machine machine, Instant now) {
    return !machine.leaseExpired()
        && !now.isAfter(machine.reachability().lastReachableAt().plus(times.unresponsiveAfter()));
  }

  // ---- Views ----

  private Map<Group, Availability> availabilityByGroup(Instant now) {
    Map<String, Integer> openByJob = new HashMap<>();
    ledger.open().forEach(d -> openByJob.merge(d.task().job(), 1, Integer::sum));
    Map<Group, Availability> availability = new HashMap<>();
    for (Job job : jobs.all()) {
      if (!job.failures().failsEverywhere()) {
        Group group = new Group(job.spec().team(), job.spec().jobClass());
        int open = openByJob.getOrDefault(job.spec().id(), 0);
        availability.merge(group, availabilityOf(job, open, now), Availability::plus);
      }
    }
    for (Disruption disruption : ledger.open()) {
      Group group = new Group(disruption.team(), disruption.jobClass());
      availability.merge(group, new Availability(0, 0, disruption.lostWork()), Availability::plus);
    }
    return availability;
  }

  /**
   * Of a service all replicas count that should run; of a batch job, tasks that run or were
   * disrupted: what only waits for its turn is not down.
   *
   * @param open how many of its tasks count as disrupted
   */
  private Availability availabilityOf(Job job, int open, Instant now) {
    int running = 0;
    int stopping = 0;
    for (TaskAttempt attempt : job.attempts().values()) {
      boolean disrupted = ledger.isOpen(attempt.task());
      running += isRunning(attempt, now) && !disrupted ? 1 : 0;
      stopping += attempt.stopping() && !disrupted ? 1 : 0;
    }
    if (job.spec().isService()) {
      return new Availability(job.spec().tasks(), job.spec().tasks() - running, Duration.ZERO);
    }
    return new Availability(running + stopping + open, stopping + open, Duration.ZERO);
  }

  private MachineView view(Machine machine, Instant now) {
    List<TaskView> tasks = new ArrayList<>();
    boolean reachable =
        machine.lifecycle() == Lifecycle.UP
            && machine.reconciled()
            && isResponsive(machine, now)
            && !machine.failures().isQuarantined();
    for (TaskAttempt attempt : machine.attempts().values()) {
      tasks.add(view(attempt, now));
    }
    return new MachineView(
        machine.name(),
        machine.maintenance(),
        machine.maintenance().equals(machine.record().maintenance())
            && machine.record().isRecorded(),
        reachable,
        tasks);
  }

  private TaskView view(TaskAttempt attempt, Instant now) {
    boolean saves = !attempt.job().spec().checkpointInterval().isZero();
    Duration ran = attempt.runningTime(now);
    return new TaskView(
        attempt.task(),
        attempt.job().spec().team(),
        attempt.job().spec().jobClass(),
        isRunning(attempt, now),
        attempt.stopping(),
        attempt.job().spec().isService()
                || attempt.job().spec().estimatedDuration().minus(ran).isNegative()
            ? Optional.empty()
            : Optional.of(attempt.job().spec().estimatedDuration().minus(ran)),
        attempt.job().spec().isService() || saves ? Duration.ZERO : ran,
        gangMembersOf(attempt));
  }

  /** What should be rented so that drains find room. */
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
