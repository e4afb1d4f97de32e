package io.pearscale.scheduler.model;

import io.pearscale.protocol.MachineType;
import io.pearscale.protocol.Settings.Team;
import io.pearscale.scheduler.model.TaskAttempt.Stage;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Collection;
import java.util.Collections;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * The machines known to a leader, and the task attempts that may be on each of them.
 *
 * <p>Invariant: an attempt counts as being on a machine from before its start command is sent until
 * an {@link AbsenceProof} shows that it is not there. Callers of {@link #remove} must hold such a
 * proof.
 */
public final class MachineInventory {
  private final MachineCatalogue catalogue;
  private final Map<String, Team> teams;
  private final Leadership leadership;
  private final JobTable jobs;
  private final DecisionRecorder records;
  private final InstantSource clock;
  private final Runnable requestPass;
  private final DecisionLog decisionLog;
  private final Map<String, Machine> machines = new LinkedHashMap<>();
  private final Collection<Machine> machinesView =
      Collections.unmodifiableCollection(machines.values());
  private final MachineTombstones tombstones = new MachineTombstones();
  private Consumer<TaskAttempt> removedListener = attempt -> {};
  private final Set<Machine> machinesWithDueCommands = new LinkedHashSet<>();

  /** Creates an empty inventory. */
  public MachineInventory(
      MachineCatalogue catalogue,
      Map<String, Team> teams,
      Leadership leadership,
      JobTable jobs,
      DecisionRecorder records,
      InstantSource clock,
      Runnable requestPass,
      DecisionLog decisionLog) {
    this.catalogue = catalogue;
    this.teams = teams;
    this.leadership = leadership;
    this.jobs = jobs;
    this.records = records;
    this.clock = clock;
    this.requestPass = requestPass;
    this.decisionLog = decisionLog;
  }

  /** Returns the catalogue of known machine types. */
  public MachineCatalogue catalogue() {
    return catalogue;
  }

  /**
   * Updates the catalogue and the types of all machines, because a machine may be observed before
   * its type is known.
   */
  public void updateCatalogue(List<MachineType> types) {
    catalogue.update(types);
    for (Machine machine : machines.values()) {
      machine.updateType(catalogue.find(machine.type().name()).orElse(machine.type()));
    }
  }

  // ---- Machines ----

  /** Returns the machine with the given name, or null if there is none. */
  public Machine get(String name) {
    return machines.get(name);
  }

  /** Returns whether the inventory contains this machine instance. */
  public boolean contains(Machine machine) {
    return machines.get(machine.name()) == machine;
  }

  /** Returns a live view of all machines in the order in which they were added. */
  public Collection<Machine> all() {
    return machinesView;
  }

  /** Returns the number of machines. */
  public int size() {
    return machines.size();
  }

  /** Returns whether the machine with this name is known to be deleted. */
  public boolean isDeleted(String name) {
    return tombstones.contains(name);
  }

  /** Adds a machine that was not in the inventory before in this term. */
  public void add(Machine machine) {
    machine.fencing().initialize(leadership.firstFencingToken());
    machines.put(machine.name(), machine);
  }

  /** Adds a machine that a previous leader may have known and whose lease it may have renewed. */
  public void addFromPreviousLeader(Machine machine) {
    add(machine);
    machine.lease().extendForPreviousLeaders(leadership.previousLeadersUntil());
  }

  /**
   * Stops counting renewals of the machine's lease by previous leaders from now on.
   *
   * @param proof why there can be none
   */
  public void endPreviousLeaders(Machine machine, RenewalEndProof proof) {
    Duration earlierBy = machine.lease().endPreviousLeaders(clock.instant());
    if (!earlierBy.isZero()) {
      decisionLog.recordLeaseStartLowered(machine, proof, earlierBy);
    }
  }

  /** Records that the cloud provider has deleted the machine, which ends every task on it. */
  public void confirmDeleted(String name) {
    Machine machine = machines.remove(name);
    tombstones.add(name, clock.instant());
    if (machine == null) {
      return;
    }
    removeAll(machine, AbsenceProof.MACHINE_DELETED);
    records.removeMachine(machine);
    requestPass.run();
  }

  /** Clears the machines when this controller no longer leads. */
  public void clear() {
    machines.clear();
    machinesWithDueCommands.clear();
  }

  // ---- Attempts on machines ----

  /** Adds an attempt, which counts as being on its machine from now on. */
  public void add(TaskAttempt attempt) {
    attempt.machine().attempts().add(attempt);
    attempt.job().add(attempt);
    jobs.requeue(attempt.job());
    if (attempt.stage() == Stage.PLANNED) {
      markCommandDue(attempt.machine());
    }
  }

  /**
   * Sets the listener that receives each attempt proven to be absent, before it is removed from its
   * machine and its job.
   */
  public void onRemoved(Consumer<TaskAttempt> listener) {
    removedListener = listener;
  }

  /** Removes all attempts of the machine, which are proven to be absent. */
  public void removeAll(Machine machine, AbsenceProof proof) {
    List.copyOf(machine.attempts().values()).forEach(attempt -> remove(attempt, proof));
  }

  /** Removes an attempt that is proven to be absent from its machine. */
  public void remove(TaskAttempt attempt, AbsenceProof proof) {
    Job job = attempt.job();
    decisionLog.recordAbsenceProved(attempt, proof);
    removedListener.accept(attempt);
    attempt.machine().attempts().remove(attempt);
    job.remove(attempt, clock.instant());
    if (job.attempts().isEmpty() && !jobs.contains(job)) {
      records.removeJob(job);
    }
    jobs.requeue(job);
    requestPass.run();
  }

  /** Decides that an attempt must be stopped. */
  public void stop(TaskAttempt attempt) {
    if (attempt.stage() == Stage.PLANNED) {
      remove(attempt, AbsenceProof.NOT_SENT);
      return;
    }
    if (attempt.stopping()) {
      return;
    }
    attempt.requestStop();
    markCommandDue(attempt.machine());
    if (!attempt.observed()
        && attempt.isIdentified()
        && !attempt.machine().reachability().commandInFlight()) {
      // A start command may still be in transit. Only a higher fencing token makes the agent refuse
      // it.
      attempt.machine().fencing().raiseAbove(attempt.startToken());
    }
  }

  /**
   * Withdraws planned attempts, whose start was not sent, from a machine that can no longer be
   * used.
   */
  public void withdrawPlanned(Machine machine) {
    for (TaskAttempt attempt : List.copyOf(machine.attempts().values())) {
      if (attempt.stage() == Stage.PLANNED) {
        remove(attempt, AbsenceProof.NOT_SENT);
      }
    }
  }

  /** Returns the quota that each team uses, counting every attempt that may be on a machine. */
  public QuotaUsage quotaUsage() {
    QuotaUsage usage = new QuotaUsage(teams);
    if (teams.values().stream().noneMatch(Team::hasQuota)) {
      return usage;
    }
    for (Machine machine : machines.values()) {
      for (TaskAttempt attempt : machine.attempts().values()) {
        usage.charge(attempt.job().spec(), 1);
      }
    }
    return usage;
  }

  // ---- Due commands ----

  /** Records that a command to the machine may be due. */
  public void markCommandDue(Machine machine) {
    machinesWithDueCommands.add(machine);
  }

  /**
   * Passes each machine that may have due commands to the sender.
   *
   * @param send sends the commands that may be sent now
   * @param stillDue tests whether a command is still due afterwards
   */
  public void forEachWithDueCommands(Consumer<Machine> send, Predicate<Machine> stillDue) {
    for (Iterator<Machine> iterator = machinesWithDueCommands.iterator(); iterator.hasNext(); ) {
      Machine machine = iterator.next();
      if (contains(machine)) {
        send.accept(machine);
      }
      if (!contains(machine) || !stillDue.test(machine)) {
        iterator.remove();
      }
    }
  }
}
