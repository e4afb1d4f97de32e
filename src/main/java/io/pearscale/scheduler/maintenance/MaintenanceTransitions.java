package io.pearscale.scheduler.maintenance;

import io.pearscale.scheduler.model.AgentTimings;
import io.pearscale.scheduler.model.DecisionRecorder;
import io.pearscale.scheduler.model.LeaderState;
import io.pearscale.scheduler.model.Leadership;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.MachineInventory;
import io.pearscale.storage.Maintenance;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Changes the maintenance state of machines and ends their probation. */
final class MaintenanceTransitions {
  private static final Logger LOG = LoggerFactory.getLogger(MaintenanceTransitions.class);

  /** Probation ends after a machine has been responsive for this many lease periods in a row. */
  private static final int PROBATION_LEASES = 2;

  private final Leadership leadership;
  private final MachineInventory inventory;
  private final DecisionRecorder records;
  private final AgentTimings timings;
  private final Responsiveness responsiveness;
  private final Map<Machine, Instant> probationSince = new HashMap<>();

  /** Creates transitions for the machines of a leader. */
  MaintenanceTransitions(LeaderState state, AgentTimings timings, Responsiveness responsiveness) {
    this.leadership = state.leadership();
    this.inventory = state.inventory();
    this.records = state.records();
    this.timings = timings;
    this.responsiveness = responsiveness;
  }

  /** Begins a term; the probation of all machines starts again. */
  void beginTerm() {
    probationSince.clear();
  }

  /** Changes the maintenance state of a machine, and records it as soon as possible. */
  void change(String name, Maintenance maintenance) {
    Machine machine = inventory.get(name);
    LOG.info(
        "event=maintenance term={} machine={} stage={} drain={}",
        leadership.term(),
        name,
        maintenance.stage(),
        maintenance.drain());
    machine.changeMaintenance(maintenance);
    if (!maintenance.isSchedulable()) {
      inventory.withdrawPlanned(machine);
    }
    records.assignSlot(machine);
    records.recordMachineNow(machine);
  }

  /** Returns machines whose drain no longer exists to service, starting with probation. */
  void returnOrphanedToService(Predicate<String> isKnownDrain) {
    for (Machine machine : List.copyOf(inventory.all())) {
      boolean orphaned =
          !machine.maintenance().isSchedulable()
              && !isKnownDrain.test(machine.maintenance().drain());
      if (orphaned) {
        change(machine.name(), new Maintenance(Maintenance.Stage.PROBATION, ""));
      }
    }
  }

  /** Returns all machines to service: below schema level 1, maintenance can't be recorded. */
  void returnAllToService() {
    for (Machine machine : List.copyOf(inventory.all())) {
      if (!machine.maintenance().isInService()) {
        change(machine.name(), Maintenance.IN_SERVICE);
      }
    }
  }

  /**
   * Ends the probation of responsive machines that hold an image or served their full probation.
   */
  void endProbations(Instant now) {
    for (Machine machine : List.copyOf(inventory.all())) {
      if (machine.maintenance().stage() != Maintenance.Stage.PROBATION) {
        probationSince.remove(machine);
        continue;
      }
      boolean responsive = responsiveness.isResponsive(machine, now);
      Instant since = probationSince.computeIfAbsent(machine, m -> now);
      if (!responsive) {
        probationSince.put(machine, now);
      }
      Instant probationEndsAt = since.plus(timings.leaseTtl().multipliedBy(PROBATION_LEASES));
      if (responsive && (!machine.images().isEmpty() || now.isAfter(probationEndsAt))) {
        change(machine.name(), Maintenance.IN_SERVICE);
      }
    }
  }
}
