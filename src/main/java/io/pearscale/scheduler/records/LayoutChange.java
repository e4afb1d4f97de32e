package io.pearscale.scheduler.records;

import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.TaskAttempt;
import io.pearscale.storage.Keys;
import io.pearscale.storage.RecordLayout;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Repacks all records when the schema level changes during a term and the new level has another
 * layout. Every stored value of the previous layout is registered for copying. Urgent placement
 * records stay urgent, and so do the records of machines that planned tasks or a deletion wait for.
 */
final class LayoutChange {
  private final PackedRecords packed;
  private final StoredValues storedValues;
  private final PreviousLayoutRecords previousLayout;

  /** Creates a layout change of the given records. */
  LayoutChange(
      PackedRecords packed, StoredValues storedValues, PreviousLayoutRecords previousLayout) {
    this.packed = packed;
    this.storedValues = storedValues;
    this.previousLayout = previousLayout;
  }

  /** Repacks all records for the layout in force. */
  void apply() {
    RecordLayout previous = packed.layout();
    RecordPacker<JobPartition> previousPlacements = packed.placements();
    RecordPacker<Machine> previousMachines = packed.machines();
    packed.resetToLayoutInForce();
    previousLayout.clear();
    for (String key : storedValues.machineValues().keySet()) {
      if (RecordLayout.ofMachineKey(key).orElseThrow() == previous) {
        previousLayout.add(key, previousMachines.itemsByPosition(Keys.valueNumber(key)).values());
      }
    }
    previousMachines.allItems().forEach(this::repackMachine);
    for (String key : storedValues.placementValues().keySet()) {
      if (RecordLayout.ofPlacementKey(key).orElseThrow() == previous) {
        previousLayout.add(
            key,
            inCurrentLayout(previousPlacements.itemsByPosition(Keys.valueNumber(key)).values()));
      }
    }
    repackPartitions(previousPlacements);
  }

  private void repackMachine(Machine machine) {
    machine.record().markUnrecorded();
    packed.assignSlot(machine);
    boolean hasPlannedTasks =
        machine.attempts().values().stream()
            .anyMatch(attempt -> attempt.stage() == TaskAttempt.Stage.PLANNED);
    if (hasPlannedTasks
        || (machine.lifecycle() == Machine.Lifecycle.RETIRING && !machine.record().isRetiring())) {
      packed.machines().markDue(machine);
    }
  }

  private void repackPartitions(RecordPacker<JobPartition> previousPlacements) {
    Set<JobPartition> urgent =
        inCurrentLayout(previousPlacements.itemsIn(previousPlacements.urgentValues()));
    for (JobPartition partition : inCurrentLayout(previousPlacements.allItems())) {
      packed.assignSlot(partition);
      if (urgent.contains(partition)) {
        packed.placements().markDue(partition);
      }
    }
  }

  private Set<JobPartition> inCurrentLayout(Collection<JobPartition> partitions) {
    Set<JobPartition> converted = new LinkedHashSet<>();
    for (JobPartition partition : partitions) {
      int end = partition.firstTask() + partition.taskCount();
      converted.addAll(
          JobPartition.covering(partition.job(), partition.firstTask(), end, packed.layout()));
    }
    return converted;
  }
}
