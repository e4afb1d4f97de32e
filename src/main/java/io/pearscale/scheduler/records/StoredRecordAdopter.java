package io.pearscale.scheduler.records;

import io.pearscale.scheduler.model.Job;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.storage.MachineRecordCodec;
import io.pearscale.storage.MachineRecordCodec.MachineRecord;
import io.pearscale.storage.RecordLayout;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Adopts stored records at the start of a term. Records in the layout in force keep their slots;
 * records in the previous layout are assigned new slots and registered for copying.
 */
final class StoredRecordAdopter {
  private final PackedRecords packed;
  private final PreviousLayoutRecords previousLayout;

  /** Partitions whose records were found in the layout in force when the term began. */
  private final Set<JobPartition> foundPartitions = new HashSet<>();

  /** Creates an adopter that fills the given records. */
  StoredRecordAdopter(PackedRecords packed, PreviousLayoutRecords previousLayout) {
    this.packed = packed;
    this.previousLayout = previousLayout;
  }

  /** Clears the found partitions at the start of a term. */
  void clearFoundPartitions() {
    foundPartitions.clear();
  }

  /** Adopts a machine's record; a record in the previous layout is registered for copying. */
  void adoptMachine(Machine machine, StoredRecords.StoredMachine stored) {
    if (stored.layout() != packed.layout()) {
      packed.assignSlot(machine);
      previousLayout.add(
          stored.key(), machine.record().isRecorded() ? List.of() : List.of(machine));
      return;
    }
    MachineRecord record = stored.record();
    int size = MachineRecordCodec.maxEncodedSize(record);
    if (packed.layout() == RecordLayout.NUMBERED) {
      machine.record().assignNumber(record.number());
      packed.machines().adopt(machine, size, stored.value());
    } else {
      packed.machines().adopt(machine, size, stored.value(), record.number());
    }
    machine.record().markRecorded();
  }

  /** Marks the record number of a stored machine as in use. */
  void reserveRecordNumber(StoredRecords.StoredMachine stored) {
    if (stored.layout() == RecordLayout.NUMBERED) {
      packed.recordNumbers().reserve(stored.record().number());
    }
  }

  /**
   * Adopts a placement record of a job; a record in the previous layout is registered for copying.
   */
  void adoptPartition(Job job, StoredRecords.StoredPartition stored) {
    int firstTask = stored.record().firstTask();
    RecordLayout layout = packed.layout();
    if (stored.layout() == layout) {
      JobPartition partition = JobPartition.containing(job, firstTask, layout);
      packed.placements().adopt(partition, partition.maximumRecordSize(layout), stored.value());
      foundPartitions.add(partition);
      return;
    }
    int end = firstTask + stored.layout().tasksPerPartition();
    List<JobPartition> partitions = JobPartition.covering(job, firstTask, end, layout);
    partitions.removeIf(foundPartitions::contains);
    partitions.forEach(packed::assignSlot);
    previousLayout.add(stored.key(), partitions);
  }

  /**
   * Registers a placement record that describes no task that may still exist. A value in the
   * previous layout can be deleted without a copy of this record.
   */
  void registerObsolete(StoredRecords.StoredPartition stored) {
    if (stored.layout() != packed.layout()) {
      previousLayout.add(stored.key(), List.of());
    }
  }

  /** Returns whether records are written in the given layout. */
  boolean isCurrentLayout(RecordLayout layout) {
    return layout == packed.layout();
  }
}
