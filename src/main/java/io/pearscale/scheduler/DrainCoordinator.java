package io.pearscale.scheduler;

import io.pearscale.drain.Disruption;
import io.pearscale.drain.DisruptionBudget.Load;
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
import io.pearscale.scheduler.Machine.Lifecycle;
import io.pearscale.scheduler.MachineRetirement.Reason;
import io.pearscale.scheduler.TaskAttempt.Stage;
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
final class DrainCoordinator {
  private static final Logger LOG = LoggerFactory.getLogger(DrainCoordinator.class);
  private static final Duration SPACING = Duration.ofSeconds(1);

  /** A machine has shown that it works when it has reported for so many leases without trouble. */
  private static final int LEASES_OF_PROBATION = 2;

  private final Leadership leadership;
  private final JobTable jobs;
  private final MachineInventory inventory;
  private final LeaderRecords records;
  private final AgentTimings times;
  private final GracefulTermination stops;
  private final LevelGate level;
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
  private List<TaskView> lackingRoom = List.of();
  private Instant next = Instant.MIN;

  DrainCoordinator(
      LeaderState state,
      DrainSettings settings,
      AgentTimings times,
      GracefulTermination stops,
      LevelGate level,
      int largestValue,
      InstantSource timeOfDay,
      CommandDispatcher dispatcher,
      MachineRetirement retirement) {
    this.leadership = state.leadership();
    this.jobs = state.jobs();
    this.inventory = state.inventory();
    this.records = state.records();
    this.times = times;
    this.stops = stops;
    this.level = level;
    this.timeOfDay = timeOfDay;
    this.dispatcher = dispatcher;
    this.retirement = retirement;
    this.planner = new DrainPlanner(settings.windows());
    this.ledger = new DisruptionLedger(settings.budgets());
    this.disruptions = new DisruptionRecords(largestValue, records::requestCommit, this::carryOut);
    this.published = new PublishedRecords(state.clock(), largestValue);
    this.status = new StatusPublisher(state, ledger, published, timeOfDay, largestValue);
    inventory.onRemoved(this::noteRemoved);
  }

  /** What is to be written for drains. */
  List<TransactionContributor> sources() {
    return List.of(disruptions, published);
  }

  // ---- What is stored ----

  /** All keys are about to be read anew. */
  void forgetStored() {
    requests.clear();
    disruptions.forgetStored();
  }

  /** A stored value has changed. */
  void storedChanged(KeyChange change) {
    if (Keys.isDisruptions(change.key())) {
      disruptions.storedChanged(change);
    } else {
      requests.changed(change);
    }
  }

  /** A term begins, with all that is stored at hand. */
  void begin() {
    published.clear();
    probationSince.clear();
    lackingRoom = List.of();
    next = Instant.MIN;
    try {
      ledger.begin(disruptions.begin());
    } catch (MalformedMessageException e) {
      ledger.begin(List.of());
      ledger.spentIsUnknown("what is disrupted can't be read: " + e.getMessage());
      LOG.error("event=disruptions_unreadable reason={}", e.getMessage());
    }
  }

  /** The term is over. */
  void end() {
    disruptions.clear();
    published.clear();
  }

  // ---- Rounds ----

  /** Decides once a second. */
  void roundIfDue(Instant now) {
    if (now.isBefore(next)) {
      return;
    }
    next = now.plus(SPACING);
    recordAllMachines();
    published.withdraw(key -> Keys.isDrainStatus(key) && !requests.isKnown(Keys.lastSegment(key)));
    closeWhatIsOver(now);
    ledger.update(loads(now));
    if (level.isEnabled(Feature.MACHINE_MAINTENANCE)) {
      endProbations(now);
      releaseOrphans();
      carryOut(decide(now));
    } else {
      releaseAll();
      requests.all().forEach(drain -> status.publishHeldUp(drain.request()));
    }
    status.publishCluster();
  }

  /** Operators choose machines from the records: idle ones have to be in them as well. */
  private void recordAllMachines() {
    for (Machine machine : inventory.all()) {
      if (machine.lifecycle == Lifecycle.UP && machine.reconciled && !records.hasSlot(machine)) {
        records.assignSlot(machine);
        records.recordMachineDeferred(machine);
      }
    }
  }

  private Plan decide(Instant now) {
    Map<String, MachineView> machines = new HashMap<>();
    List<Drain> drains = requests.all();
    if (!drains.isEmpty()) {
      inventory.all().stream()
          .filter(machine -> machine.lifecycle != Lifecycle.RETIRING)
          .forEach(machine -> machines.put(machine.name, view(machine, now)));
    }
    Instant today = timeOfDay.instant();
    inventory.all().forEach(machine -> machine.drainPlanned = false);
    drains.stream().filter(drain -> drain.isActive(today)).forEach(this::noteDrainsLater);
    DrainCapacity room = new DrainCapacity(inventory, jobs, now, times);
    return planner.plan(drains, machines, ledger, room, today);
  }

