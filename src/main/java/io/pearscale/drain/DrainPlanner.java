package io.pearscale.drain;

import io.pearscale.protocol.TaskId;
import io.pearscale.storage.Maintenance;
import io.pearscale.storage.Maintenance.Stage;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Decides what drains do next: which machines are cordoned, which tasks are stopped, which machines
 * are out of service or back in it. Pure but for its turn, which lets the drains share the budgets:
 * each round another one is asked first, and they are granted one task after the other in turn.
 */
public final class DrainPlanner {
  /** What ends by itself within that time is waited for. */
  static final Duration MAX_WAIT_FOR_COMPLETION = Duration.ofSeconds(60);

  /**
   * A task that is, or may be, on a machine.
   *
   * @param running whether it is seen running
   * @param stopping whether it is about to be stopped, for whatever reason
   * @param remaining what it still takes, if that is known: services have no end
   * @param lostWork the work that a stop would lose
   * @param gangMembers the other tasks of its gang: they end with it, wherever they are
   */
  public record TaskView(
      TaskId task,
      String team,
      String jobClass,
      boolean running,
      boolean stopping,
      Optional<Duration> remaining,
      Duration lostWork,
      List<TaskId> gangMembers) {

    /** What a stop disrupts. */
    List<Disruption> disruptions() {
      List<Disruption> all = new ArrayList<>();
      all.add(disruption(task));
      gangMembers.forEach(mate -> all.add(disruption(mate)));
      return all;
    }

    private Disruption disruption(TaskId stopped) {
      return new Disruption(stopped, team, jobClass, /* voluntary= */ true, lostWork);
    }
  }

  /**
   * A machine as it is now.
   *
   * @param maintenanceDurable whether its maintenance is durable
   * @param reachable whether it is up, and heard lately
   */
  public record MachineView(
      String name,
      Maintenance maintenance,
      boolean maintenanceDurable,
      boolean reachable,
      List<TaskView> tasks) {}

  /** A drain, and the names of its machines. */
  public record Drain(DrainRequest request, List<String> machines) {
    /** Whether it goes on, now or later. */
    public boolean isActive(Instant now) {
      return request.desiredState() != DrainRequest.DesiredState.CANCEL
          && now.isBefore(request.deadline());
    }
  }

  /** Looks for room elsewhere. */
  public interface ReplacementCapacity {
    /** Sets room aside for the task; says why there is none. */
    Optional<String> reserve(TaskView task);
  }

  /**
   * What is to be done.
   *
   * @param maintenanceChanges the maintenance that machines get
   * @param tasksToStop tasks to be stopped, for which the ledger has granted it
   * @param machinesToRelease machines that are empty and not to be held
   * @param tasksWithoutCapacity tasks for which there is no room elsewhere
   */
  public record Plan(
      Map<String, Maintenance> maintenanceChanges,
      List<TaskView> tasksToStop,
      List<String> machinesToRelease,
      List<TaskView> tasksWithoutCapacity,
      Map<String, DrainStatus> statuses) {}

  private final Map<String, MaintenanceWindow> windows;
  private int rotation;

  /** A planner for drains in those windows. */
  public DrainPlanner(Map<String, MaintenanceWindow> windows) {
    this.windows = Map.copyOf(windows);
  }

  /**
   * Decides.
   *
   * @param machines all machines, by name
   * @param now the time of day: it says when windows are open and deadlines are over
   */
  public Plan plan(
      List<Drain> drains,
      Map<String, MachineView> machines,
      DisruptionLedger ledger,
      ReplacementCapacity capacity,
      Instant now) {
    Plan plan =
        new Plan(
            new LinkedHashMap<>(),
            new ArrayList<>(),
            new ArrayList<>(),
            new ArrayList<>(),
            new LinkedHashMap<>());
    List<Round> rounds = new ArrayList<>();
    for (Drain drain : rotated(drains)) {
      Round round = new Round(drain, machines, plan, ledger, now);
      round.decideOnMachines();
      rounds.add(round);
    }
    grantRoundRobin(rounds, ledger, capacity);
    rounds.forEach(round -> plan.statuses.put(round.request.id(), round.status()));
    return plan;
  }

  private List<Drain> rotated(List<Drain> drains) {
    List<Drain> ordered = new ArrayList<>(drains);
    ordered.sort(
        Comparator.comparing((Drain drain) -> drain.request.requestedAt())
            .thenComparing(drain -> drain.request.id()));
    Collections.rotate(ordered, ordered.isEmpty() ? 0 : rotation++ % ordered.size());
    return ordered;
  }

  /** One task of each drain after the other, until none is left that the budgets allow. */
  private static void grantRoundRobin(
      List<Round> rounds, DisruptionLedger ledger, ReplacementCapacity capacity) {
    boolean left = true;
    while (left) {
      left = false;
      for (Round round : rounds) {
        left |= round.grantNext(ledger, capacity);
      }
    }
  }

  /** What is decided of one drain. */
  private final class Round {
    private final DrainRequest request;
    private final Drain drain;
    private final Map<String, MachineView> machines;
    private final Plan plan;
    private final DisruptionLedger ledger;
    private final Instant now;
    private final Deque<TaskView> candidates = new ArrayDeque<>();
    private final Set<String> reasons = new LinkedHashSet<>();
    private int inService;
    private int cordoned;
    private int drained;
    private int released;
    private int remainingTasks;
    private boolean paused;

    Round(
        Drain drain,
        Map<String, MachineView> machines,
        Plan plan,
        DisruptionLedger ledger,
        Instant now) {
      this.drain = drain;
      this.request = drain.request;
      this.machines = machines;
      this.plan = plan;
      this.ledger = ledger;
      this.now = now;
    }

