package io.pearscale.drain;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pearscale.drain.DisruptionBudget.Availability;
import io.pearscale.drain.DisruptionBudget.Kind;
import io.pearscale.drain.DisruptionLedger.Group;
import io.pearscale.drain.DrainPlanner.Drain;
import io.pearscale.drain.DrainPlanner.MachineView;
import io.pearscale.drain.DrainPlanner.Plan;
import io.pearscale.drain.DrainPlanner.TaskView;
import io.pearscale.drain.DrainRequest.CompletionAction;
import io.pearscale.drain.DrainRequest.DesiredState;
import io.pearscale.protocol.MalformedMessageException;
import io.pearscale.protocol.TaskId;
import io.pearscale.storage.Maintenance;
import io.pearscale.storage.Maintenance.Stage;
import java.time.DayOfWeek;
import java.time.Duration;
import java.time.Instant;
import java.time.LocalTime;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests the decisions of drains: fairness, budgets, windows, final states and reported reasons. */
class DrainPlannerTest {
  private static final Instant NOW = Instant.parse("2026-12-02T12:00:00Z");
  private static final Group GROUP = new Group("t", "c");
  private final Map<String, MachineView> machines = new HashMap<>();
  private final Map<String, MaintenanceWindow> windows = new HashMap<>();
  private final List<Drain> drains = new ArrayList<>();
  private int jobCount;

  private static DisruptionLedger ledger(Kind kind, double amount) {
    return new DisruptionLedger(List.of(new DisruptionBudget("t", Optional.empty(), kind, amount)));
  }

  private TaskView task(boolean running, Optional<Duration> remaining) {
    TaskId id = new TaskId("wk-" + ++jobCount, 0);
    return new TaskView(id, "t", "c", running, false, remaining, Duration.ZERO, List.of());
  }

  private void addMachine(String name, Maintenance maintenance, int tasks) {
    List<TaskView> list = new ArrayList<>();
    for (int i = 0; i < tasks; i++) {
      list.add(task(true, Optional.empty()));
    }
    machines.put(name, new MachineView(name, maintenance, true, true, list));
  }

  private static Maintenance cordoned(String drain) {
    return new Maintenance(Stage.CORDONED, drain);
  }

  private void addDrain(
      String id,
      CompletionAction completionAction,
      DesiredState desiredState,
      Optional<String> window,
      String... machineNames) {
    drains.add(
        new Drain(
            new DrainRequest(
                id,
                "s",
                2,
                completionAction,
                desiredState,
                NOW.minusSeconds(60),
                NOW.plusSeconds(60),
                window),
            List.of(machineNames)));
  }

  private Plan plan(DisruptionLedger ledger, Instant now) {
    return new DrainPlanner(windows).plan(drains, machines, ledger, task -> Optional.empty(), now);
  }

  @Test
  void drainsShareABudgetRoundRobin() {
    addMachine("m-1", cordoned("d1"), 5);
    addMachine("m-2", cordoned("d2"), 5);
    addDrain("d1", CompletionAction.HOLD, DesiredState.RUN, Optional.empty(), "m-1");
    addDrain("d2", CompletionAction.HOLD, DesiredState.RUN, Optional.empty(), "m-2");
    DisruptionLedger ledger = ledger(Kind.MAX_UNAVAILABLE, 4);
    ledger.updateAvailability(Map.of(GROUP, new Availability(10, 0, Duration.ZERO)));
    Plan plan = plan(ledger, NOW);
    assertEquals(4, plan.tasksToStop().size());
    assertEquals(
        2, plan.tasksToStop().stream().filter(machines.get("m-1").tasks()::contains).count());
    assertTrue(
        plan.statuses().get("d1").reasons().get(0).contains("budget t * most-down 4"),
        "" + plan.statuses());
  }