  private void noteDrainsLater(Drain drain) {
    for (String name : drain.machines()) {
      Machine machine = inventory.get(name);
      if (machine != null) {
        machine.drainPlanned = true;
      }
    }
  }

  private void carryOut(Plan plan) {
    plan.changes().forEach(this::change);
    plan.giveBack().stream()
        .map(inventory::get)
        .forEach(machine -> retirement.retire(machine, Reason.DRAINED));
    for (TaskView task : plan.stops()) {
      ledger.find(task.task()).ifPresent(disruptions::record);
      task.mates().forEach(mate -> ledger.find(mate).ifPresent(disruptions::record));
    }
    lackingRoom = plan.lackingRoom();
    status.publish(plan.statuses());
  }

  private void change(String name, Maintenance maintenance) {
    Machine machine = inventory.get(name);
    LOG.info(
        "event=maintenance term={} machine={} stage={} drain={}",
        leadership.term(),
        name,
        maintenance.stage(),
        maintenance.drain());
    machine.maintenance = maintenance;
    if (maintenance.stage() == Maintenance.Stage.PROBATION) {
      machine.cachedImages.clear();
    }
    if (!maintenance.isSchedulable()) {
      inventory.withdrawPlanned(machine);
    }
    records.assignSlot(machine);
    records.recordMachineNow(machine);
  }

  /** Machines whose drain is not known any more are in service again. */
  private void releaseOrphans() {
    for (Machine machine : List.copyOf(inventory.all())) {
      boolean orphan =
          !machine.maintenance.isSchedulable() && !requests.isKnown(machine.maintenance.drain());
      if (orphan) {
        change(machine.name, new Maintenance(Maintenance.Stage.PROBATION, ""));
      }
    }
  }

  /** Below level 1 no record can say that a machine is in maintenance: none is. */
  private void releaseAll() {
    for (Machine machine : List.copyOf(inventory.all())) {
      if (!machine.maintenance.isInService()) {
        change(machine.name, Maintenance.IN_SERVICE);
      }
    }
  }

  /** Ends the probation of machines that have shown that they work. */
  private void endProbations(Instant now) {
    for (Machine machine : List.copyOf(inventory.all())) {
      if (machine.maintenance.stage() != Maintenance.Stage.PROBATION) {
        probationSince.remove(machine);
        continue;
      }
      boolean heard = isHeard(machine, now);
      Instant since = probationSince.computeIfAbsent(machine, m -> now);
      if (!heard) {
        probationSince.put(machine, now);
      }
      Instant proven = since.plus(times.lease().multipliedBy(LEASES_OF_PROBATION));
      if (heard && (!machine.cachedImages.isEmpty() || now.isAfter(proven))) {
        change(machine.name, Maintenance.IN_SERVICE);
      }
    }
  }

  // ---- Disruptions ----

  /** Whether a replica may be moved for a reason of our own; it is stopped once that is durable. */
  boolean requestMove(TaskAttempt attempt) {
    Disruption disruption = disruption(attempt, /* voluntary= */ true);
    if (ledger.isOpen(attempt.task) || ledger.spend(disruption).isPresent()) {
      return false;
    }
    disruptions.record(disruption);
    return true;
  }

  private static Disruption disruption(TaskAttempt attempt, boolean voluntary) {
    return new Disruption(
        attempt.task,
        attempt.job.spec.team(),
        attempt.job.spec.jobClass(),
        voluntary,
        Duration.ZERO);
  }

  /**
   * The disruption is durable: its task may be stopped, and with it its gang, once that is durable
   * for all of them.
   */
  private void carryOut(Disruption disruption) {
    Optional<TaskAttempt> placement = placementOf(disruption.task());
    if (placement.isEmpty() || placement.get().stopping) {
      return;
    }
    TaskAttempt attempt = placement.get();
    if (matesOf(attempt).stream().anyMatch(disruptions::isPending)) {
      return;
    }
    LOG.info(
        "event=drain_stop term={} machine={} task={} attempt={}",
        leadership.term(),
        attempt.machine.name,
        attempt.task,
        attempt.number);
    stops.stop(attempt);
    List.copyOf(attempt.job.attempts.values()).stream()
        .filter(stopped -> stopped.stopping)
        .forEach(stopped -> dispatcher.sendDueCommands(stopped.machine));
  }

  /** The other tasks of the placement's gang; none if it is of no gang. */
  private static List<TaskId> matesOf(TaskAttempt attempt) {
    if (!attempt.job.spec.isGang()) {
      return List.of();
    }
    return attempt.job.attempts.values().stream()
        .filter(mate -> mate != attempt)
        .map(mate -> mate.task)
        .toList();
  }