    private boolean isCancelled() {
      return request.desiredState() == DrainRequest.DesiredState.CANCEL;
    }

    private boolean isPastDeadline() {
      return !now.isBefore(request.deadline());
    }

    void decideOnMachines() {
      paused = isPaused();
      List<MachineView> machinesInService = new ArrayList<>();
      for (String name : drain.machines) {
        MachineView machine = machines.get(name);
        if (machine == null) {
          released++;
        } else if (!machine.maintenance.drain().equals(request.id())) {
          inService++;
          machinesInService.add(machine);
        } else {
          decideOn(machine);
        }
      }
      if (!paused && !isCancelled() && !isPastDeadline()) {
        cordonNext(machinesInService);
      }
    }

    /** Whether nothing may be begun now. */
    private boolean isPaused() {
      if (request.desiredState() == DrainRequest.DesiredState.PAUSE) {
        reasons.add("an operator has paused it");
        return true;
      }
      if (request.window().isEmpty()) {
        return false;
      }
      MaintenanceWindow window = windows.get(request.window().get());
      if (window == null) {
        reasons.add("no window is called " + request.window().get());
        return true;
      }
      if (!window.isOpen(now)) {
        reasons.add(
            "window %s opens at %s"
                .formatted(
                    window.name(),
                    window.nextOpening(now).map(Instant::toString).orElse("no time")));
        return true;
      }
      return false;
    }

    private void decideOn(MachineView machine) {
      switch (machine.maintenance.stage()) {
        case CORDONED -> decideOnCordoned(machine);
        case DRAINED -> {
          if (isCancelled()) {
            plan.maintenanceChanges.put(
                machine.name, new Maintenance(Stage.PROBATION, request.id()));
            inService++;
          } else {
            drained++;
          }
        }
        default -> inService++;
      }
    }

    private void decideOnCordoned(MachineView machine) {
      if (isCancelled() || isPastDeadline()) {
        plan.maintenanceChanges.put(machine.name, Maintenance.IN_SERVICE);
        inService++;
      } else if (machine.maintenanceDurable && machine.tasks.isEmpty()) {
        decideOnEmpty(machine);
      } else {
        cordoned++;
        remainingTasks += machine.tasks.size();
        if (machine.maintenanceDurable && !paused) {
          collectCandidates(machine);
        }
      }
    }

    private void decideOnEmpty(MachineView machine) {
      if (request.completionAction() == DrainRequest.CompletionAction.RETURN) {
        plan.machinesToRelease.add(machine.name);
        released++;
      } else {
        plan.maintenanceChanges.put(machine.name, new Maintenance(Stage.DRAINED, request.id()));
        drained++;
      }
    }

    private void collectCandidates(MachineView machine) {
      if (!machine.reachable) {
        reasons.add("machine " + machine.name + " is silent");
        return;
      }
      for (TaskView task : machine.tasks) {
        if (task.stopping || ledger.isOpen(task.task)) {
          continue;
        }
        if (!task.running) {
          reasons.add(task.task + " is starting");
        } else if (task.remaining
            .map(r -> r.compareTo(MAX_WAIT_FOR_COMPLETION) <= 0)
            .orElse(false)) {
          reasons.add(task.task + " ends by itself soon");
        } else {
          candidates.add(task);
        }
      }
    }

    /** The emptiest machines first, as many as may be cordoned at a time. */
    private void cordonNext(List<MachineView> machinesInService) {
      machinesInService.sort(
          Comparator.comparingInt((MachineView m) -> m.tasks.size())
              .thenComparing(MachineView::name));
      for (MachineView machine : machinesInService) {
        if (cordoned >= request.maxConcurrentMachines()) {
          return;
        }
        if (plan.maintenanceChanges.containsKey(machine.name)
            || !machine.maintenance.isInService()) {
          reasons.add("machine " + machine.name + " is in another drain's hands");
        } else if (!machine.reachable) {
          reasons.add("machine " + machine.name + " is silent or not up");
        } else {
          plan.maintenanceChanges.put(machine.name, new Maintenance(Stage.CORDONED, request.id()));
          cordoned++;
          inService--;
          remainingTasks += machine.tasks.size();
        }
      }
    }

    /** Asks for the next of its tasks; false when it has none left to ask for. */
    boolean grantNext(DisruptionLedger disruptionLedger, ReplacementCapacity capacity) {
      TaskView task = candidates.poll();
      if (task == null) {
        return false;
      }
      if (disruptionLedger.isOpen(task.task)) {
        return true; // It ends with another task of its gang.
      }
      Optional<String> objection = capacity.reserve(task);
      if (objection.isPresent()) {
        plan.tasksWithoutCapacity.add(task);
      } else {
        objection = disruptionLedger.trySpend(task.disruptions());
      }
      if (objection.isPresent()) {
        reasons.add(task.task + ": " + objection.get());
      } else {
        plan.tasksToStop.add(task);
      }
      return true;
    }

    DrainStatus status() {
      return new DrainStatus(
          state(), inService, cordoned, drained, released, remainingTasks, List.copyOf(reasons));
    }

    private DrainStatus.State state() {
      if (isCancelled()) {
        return DrainStatus.State.CANCELLED;
      }
      if (inService + cordoned == 0) {
        return DrainStatus.State.DRAINED;
      }
      if (isPastDeadline()) {
        reasons.add("its time was over");
        return DrainStatus.State.FAILED;
      }
      if (paused) {
        return DrainStatus.State.PAUSED;
      }
      return cordoned + drained + released == 0
          ? DrainStatus.State.REQUESTED
          : DrainStatus.State.DRAINING;
    }
  }
}
