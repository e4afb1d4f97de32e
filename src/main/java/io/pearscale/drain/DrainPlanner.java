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
 * Decides what drains do next: which machines are cordoned, which tasks are stopped, which machines
 * are taken out of service or put back. Its only state is the rotation, by which drains share the
 * budgets: each round another one goes first, and tasks are granted to them round robin.
 */
public final class DrainPlanner {
  /** A task that is expected to end within this time is waited for instead of stopped. */
  static final Duration MAX_WAIT_FOR_COMPLETION = Duration.ofSeconds(60);

  /**
   * A task that is, or may be, on a machine.
   *
   * @param running whether it was observed running
   * @param stopping whether it is being stopped, for whatever reason
   * @param remaining expected time until it ends, if known; services have no end
   * @param lostWork running time that a stop would lose
   * @param gangMembers the other tasks of its gang: they are stopped with it, on whichever machine
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

    /** The disruptions that stopping it causes. */
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
   * A machine as it is now.
   *
   * @param maintenanceDurable whether its maintenance state is durably recorded
   * @param reachable whether it is up and responsive
   */
  public record MachineView(
      String name,
      Maintenance maintenance,
      boolean maintenanceDurable,
      boolean reachable,
      List<TaskView> tasks) {}

  /** A drain, and the names of its machines. */
  public record Drain(DrainRequest request, List<String> machines) {
    /** Whether it is not cancelled, and its deadline has not passed. */
    public boolean isActive(Instant now) {
      return request.desiredState() != DrainRequest.DesiredState.CANCEL
          && now.isBefore(request.deadline());
    }
  }

  /** Finds capacity for tasks on other machines. */
  public interface ReplacementCapacity {
    /** Reserves capacity for the task; returns why there is none, or empty if it is reserved. */
    Optional<String> reserve(TaskView task);
  }

  /**
   * What is to be done in this round.
   *
   * @param maintenanceChanges new maintenance states, by machine
   * @param tasksToStop tasks to be stopped, whose disruptions the ledger has granted
   * @param machinesToRelease empty machines to be terminated
   * @param tasksWithoutCapacity tasks for which there is no capacity elsewhere
   */
  public record Plan(
      Map<String, Maintenance> maintenanceChanges,
      List<TaskView> tasksToStop,
      List<String> machinesToRelease,
      List<TaskView> tasksWithoutCapacity,
      Map<String, DrainStatus> statuses) {}

  private final Map<String, MaintenanceWindow> windows;
  private int rotation;

  /** Creates a planner; the windows are by name. */
  public DrainPlanner(Map<String, MaintenanceWindow> windows) {
    this.windows = Map.copyOf(windows);
  }

  /**
   * Plans the next round.
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

  /** Asks for one task of each drain after the other, until no candidate is left. */
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
