package io.pearscale.scheduler.model;

import io.pearscale.protocol.MachineType;
import io.pearscale.protocol.Settings.Team;
import io.pearscale.scheduler.model.TaskAttempt.Stage;
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
 * The machines that a leader knows, and which tasks may be on each of them.
 *
 * <p>The rule that it serves: a task is taken to be on a machine from before its start command is
 * sent until one of the proofs of {@link AbsenceProof} says that it is gone. Whoever calls {@link
 * #remove} has that proof.
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

  /** Makes an empty inventory. */
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

  /** The machine types that are known. */
  public MachineCatalogue catalogue() {
    return catalogue;
  }

  /** Takes a catalogue in. A machine may have been heard of before its type was known. */
  public void updateCatalogue(List<MachineType> types) {
    catalogue.update(types);
    for (Machine machine : machines.values()) {
      machine.updateType(catalogue.find(machine.type().name()).orElse(machine.type()));
    }
  }

  // ---- Machines ----

  /** The machine of that name; null when there is none. */
  public Machine get(String name) {
    return machines.get(name);
  }

  /** Whether it still has this very machine. */
  public boolean contains(Machine machine) {
    return machines.get(machine.name()) == machine;
  }

  /** Returns all machines known to the leader. */
  /** All of them, in the order in which they were added; a live view. */
  public Collection<Machine> all() {
    return machinesView;
  }

  /** Returns how many machines the leader knows. */
  /** How many there are. */
  public int size() {
    return machines.size();
  }

  /** Whether a machine of this name is known to be gone. */
  public boolean isRemoved(String name) {
    return tombstones.contains(name);
  }

  /** Adds a machine that was not there in this term before. */
  public void add(Machine machine) {
    machine.fencing().initialize(leadership.firstFencingToken());
    machines.put(machine.name(), machine);
  }

  /** Adds a machine that a previous leader may have known, whose lease it may have renewed. */
  public void addFromPreviousLeader(Machine machine) {
    add(machine);
    machine.lease().extendForPreviousLeaders(leadership.previousLeadersUntil());
  }

  /** The cloud says that the machine, and all that was on it, is gone. */
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

  /** Forgets all, since this controller does not lead any more. */
  public void clear() {
    machines.clear();
    machinesWithDueCommands.clear();
  }

  // ---- Tasks on machines ----

  /** From now on the task may be on the machine. */
  public void add(TaskAttempt attempt) {
    attempt.machine().attempts().add(attempt);
    attempt.job().add(attempt);
    jobs.requeue(attempt.job());
    if (attempt.stage() == Stage.PLANNED) {
      markCommandDue(attempt.machine());
    }
  }

  /** The listener receives each attempt that is proven not to be on its machine any more. */
  public void onRemoved(Consumer<TaskAttempt> listener) {
    removedListener = listener;
  }

  /** It is proven that none of the machine's tasks is there any more. */
  public void removeAll(Machine machine, AbsenceProof proof) {
    List.copyOf(machine.attempts().values()).forEach(attempt -> remove(attempt, proof));
  }

  /** It is proven that the task is not on the machine. */
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

  /** Decides that a task must go from where it is. */
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
      // The start command may still be on its way; only a higher token can overtake it.
      attempt.machine().fencing().increment();
    }
  }

  /** Takes back attempts whose start was not sent, from a machine that can't be used any more. */
  public void withdrawPlanned(Machine machine) {
    for (TaskAttempt attempt : List.copyOf(machine.attempts().values())) {
      if (attempt.stage() == Stage.PLANNED) {
        remove(attempt, AbsenceProof.NOT_SENT);
      }
    }
  }

  /** What each team has in use, counting all that may be on a machine. */
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

  // ---- Commands that wait ----

  /** A command to the machine may be due. */
  public void markCommandDue(Machine machine) {
    machinesWithDueCommands.add(machine);
  }

  /**
   * Offers each machine to which a command may be due.
   *
   * @param send sends what may be sent now
   * @param stillDue whether a command still waits afterwards
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
