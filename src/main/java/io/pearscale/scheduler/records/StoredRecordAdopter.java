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
 * Takes stored records over at the start of a term: those of the layout in force keep their slots,
 * those of the previous layout get new ones and are noted as to be copied.
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

  /** Forgets which partitions were found: a term begins. */
  void clearFoundPartitions() {
    foundPartitions.clear();
  }

  /** Takes over a machine's record; one of the previous layout is to be copied. */
  void adoptMachine(Machine machine, StoredRecords.StoredMachine stored) {
    if (stored.layout() != packed.layout()) {
      packed.assignSlot(machine);
      previousLayout.add(
          stored.key(), machine.record().isRecorded() ? List.of() : List.of(machine));
      return;
    }
    MachineRecord record = stored.record();
    int size = MachineRecordCodec.maximumSize(record);
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

  /** Takes over the records of tasks of a job; those of the previous layout are to be copied. */
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

  /** Notes that this part of a stored value concerns no task that may still exist. */
  void noteObsolete(StoredRecords.StoredPartition stored) {
    if (stored.layout() != packed.layout()) {
      previousLayout.add(stored.key(), List.of());
    }
  }

  /** Whether records are written in that layout. */
  boolean isCurrentLayout(RecordLayout layout) {
    return layout == packed.layout();
  }
}
