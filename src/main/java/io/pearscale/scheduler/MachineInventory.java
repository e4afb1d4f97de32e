package io.pearscale.scheduler;

import io.pearscale.protocol.MachineType;
import io.pearscale.protocol.Settings.Team;
import io.pearscale.scheduler.TaskAttempt.Stage;
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
final class MachineInventory {
  private final MachineCatalogue catalogue;
  private final Map<String, Team> teams;
  private final Leadership leadership;
  private final JobTable jobs;
  private final LeaderRecords records;
  private final InstantSource clock;
  private final Runnable requestPass;
  private final DecisionLog decisions;
  private final Map<String, Machine> machines = new LinkedHashMap<>();
  private final Collection<Machine> all = Collections.unmodifiableCollection(machines.values());
  private final MachineTombstones removed = new MachineTombstones();
  private Consumer<TaskAttempt> removedListener = attempt -> {};
  private final Set<Machine> withCommands = new LinkedHashSet<>();

  /** Makes an empty inventory. */
  MachineInventory(
      MachineCatalogue catalogue,
      Map<String, Team> teams,
      Leadership leadership,
      JobTable jobs,
      LeaderRecords records,
      InstantSource clock,
      Runnable requestPass,
      DecisionLog decisions) {
    this.catalogue = catalogue;
    this.teams = teams;
    this.leadership = leadership;
    this.jobs = jobs;
    this.records = records;
    this.clock = clock;
    this.requestPass = requestPass;
    this.decisions = decisions;
  }

  /** The machine types that are known. */
  MachineCatalogue catalogue() {
    return catalogue;
  }

  /** Takes a catalogue in. A worker may have reported before its type was known. */
  void updateCatalogue(List<MachineType> types) {
    catalogue.update(types);
    for (Machine machine : machines.values()) {
      machine.type = catalogue.find(machine.type.name()).orElse(machine.type);
      machine.touch();
    }
  }

  // ---- Machines ----

  /** The machine of that name; null when there is none. */
  Machine get(String name) {
    return machines.get(name);
  }

  /** Whether it still has this very machine. */
  boolean contains(Machine machine) {
    return machines.get(machine.name) == machine;
  }

  Collection<Machine> all() {
    return all;
  }

  int size() {
    return machines.size();
  }

  /** Whether a machine of this name is known to be gone. */
  boolean isRemoved(String name) {
    return removed.contains(name);
  }

  /** Adds a machine that was not there in this term before. */
  void add(Machine machine) {
    machine.token = leadership.firstToken();
    machines.put(machine.name, machine);
  }

  /**
   * Adds a machine that a former leader may have known, and on which it may have renewed leases.
   */
  void addFormer(Machine machine) {
    add(machine);
    machine.lease.formerLeadersRenewUntil(leadership.formerLeadersUntil());
  }

  /** The cloud says that the machine, and all that was on it, is gone. */
  void deleted(String name) {
    Machine machine = machines.remove(name);
    removed.note(name, clock.instant());
    if (machine == null) {
      return;
    }
    removeAll(machine, AbsenceProof.MACHINE_DELETED);
    records.removeMachine(machine);
    requestPass.run();
  }

  /** Forgets all, since this controller does not lead any more. */
  void clear() {
    machines.clear();
    withCommands.clear();
  }

  // ---- Tasks on machines ----

  /** From now on the task may be on the machine. */
  void add(TaskAttempt attempt) {
    attempt.machine.add(attempt);
    attempt.job.add(attempt);
    jobs.requeue(attempt.job);
    if (attempt.stage == Stage.PLANNED) {
      noteCommandDue(attempt.machine);
    }
  }

  /** The listener is told of each task that is proven not to be on its machine any more. */
  void onRemoved(Consumer<TaskAttempt> listener) {
    removedListener = listener;
  }

  /** It is proven that none of the machine's tasks is there any more. */
  void removeAll(Machine machine, AbsenceProof proof) {
    List.copyOf(machine.placements.values()).forEach(attempt -> remove(attempt, proof));
  }

  /** It is proven that the task is not on the machine. */
  void remove(TaskAttempt attempt, AbsenceProof proof) {
    Job job = attempt.job;
    decisions.gone(attempt, proof);
    removedListener.accept(attempt);
    attempt.machine.remove(attempt);
    job.remove(attempt);
    if (attempt.ranFor(clock.instant()).compareTo(Job.A_START) >= 0) {
      job.begun = true;
    }
    if (job.placed.isEmpty() && !jobs.contains(job)) {
      records.removeJob(job);
    }
    jobs.requeue(job);
    requestPass.run();
  }

  /** Decides that a task must go from where it is. */
  void stop(TaskAttempt attempt) {
    if (attempt.stage == Stage.PLANNED) {
      remove(attempt, AbsenceProof.NOT_SENT);
      return;
    }
    if (attempt.stopping) {
      return;
    }
    attempt.stopping = true;
    attempt.machine.touch();
    noteCommandDue(attempt.machine);
    if (!attempt.confirmed && attempt.attempt >= 0 && !attempt.machine.calling) {
      // The start command may still be on its way; only a higher token can overtake it.
      attempt.machine.raiseToken();
    }
  }

  /** Takes back what was decided for a machine that turned bad before the start was sent. */
  void withdrawPlanned(Machine machine) {
    for (TaskAttempt attempt : List.copyOf(machine.placements.values())) {
      if (attempt.stage == Stage.PLANNED) {
        remove(attempt, AbsenceProof.NOT_SENT);
      }
    }
  }

  /** What each team has in use, counting all that may be on a machine. */
  TeamUse use() {
    TeamUse use = new TeamUse(teams);
    if (teams.values().stream().noneMatch(Team::hasQuota)) {
      return use;
    }
    for (Machine machine : machines.values()) {
      for (TaskAttempt attempt : machine.placements.values()) {
        use.charge(attempt.job.spec, 1);
      }
    }
    return use;
  }

  // ---- Commands that wait ----

  /** Something is to be told to the machine. */
  void noteCommandDue(Machine machine) {
    withCommands.add(machine);
  }

  /**
   * Offers each machine that something is to be told to.
   *
   * @param send sends what may be sent now
   * @param stillDue whether something still waits afterwards
   */
  void forEachWithCommands(Consumer<Machine> send, Predicate<Machine> stillDue) {
    for (Iterator<Machine> it = withCommands.iterator(); it.hasNext(); ) {
      Machine machine = it.next();
      if (contains(machine)) {
        send.accept(machine);
      }
      if (!contains(machine) || !stillDue.test(machine)) {
        it.remove();
      }
    }
  }
}
