package io.pearscale.drain;

import io.pearscale.protocol.TaskId;
import io.pearscale.storage.Maintenance;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Plans the next round of all drains: which machines to cordon, which tasks to stop, and which
 * machines to take out of service or return to service. The only state is the rotation that shares
 * the disruption budgets fairly: each round starts with a different drain, and tasks are granted to
 * the drains round robin.
 */
public final class DrainPlanner {
  /** A task that is expected to finish within this time is not stopped. */
  static final Duration MAX_WAIT_FOR_COMPLETION = Duration.ofSeconds(60);

  /**
   * A task that runs, or possibly runs, on a machine.
   *
   * @param running whether the task was observed running
   * @param stopping whether the task is being stopped, for any reason
   * @param remaining expected time until the task finishes; empty if unknown, and for services
   * @param lostWork running time that is lost if the task is stopped
   * @param gangMembers the other tasks of the gang, on any machine; they are stopped together with
   *     this task
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

    /** Returns the disruptions caused by stopping this task, one for each task of its gang. */
    List<Disruption> disruptions() {
      List<Disruption> all = new ArrayList<>();
      all.add(disruption(task));
      gangMembers.forEach(member -> all.add(disruption(member)));
      return all;
    }

    private Disruption disruption(TaskId stoppedTask) {
      return new Disruption(stoppedTask, team, jobClass, /* voluntary= */ true, lostWork);
    }
  }

  /**
   * The current state of a machine.
   *
   * @param maintenanceDurable whether the maintenance state is durably recorded
   * @param reachable whether the machine is up and responsive
   */
  public record MachineView(
      String name,
      Maintenance maintenance,
      boolean maintenanceDurable,
      boolean reachable,
      List<TaskView> tasks) {}

  /** A drain request and the names of the selected machines. */
  public record Drain(DrainRequest request, List<String> machines) {
    /** Returns whether the drain is not cancelled and its deadline has not passed. */
    public boolean isActive(Instant now) {
      return request.desiredState() != DrainRequest.DesiredState.CANCEL
          && now.isBefore(request.deadline());
    }
  }

  /** Reserves capacity on other machines for tasks that are to be stopped. */
  public interface ReplacementCapacity {
    /** Reserves capacity for the task; returns the reason if there is none, otherwise empty. */
    Optional<String> reserve(TaskView task);
  }

  /**
   * The actions of one round.
   *
   * @param maintenanceChanges new maintenance states, by machine name
   * @param tasksToStop tasks to stop, whose disruptions the ledger has granted
   * @param machinesToTerminate empty machines that are terminated
   * @param tasksWithoutCapacity tasks for which no capacity on other machines was reserved
   * @param statuses the status of each drain, by drain id
   */
  public record Plan(
      Map<String, Maintenance> maintenanceChanges,
      List<TaskView> tasksToStop,
      List<String> machinesToTerminate,
      List<TaskView> tasksWithoutCapacity,
      Map<String, DrainStatus> statuses) {}

  private final Map<String, MaintenanceWindow> windows;
  private int rotation;

  /** Creates a planner with the given maintenance windows by name. */
  public DrainPlanner(Map<String, MaintenanceWindow> windows) {
    this.windows = Map.copyOf(windows);
  }

  /**
   * Plans the next round.
   *
   * @param machines all machines, by name
   * @param now the wall clock time that maintenance windows and deadlines are compared with
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
    List<DrainRound> rounds = new ArrayList<>();
    for (Drain drain : rotated(drains)) {
      DrainRound round = new DrainRound(windows, drain, machines, plan, ledger, now);
      round.planMachines();
      rounds.add(round);
    }
    grantRoundRobin(rounds, ledger, capacity);
    rounds.forEach(round -> plan.statuses.put(round.drainId(), round.status()));
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

  /** Requests one task of each drain in turn until no drain has candidates left. */
  private static void grantRoundRobin(
      List<DrainRound> rounds, DisruptionLedger ledger, ReplacementCapacity capacity) {
    boolean candidatesLeft = true;
    while (candidatesLeft) {
      candidatesLeft = false;
      for (DrainRound round : rounds) {
        candidatesLeft |= round.grantNext(ledger, capacity);
      }
    }
  }
}
