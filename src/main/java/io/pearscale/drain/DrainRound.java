package io.pearscale.drain;

import io.pearscale.drain.DrainPlanner.Drain;
import io.pearscale.drain.DrainPlanner.MachineView;
import io.pearscale.drain.DrainPlanner.Plan;
import io.pearscale.drain.DrainPlanner.ReplacementCapacity;
import io.pearscale.drain.DrainPlanner.TaskView;
import io.pearscale.storage.Maintenance;
import io.pearscale.storage.Maintenance.Stage;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Plans one round of one drain: maintenance states of its machines, and which tasks to stop. */
final class DrainRound {
  private final Map<String, MaintenanceWindow> windows;
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

  /**
   * Creates the round of one drain.
   *
   * @param windows all maintenance windows, by name
   * @param machines all machines, by name
   * @param plan receives the planned actions
   * @param now the wall clock time
   */
  DrainRound(
      Map<String, MaintenanceWindow> windows,
      Drain drain,
      Map<String, MachineView> machines,
      Plan plan,
      DisruptionLedger ledger,
      Instant now) {
    this.windows = windows;
    this.drain = drain;
    this.request = drain.request();
    this.machines = machines;
    this.plan = plan;
    this.ledger = ledger;
    this.now = now;
  }

  /** Returns the id of the drain. */
  String drainId() {
    return request.id();
  }

  private boolean isCancelled() {
    return request.desiredState() == DrainRequest.DesiredState.CANCEL;
  }

  private boolean isPastDeadline() {
    return !now.isBefore(request.deadline());
  }

  /** Plans the machines that the drain has cordoned, and selects which machines to cordon next. */
  void planMachines() {
    paused = isPaused();
    List<MachineView> machinesInService = new ArrayList<>();
    for (String name : drain.machines()) {
      MachineView machine = machines.get(name);
      if (machine == null) {
        released++;
      } else if (!machine.maintenance().drain().equals(request.id())) {
        inService++;
        machinesInService.add(machine);
      } else {
        planMachine(machine);
      }
    }
    if (!paused && !isCancelled() && !isPastDeadline()) {
      cordonNext(machinesInService);
    }
  }

  /** Returns whether the drain must not act now, and adds the reason to the status. */
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
                  window.name(), window.nextOpening(now).map(Instant::toString).orElse("no time")));
      return true;
    }
    return false;
  }

  private void planMachine(MachineView machine) {
    switch (machine.maintenance().stage()) {
      case CORDONED -> planCordonedMachine(machine);
      case DRAINED -> {
        if (isCancelled()) {
          plan.maintenanceChanges()
              .put(machine.name(), new Maintenance(Stage.PROBATION, request.id()));
          inService++;
        } else {
          drained++;
        }
      }
      default -> inService++;
    }
  }

  private void planCordonedMachine(MachineView machine) {
    if (isCancelled() || isPastDeadline()) {
      plan.maintenanceChanges().put(machine.name(), Maintenance.IN_SERVICE);
      inService++;
    } else if (machine.maintenanceDurable() && machine.tasks().isEmpty()) {
      planEmptyMachine(machine);
    } else {
      cordoned++;
      remainingTasks += machine.tasks().size();
      if (machine.maintenanceDurable() && !paused) {
        collectCandidates(machine);
      }
    }
  }

  private void planEmptyMachine(MachineView machine) {
    if (request.completionAction() == DrainRequest.CompletionAction.TERMINATE) {
      plan.machinesToTerminate().add(machine.name());
      released++;
    } else {
      plan.maintenanceChanges().put(machine.name(), new Maintenance(Stage.DRAINED, request.id()));
      drained++;
    }
  }

  private void collectCandidates(MachineView machine) {
    if (!machine.reachable()) {
      reasons.add("machine " + machine.name() + " is silent");
      return;
    }
    for (TaskView task : machine.tasks()) {
      if (task.stopping() || ledger.isDisrupted(task.task())) {
        continue;
      }
      if (!task.running()) {
        reasons.add(task.task() + " is starting");
      } else if (task.remaining()
          .map(r -> r.compareTo(DrainPlanner.MAX_WAIT_FOR_COMPLETION) <= 0)
          .orElse(false)) {
        reasons.add(task.task() + " ends by itself soon");
      } else {
        candidates.add(task);
      }
    }
  }

  /** Cordons machines up to the limit, those with the fewest tasks first. */
  private void cordonNext(List<MachineView> machinesInService) {
    machinesInService.sort(
        Comparator.comparingInt((MachineView m) -> m.tasks().size())
            .thenComparing(MachineView::name));
    for (MachineView machine : machinesInService) {
      if (cordoned >= request.maxConcurrentMachines()) {
        return;
      }
      if (plan.maintenanceChanges().containsKey(machine.name())
          || !machine.maintenance().isInService()) {
        reasons.add("machine " + machine.name() + " is in another drain's hands");
      } else if (!machine.reachable()) {
        reasons.add("machine " + machine.name() + " is silent or not up");
      } else {
        plan.maintenanceChanges()
            .put(machine.name(), new Maintenance(Stage.CORDONED, request.id()));
        cordoned++;
        inService--;
        remainingTasks += machine.tasks().size();
      }
    }
  }

  /** Requests to stop the next candidate task; returns false if no candidate is left. */
  boolean grantNext(DisruptionLedger disruptionLedger, ReplacementCapacity capacity) {
    TaskView task = candidates.poll();
    if (task == null) {
      return false;
    }
    if (disruptionLedger.isDisrupted(task.task())) {
      return true; // The task is stopped together with another task of its gang.
    }
    Optional<String> rejection = capacity.reserve(task);
    if (rejection.isPresent()) {
      plan.tasksWithoutCapacity().add(task);
    } else {
      rejection = disruptionLedger.trySpend(task.disruptions());
    }
    if (rejection.isPresent()) {
      reasons.add(task.task() + ": " + rejection.get());
    } else {
      plan.tasksToStop().add(task);
    }
    return true;
  }

  /** Returns the status of the drain; valid once {@link #grantNext} has returned false. */
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
