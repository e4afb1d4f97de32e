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

/** Changes the maintenance state of machines, and ends their probation. */
final class MaintenanceTransitions {
  private static final Logger LOG = LoggerFactory.getLogger(MaintenanceTransitions.class);

  /** A machine has proven to work once it was responsive for so many leases on end. */
  private static final int PROBATION_LEASES = 2;

  private final Leadership leadership;
  private final MachineInventory inventory;
  private final DecisionRecorder records;
  private final AgentTimings times;
  private final Responsiveness responsiveness;
  private final Map<Machine, Instant> probationSince = new HashMap<>();

  /** Creates transitions for a leader's machines. */
  MaintenanceTransitions(LeaderState state, AgentTimings times, Responsiveness responsiveness) {
    this.leadership = state.leadership();
    this.inventory = state.inventory();
    this.records = state.records();
    this.times = times;
    this.responsiveness = responsiveness;
  }

  /** Forgets since when machines are in probation: a term begins. */
  void beginTerm() {
    probationSince.clear();
  }

  /** Changes a machine's maintenance state, and records it as soon as possible. */
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

  /** Puts machines back into service whose drain does not exist any more. */
  void releaseOrphaned(Predicate<String> isKnownDrain) {
    for (Machine machine : List.copyOf(inventory.all())) {
      boolean orphaned =
          !machine.maintenance().isSchedulable()
              && !isKnownDrain.test(machine.maintenance().drain());
      if (orphaned) {
        change(machine.name(), new Maintenance(Maintenance.Stage.PROBATION, ""));
      }
    }
  }

  /** Puts all machines back into service: below schema level 1 no record can hold maintenance. */
  void releaseAll() {
    for (Machine machine : List.copyOf(inventory.all())) {
      if (!machine.maintenance().isInService()) {
        change(machine.name(), Maintenance.IN_SERVICE);
      }
    }
  }

  /** Ends the probation of machines that have proven to work. */
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
      Instant provenAt = since.plus(times.leaseTtl().multipliedBy(PROBATION_LEASES));
      if (responsive && (!machine.images().isEmpty() || now.isAfter(provenAt))) {
        change(machine.name(), Maintenance.IN_SERVICE);
      }
    }
  }
}