  /** Adds a gang of four tasks: two on a machine that is being drained, and two elsewhere. */
  private void addGangOfFour() {
    List<TaskId> gang = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      gang.add(new TaskId("wk-gang", i));
    }
    List<TaskView> tasksOnMachine = new ArrayList<>();
    for (TaskId task : gang.subList(0, 2)) {
      List<TaskId> otherMembers = gang.stream().filter(member -> !member.equals(task)).toList();
      tasksOnMachine.add(
          new TaskView(task, "t", "c", true, false, Optional.empty(), Duration.ZERO, otherMembers));
    }
    machines.put("m-1", new MachineView("m-1", cordoned("d1"), true, true, tasksOnMachine));
    addDrain("d1", CompletionAction.HOLD, DesiredState.RUN, Optional.empty(), "m-1");
  }

  @Test
  void allOrNoTasksOfAGangAreDisrupted() {
    addGangOfFour();
    DisruptionLedger insufficient = ledger(Kind.MAX_UNAVAILABLE, 3);
    insufficient.updateAvailability(Map.of(GROUP, new Availability(10, 0, Duration.ZERO)));
    assertEquals(0, plan(insufficient, NOW).tasksToStop().size());
    assertEquals(0, insufficient.openDisruptions().size());

    DisruptionLedger sufficient = ledger(Kind.MAX_UNAVAILABLE, 4);
    sufficient.updateAvailability(Map.of(GROUP, new Availability(10, 0, Duration.ZERO)));
    assertEquals(1, plan(sufficient, NOW).tasksToStop().size());
    assertEquals(4, sufficient.openDisruptions().size());
  }

  @Test
  void unavailableTasksCountAgainstTheBudget() {
    addMachine("m-1", cordoned("d1"), 2);
    addDrain("d1", CompletionAction.HOLD, DesiredState.RUN, Optional.empty(), "m-1");
    for (Kind kind : Kind.values()) {
      double amount =
          switch (kind) {
            case MAX_UNAVAILABLE -> 1;
            case MAX_UNAVAILABLE_SHARE -> 0.1;
            case MIN_AVAILABLE -> 9;
            case MAX_LOST_WORK_SECONDS -> 5;
          };
      DisruptionLedger ledger = ledger(kind, amount);
      ledger.updateAvailability(Map.of(GROUP, new Availability(10, 1, Duration.ofSeconds(6))));
      assertEquals(0, plan(ledger, NOW).tasksToStop().size(), "" + kind);
      ledger.updateAvailability(Map.of(GROUP, new Availability(10, 0, Duration.ZERO)));
      assertFalse(plan(ledger, NOW).tasksToStop().isEmpty(), "" + kind);
    }
  }

  @Test
  void defaultBudgetAppliesToEachTeamSeparately() {
    DisruptionLedger none = new DisruptionLedger(List.of());
    Disruption first = new Disruption(new TaskId("wk-1", 0), "x", "c", true, Duration.ZERO);
    assertEquals(Optional.of("no budget covers x c"), none.trySpend(first));
    DisruptionLedger ledger = ledger(Kind.MAX_UNAVAILABLE, 5);
    ledger =
        new DisruptionLedger(
            List.of(
                ledger.budgets().get(0),
                new DisruptionBudget("*", Optional.empty(), Kind.MAX_UNAVAILABLE, 1)));
    assertEquals(Optional.empty(), ledger.trySpend(first));
    assertTrue(
        ledger
            .trySpend(new Disruption(new TaskId("wk-2", 0), "x", "c", true, Duration.ZERO))
            .isPresent());
    assertEquals(
        Optional.empty(),
        ledger.trySpend(new Disruption(new TaskId("wk-3", 0), "y", "c", true, Duration.ZERO)));
  }

  @Test
  void blockedLedgerRefusesAllDisruptions() {
    DisruptionLedger ledger = ledger(Kind.MAX_UNAVAILABLE, 5);
    ledger.blockAll("c/disrupted/0");
    Disruption disruption = new Disruption(new TaskId("wk-1", 0), "t", "c", true, Duration.ZERO);
    assertEquals(Optional.of("c/disrupted/0"), ledger.trySpend(disruption));
  }

  @Test
  void emptiestMachinesAreCordonedFirstUpToTheLimit() {
    addMachine("m-1", Maintenance.IN_SERVICE, 3);
    addMachine("m-2", Maintenance.IN_SERVICE, 0);
    addMachine("m-3", Maintenance.IN_SERVICE, 1);
    addDrain(
        "d1",
        CompletionAction.HOLD,
        DesiredState.RUN,
        Optional.empty(),
        "m-1",
        "m-2",
        "m-3",
        "m-gone");
    Plan plan = plan(ledger(Kind.MAX_UNAVAILABLE, 5), NOW);
    assertEquals(Map.of("m-2", cordoned("d1"), "m-3", cordoned("d1")), plan.maintenanceChanges());
    assertEquals(
        List.of(), plan.tasksToStop(), "tasks are stopped only after the cordon is durable");
    assertEquals(1, plan.statuses().get("d1").released());
  }

  @Test
  void emptyMachinesAreHeldOrTerminated() {
    addMachine("m-1", cordoned("d1"), 0);
    addMachine("m-2", cordoned("d2"), 0);
    addDrain("d1", CompletionAction.HOLD, DesiredState.RUN, Optional.empty(), "m-1");
    addDrain("d2", CompletionAction.TERMINATE, DesiredState.RUN, Optional.empty(), "m-2");
    Plan plan = plan(ledger(Kind.MAX_UNAVAILABLE, 5), NOW);
    assertEquals(Map.of("m-1", new Maintenance(Stage.DRAINED, "d1")), plan.maintenanceChanges());
    assertEquals(List.of("m-2"), plan.machinesToTerminate());
    assertEquals(DrainStatus.State.DRAINED, plan.statuses().get("d1").state());
  }

  @Test
  void cancelledOrExpiredDrainReturnsMachinesToService() {
    addMachine("m-1", cordoned("d1"), 2);
    addMachine("m-2", new Maintenance(Stage.DRAINED, "d1"), 0);
    addDrain("d1", CompletionAction.HOLD, DesiredState.CANCEL, Optional.empty(), "m-1", "m-2");
    Plan cancelled = plan(ledger(Kind.MAX_UNAVAILABLE, 5), NOW);
    assertEquals(
        Map.of("m-1", Maintenance.IN_SERVICE, "m-2", new Maintenance(Stage.PROBATION, "d1")),
        cancelled.maintenanceChanges());
    assertEquals(List.of(), cancelled.tasksToStop());
    drains.clear();
    addDrain("d1", CompletionAction.HOLD, DesiredState.RUN, Optional.empty(), "m-1", "m-2");
    Plan expired = plan(ledger(Kind.MAX_UNAVAILABLE, 5), NOW.plusSeconds(61));
    assertEquals(Map.of("m-1", Maintenance.IN_SERVICE), expired.maintenanceChanges());
    assertEquals(DrainStatus.State.FAILED, expired.statuses().get("d1").state());
    assertTrue(expired.statuses().get("d1").reasons().contains("its time was over"));
  }

  @Test
  void drainIsPausedOutsideItsWindow() {
    addMachine("m-1", cordoned("d1"), 2);
    addMachine("m-2", Maintenance.IN_SERVICE, 0);
    windows.put(
        "night",
        new MaintenanceWindow(
            "night",
            ZoneId.of("UTC"),
            EnumSet.allOf(DayOfWeek.class),
            LocalTime.of(22, 0),
            LocalTime.of(4, 0)));
    addDrain("d1", CompletionAction.HOLD, DesiredState.RUN, Optional.of("night"), "m-1", "m-2");
    addDrain("d2", CompletionAction.HOLD, DesiredState.RUN, Optional.of("other"), "m-2");
    Plan plan = plan(ledger(Kind.MAX_UNAVAILABLE, 5), NOW);
    assertEquals(Map.of(), plan.maintenanceChanges());
    assertEquals(List.of(), plan.tasksToStop());
    assertEquals(DrainStatus.State.PAUSED, plan.statuses().get("d1").state());
    assertEquals(
        List.of("window night opens at 2026-12-02T22:00:00Z"), plan.statuses().get("d1").reasons());
    assertEquals(List.of("no window is called other"), plan.statuses().get("d2").reasons());
  }

  @Test
  void unreachableStartingAndEndingTasksAreNotStopped() {
    TaskView starting = task(false, Optional.empty());
    TaskView ending = task(true, Optional.of(Duration.ofSeconds(30)));
    TaskView longer = task(true, Optional.of(Duration.ofMinutes(5)));
    machines.put(
        "m-1",
        new MachineView("m-1", cordoned("d1"), true, true, List.of(starting, ending, longer)));
    machines.put(
        "m-2",
        new MachineView("m-2", cordoned("d1"), true, false, List.of(task(true, Optional.empty()))));
    addDrain("d1", CompletionAction.HOLD, DesiredState.RUN, Optional.empty(), "m-1", "m-2");
    Plan plan = plan(ledger(Kind.MAX_UNAVAILABLE, 5), NOW);
    assertEquals(List.of(longer), plan.tasksToStop());
    assertEquals(
        List.of(
            starting.task() + " is starting",
            ending.task() + " ends by itself soon",
            "machine m-2 is silent"),
        plan.statuses().get("d1").reasons());
  }

  @Test
  void networkContainsHostsByAddress() throws MalformedMessageException {
    IpNetwork network = IpNetwork.parse("10.1.4.0/22");
    assertTrue(network.contains("10.1.7.255:9000"));
    assertFalse(network.contains("10.1.8.0:9000"));
    assertFalse(network.contains(""));
    assertFalse(network.contains("nowhere:1"));
    assertTrue(IpNetwork.parse("fd00:1::/32").contains("[fd00:1::7]:9000"));
    for (String bad : List.of("10.1.4.7/22", "10.1.4.0", "x", "10.1.4.0/40")) {
      assertThrows(MalformedMessageException.class, () -> IpNetwork.parse(bad), bad);
    }
  }
}
