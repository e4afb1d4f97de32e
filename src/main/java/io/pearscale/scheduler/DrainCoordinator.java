package io.pearscale.scheduler;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.drain.Disruption;
import io.pearscale.drain.DisruptionBudget;
import io.pearscale.drain.DisruptionBudget.Load;
import io.pearscale.drain.DisruptionLedger;
import io.pearscale.drain.DisruptionLedger.Group;
import io.pearscale.drain.DrainPlanner;
import io.pearscale.drain.DrainPlanner.Drain;
import io.pearscale.drain.DrainPlanner.MachineView;
import io.pearscale.drain.DrainPlanner.Plan;
import io.pearscale.drain.DrainPlanner.TaskView;
import io.pearscale.drain.DrainRequest;
import io.pearscale.drain.DrainSettings;
import io.pearscale.drain.DrainStatus;
import io.pearscale.protocol.Malformed;
import io.pearscale.protocol.TaskId;
import io.pearscale.scheduler.Machine.Life;
import io.pearscale.scheduler.MachineRetirement.Reason;
import io.pearscale.scheduler.Placement.Stage;
import io.pearscale.storage.Keys;
import io.pearscale.storage.Maintenance;
import io.pearscale.storage.ReplicaActor.KeyChange;
import io.pearscale.transport.MessagePack;
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

  /** The time in what is published changes in such steps. */
  private static final Duration STATUS_STEP = Duration.ofSeconds(10);

  /** What a reason takes of a value, with the job's id: half of a value is for reasons. */
  private static final int REASON_SIZE = 200;

  /** A machine has shown that it works when it has reported for so many leases without trouble. */
  private static final int LEASES_OF_PROBATION = 2;

  private final Leadership leadership;
  private final JobTable jobs;
  private final MachineInventory inventory;
  private final LeaderRecords records;
  private final WorkerTimes times;
  private final LevelGate level;
  private final InstantSource timeOfDay;
  private final CommandDispatcher dispatcher;
  private final MachineRetirement retirement;
  private final DrainPlanner planner;
  private final DisruptionLedger ledger;
  private final DrainRequests requests = new DrainRequests();
  private final DisruptionRecords disruptions;
  private final PublishedRecords published;
  private final int mostWaiting;
  private final int mostReasons;
  private final Map<Machine, Instant> probationSince = new HashMap<>();
  private List<TaskView> lackingRoom = List.of();
  private Instant next = Instant.MIN;

  DrainCoordinator(
      LeaderState state,
      DrainSettings settings,
      WorkerTimes times,
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
    this.level = level;
    this.timeOfDay = timeOfDay;
    this.dispatcher = dispatcher;
    this.retirement = retirement;
    this.planner = new DrainPlanner(settings.windows());
    this.ledger = new DisruptionLedger(settings.budgets());
    this.disruptions = new DisruptionRecords(largestValue, records::requestCommit, this::carryOut);
    this.published = new PublishedRecords(state.clock(), largestValue);
    this.mostWaiting = largestValue / 2 / REASON_SIZE;
    this.mostReasons = Math.max(1, largestValue / 2 / REASON_SIZE);
    inventory.onRemoved(this::noteRemoved);
  }

  /** What is to be written for drains. */
  List<TransactionSource> sources() {
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
    } catch (Malformed e) {
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
    published.withdraw(key -> Keys.isDrainStatus(key) && !requests.isKnown(Keys.name(key)));
    closeWhatIsOver(now);
    ledger.update(loads(now));
    if (level.isOn(Feature.MACHINE_MAINTENANCE)) {
      endProbations(now);
      releaseOrphans();
      carryOut(decide(now));
    } else {
      requests.all().forEach(d -> publishHeldUp(d.request()));
    }
    publishStatus();
  }

  /** Operators choose machines from the records: idle ones have to be in them as well. */
  private void recordAllMachines() {
    for (Machine machine : inventory.all()) {
      if (machine.life == Life.UP && machine.settled && !records.hasPlace(machine)) {
        records.assignPlace(machine);
        records.recordMachineUnhurried(machine);
      }
    }
  }

  private Plan decide(Instant now) {
    Map<String, MachineView> machines = new HashMap<>();
    List<Drain> drains = requests.all();
    if (!drains.isEmpty()) {
      inventory.all().stream()
          .filter(machine -> machine.life != Life.RETIRING)
          .forEach(machine -> machines.put(machine.name, view(machine, now)));
    }
    Instant today = timeOfDay.instant();
    inventory.all().forEach(machine -> machine.drainsLater = false);
    drains.stream().filter(drain -> drain.isActive(today)).forEach(this::noteDrainsLater);
    DrainRoom room = new DrainRoom(inventory, jobs, now, times);
    return planner.plan(drains, machines, ledger, room, today);
  }

  private void noteDrainsLater(Drain drain) {
    for (String name : drain.machines()) {
      Machine machine = inventory.get(name);
      if (machine != null) {
        machine.drainsLater = true;
      }
    }
  }

  private void carryOut(Plan plan) {
    plan.changes().forEach(this::change);
    plan.giveBack().stream()
        .map(inventory::get)
        .forEach(machine -> retirement.retire(machine, Reason.DRAINED));
    plan.stops()
        .forEach(
            task ->
                ledger.open().stream()
                    .filter(d -> d.task().equals(task.task()))
                    .forEach(disruptions::record));
    lackingRoom = plan.lackingRoom();
    plan.statuses()
        .forEach(
            (id, status) -> published.publish(Keys.drainStatus(id), status.toNode(mostReasons)));
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
      machine.images.clear();
    }
    if (!maintenance.takesTasks()) {
      inventory.withdrawPlanned(machine);
    }
    records.assignPlace(machine);
    records.recordMachineNow(machine);
  }

  /** Machines whose drain is not known any more are in service again. */
  private void releaseOrphans() {
    for (Machine machine : List.copyOf(inventory.all())) {
      boolean orphan =
          !machine.maintenance.takesTasks() && !requests.isKnown(machine.maintenance.drain());
      if (orphan) {
        change(machine.name, new Maintenance(Maintenance.Stage.PROBATION, ""));
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
      if (heard && (!machine.images.isEmpty() || now.isAfter(proven))) {
        change(machine.name, Maintenance.NONE);
      }
    }
  }

  // ---- Disruptions ----

  /** Whether a replica may be moved for a reason of our own; it is stopped once that is durable. */
  boolean requestMove(Placement placement) {
    Disruption disruption = disruption(placement, /* voluntary= */ true);
    if (ledger.isOpen(placement.task) || ledger.spend(disruption).isPresent()) {
      return false;
    }
    disruptions.record(disruption);
    return true;
  }

  private static Disruption disruption(Placement placement, boolean voluntary) {
    return new Disruption(
        placement.task,
        placement.job.spec.team(),
        placement.job.spec.jobClass(),
        voluntary,
        Duration.ZERO);
  }

  /** The disruption is durable: its task may be stopped. */
  private void carryOut(Disruption disruption) {
    Optional<Placement> placement = placementOf(disruption.task());
    if (placement.isPresent() && !placement.get().stopping) {
      Placement p = placement.get();
      LOG.info(
          "event=drain_stop term={} machine={} task={} attempt={}",
          leadership.term(),
          p.machine.name,
          p.task,
          p.attempt);
      inventory.stop(p);
      dispatcher.sendDue(p.machine);
    }
  }

  private Optional<Placement> placementOf(TaskId task) {
    return Optional.ofNullable(jobs.get(task.job())).map(job -> job.placed.get(task.index()));
  }

  /** What is lost otherwise counts as well, so that what is our choice waits for it. */
  private void noteRemoved(Placement placement) {
    boolean wasUp = placement.stage == Stage.RUNNING || placement.stage == Stage.SAVING;
    if (wasUp && jobs.contains(placement.job) && !placement.job.spec.service()) {
      ledger.note(disruption(placement, /* voluntary= */ false));
    }
  }

  private void closeWhatIsOver(Instant now) {
    List<Disruption> closed =
        ledger.close(
            task -> {
              Job job = jobs.get(task.job());
              return job == null
                  || job.done.get(task.index())
                  || placementOf(task).map(p -> runsOn(p, now)).orElse(false);
            });
    closed.stream().filter(Disruption::voluntary).forEach(disruptions::remove);
  }

  /**
   * Whether the task is seen running, and nothing is under way that would stop it. A machine counts
   * as heard only once it has shown a token of this term, after which no stop of a former leader
   * can reach it: so a new leader takes all as down that it has not heard.
   */
  private boolean runsOn(Placement p, Instant now) {
    return p.stage == Stage.RUNNING
        && p.confirmed
        && !p.stopping
        && isHeard(p.machine, now)
        && !disruptions.isPending(p.task);
  }

  private boolean isHeard(Machine machine, Instant now) {
    return !machine.lost && !now.isAfter(machine.heard.plus(times.silent()));
  }

  // ---- Views ----

  private Map<Group, Load> loads(Instant now) {
    Map<Group, Load> loads = new HashMap<>();
    for (Job job : jobs.all()) {
      if (!job.mistaken()) {
        Group group = new Group(job.spec.team(), job.spec.jobClass());
        loads.merge(group, load(job, now), Load::plus);
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
   */
  private Load load(Job job, Instant now) {
    int up = 0;
    int ending = 0;
    for (Placement p : job.placed.values()) {
      boolean open = ledger.isOpen(p.task);
      up += runsOn(p, now) && !open ? 1 : 0;
      ending += p.stopping && !open ? 1 : 0;
    }
    if (job.spec.service()) {
      return new Load(job.spec.tasks(), job.spec.tasks() - up, Duration.ZERO);
    }
    int open = 0;
    for (Disruption disruption : ledger.open()) {
      open += disruption.task().job().equals(job.spec.id()) ? 1 : 0;
    }
    return new Load(up + ending + open, ending + open, Duration.ZERO);
  }

  private MachineView view(Machine machine, Instant now) {
    List<TaskView> tasks = new ArrayList<>();
    boolean reachable =
        machine.life == Life.UP && machine.settled && isHeard(machine, now) && !machine.faulty;
    for (Placement p : machine.placements.values()) {
      tasks.add(view(p, now));
    }
    return new MachineView(
        machine.name,
        machine.maintenance,
        machine.maintenance.equals(machine.recordedMaintenance) && machine.recorded,
        reachable,
        tasks);
  }

  private TaskView view(Placement p, Instant now) {
    boolean saves = !p.job.spec.checkpoint().isZero();
    Duration ran = p.ranFor(now);
    return new TaskView(
        p.task,
        p.job.spec.team(),
        p.job.spec.jobClass(),
        runsOn(p, now),
        p.stopping,
        p.job.spec.service() || p.job.spec.estimate().minus(ran).isNegative()
            ? Optional.empty()
            : Optional.of(p.job.spec.estimate().minus(ran)),
        p.job.spec.service() || saves ? Duration.ZERO : ran);
  }

  /** What should be rented so that drains find room. */
  List<Renter.Demand> replacements() {
    Map<Job, Integer> tasks = new LinkedHashMap<>();
    for (TaskView task : lackingRoom) {
      Job job = jobs.get(task.task().job());
      if (job != null) {
        tasks.merge(job, 1, Integer::sum);
      }
    }
    List<Renter.Demand> demands = new ArrayList<>();
    tasks.forEach((job, count) -> demands.add(new Renter.Demand(job, count, Optional.empty())));
    return demands;
  }

  // ---- What operators see ----

  private void publishHeldUp(DrainRequest request) {
    DrainStatus status =
        new DrainStatus(
            DrainStatus.State.REQUESTED,
            0,
            0,
            0,
            0,
            0,
            List.of("level 1 of the stored state is needed: pearscale upgrade finalise"));
    published.publish(Keys.drainStatus(request.id()), status.toNode(mostReasons));
  }

  private void publishStatus() {
    // In steps, so that an unchanged cluster costs a write a step and no more.
    long step = STATUS_STEP.toMillis();
    long at = timeOfDay.instant().toEpochMilli() / step * step;
    ObjectNode node = MessagePack.map().put("term", leadership.term()).put("atMs", at);
    var list = node.putArray("budgets");
    for (DisruptionBudget budget : ledger.budgets()) {
      Load load = ledger.load(budget);
      list.addObject()
          .put("budget", budget.toString())
          .put("tasks", load.total())
          .put("down", load.down());
    }
    var down = node.putArray("disrupted");
    ledger.open().stream().limit(mostReasons).forEach(d -> down.add(d.task().toString()));
    ObjectNode waiting = node.putObject("waiting");
    for (Job job : jobs.waiting()) {
      if (waiting.size() < mostWaiting) {
        waiting.put(job.spec.id(), reasonToWait(job));
      }
    }
    published.publish(Keys.STATUS, node);
  }

  private String reasonToWait(Job job) {
    if (job.mistaken()) {
      return "it failed wherever it was tried, and is tried ever more rarely";
    }
    return job.noRoom
        ? "the last pass found no machine with room for one of its tasks, within its team's limit"
        : "for the next pass";
  }
}