  private Optional<TaskAttempt> placementOf(TaskId task) {
    return Optional.ofNullable(jobs.get(task.job())).map(job -> job.attempts.get(task.index()));
  }

  /** What is lost otherwise counts as well, so that what is our choice waits for it. */
  private void noteRemoved(TaskAttempt attempt) {
    boolean wasUp = attempt.stage == Stage.RUNNING || attempt.stage == Stage.CHECKPOINTING;
    if (wasUp && jobs.contains(attempt.job) && !attempt.job.spec.isService()) {
      ledger.note(disruption(attempt, /* voluntary= */ false));
    }
  }

  private void closeWhatIsOver(Instant now) {
    List<Disruption> closed =
        ledger.close(
            task -> {
              Job job = jobs.get(task.job());
              return job == null
                  || job.doneTasks.get(task.index())
                  || placementOf(task).map(attempt -> runsOn(attempt, now)).orElse(false);
            });
    closed.stream().filter(Disruption::voluntary).forEach(disruptions::remove);
  }

  /**
   * Whether the task is seen running, and nothing is under way that would stop it. A machine counts
   * as heard only once it has shown a token of this term, after which no stop of a former leader
   * can reach it: so a new leader takes all as down that it has not heard.
   */
  private boolean runsOn(TaskAttempt attempt, Instant now) {
    return attempt.stage == Stage.RUNNING
        && attempt.observed
        && !attempt.stopping
        && isHeard(attempt.machine, now)
        && !disruptions.isPending(attempt.task);
  }

  private boolean isHeard(Machine machine, Instant now) {
    return !machine.leaseExpired
        && !now.isAfter(machine.lastReachableAt.plus(times.unresponsiveAfter()));
  }

  // ---- Views ----

  private Map<Group, Load> loads(Instant now) {
    Map<String, Integer> openByJob = new HashMap<>();
    ledger.open().forEach(d -> openByJob.merge(d.task().job(), 1, Integer::sum));
    Map<Group, Load> loads = new HashMap<>();
    for (Job job : jobs.all()) {
      if (!job.failsEverywhere()) {
        Group group = new Group(job.spec.team(), job.spec.jobClass());
        int open = openByJob.getOrDefault(job.spec.id(), 0);
        loads.merge(group, load(job, open, now), Load::plus);
      }
    }
    for (Disruption disruption : ledger.open()) {
      Group group = new Group(disruption.team(), disruption.jobClass());
      loads.merge(group, new Load(0, 0, disruption.lost()), Load::plus);
    }
    return loads;
  }

  /**
   * Of a service all replicas count that should run; of a batch job, tasks that run or were
   * disrupted: what only waits for its turn is not down.
   *
   * @param open how many of its tasks count as disrupted
   */
  private Load load(Job job, int open, Instant now) {
    int up = 0;
    int ending = 0;
    for (TaskAttempt attempt : job.attempts.values()) {
      boolean disrupted = ledger.isOpen(attempt.task);
      up += runsOn(attempt, now) && !disrupted ? 1 : 0;
      ending += attempt.stopping && !disrupted ? 1 : 0;
    }
    if (job.spec.isService()) {
      return new Load(job.spec.tasks(), job.spec.tasks() - up, Duration.ZERO);
    }
    return new Load(up + ending + open, ending + open, Duration.ZERO);
  }

  private MachineView view(Machine machine, Instant now) {
    List<TaskView> tasks = new ArrayList<>();
    boolean reachable =
        machine.lifecycle == Lifecycle.UP
            && machine.reconciled
            && isHeard(machine, now)
            && !machine.quarantined;
    for (TaskAttempt attempt : machine.attempts.values()) {
      tasks.add(view(attempt, now));
    }
    return new MachineView(
        machine.name,
        machine.maintenance,
        machine.maintenance.equals(machine.recordedMaintenance) && machine.recorded,
        reachable,
        tasks);
  }

  private TaskView view(TaskAttempt attempt, Instant now) {
    boolean saves = !attempt.job.spec.checkpointInterval().isZero();
    Duration ran = attempt.runningTime(now);
    return new TaskView(
        attempt.task,
        attempt.job.spec.team(),
        attempt.job.spec.jobClass(),
        runsOn(attempt, now),
        attempt.stopping,
        attempt.job.spec.isService() || attempt.job.spec.estimatedDuration().minus(ran).isNegative()
            ? Optional.empty()
            : Optional.of(attempt.job.spec.estimatedDuration().minus(ran)),
        attempt.job.spec.isService() || saves ? Duration.ZERO : ran,
        matesOf(attempt));
  }

  /** What should be rented so that drains find room. */
  List<ScaleOutPlanner.Demand> replacements() {
    Map<Job, Integer> tasks = new LinkedHashMap<>();
    for (TaskView task : lackingRoom) {
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
