package io.pearscale.scheduler.records;

import io.pearscale.protocol.TaskId;
import io.pearscale.scheduler.model.Job;
import io.pearscale.scheduler.model.JobTable;
import io.pearscale.scheduler.model.LeaderState;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.Machine.Lifecycle;
import io.pearscale.scheduler.model.MachineInventory;
import io.pearscale.scheduler.model.MachineRecordMapper;
import io.pearscale.scheduler.model.TaskAttempt;
import io.pearscale.scheduler.records.StoredRecords.StoredMachine;
import io.pearscale.scheduler.records.StoredRecords.StoredPartition;
import io.pearscale.storage.MachineRecordCodec;
import io.pearscale.storage.PlacementRecordCodec;
import io.pearscale.storage.RecordLayout;
import java.time.Instant;
import java.time.InstantSource;
import java.util.BitSet;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/**
 * Rebuilds a new leader's machines, jobs and attempts from the records of its predecessors. Of a
 * machine or a task that is recorded in both layouts, the record in the layout in force is newer,
 * and the other is passed over.
 */
final class RecordAdoption {
  private final JobTable jobs;
  private final MachineInventory inventory;
  private final LeaderRecords records;
  private final StoredRecordAdopter adopter;
  private final InstantSource clock;
  private final Map<RecordLayout, Map<Integer, Machine>> machinesByReference =
      new EnumMap<>(RecordLayout.class);

  /** Of each job, the tasks that have a record in the layout in force. */
  private final Map<String, BitSet> tasksInCurrentLayout = new HashMap<>();

  /** Jobs that are over, while attempts of them may still exist. */
  private final Map<String, Job> orphanedJobs = new HashMap<>();

  RecordAdoption(LeaderState state, LeaderRecords records) {
    this.jobs = state.jobs();
    this.inventory = state.inventory();
    this.records = records;
    this.adopter = records.adopter();
    this.clock = state.clock();
    for (RecordLayout layout : RecordLayout.values()) {
      machinesByReference.put(layout, new HashMap<>());
    }
  }

  /** Adopts all records. */
  void adopt(StoredRecords stored) {
    stored.machines().forEach(adopter::reserveRecordNumber);
    stored.machines().forEach(this::adopt);
    stored.partitions().forEach(this::noteOrphanedJob);
    stored.partitions().forEach(this::adopt);
    for (Job job : orphanedJobs.values()) {
      for (TaskAttempt attempt : job.attempts().values()) {
        attempt.requestStop();
        attempt.forbidCheckpoint();
      }
      if (job.attempts().isEmpty()) {
        records.removeJob(job);
      }
    }
  }

  private void adopt(StoredMachine stored) {
    MachineRecordCodec.MachineRecord record = stored.record();
    Machine machine = inventory.get(record.machine());
    if (machine == null) {
      machine =
          MachineRecordMapper.fromRecord(
              record, inventory.catalogue().typeOf(record.type()), clock.instant());
      inventory.addFromPreviousLeader(machine);
    } else if (record.retiring() && machine.lifecycle() != Lifecycle.RETIRING) {
      // Once recorded as retiring, in either layout, a machine may be deleted at any time.
      machine.beginRetirement();
      machine.record().markRetiring();
    }
    machinesByReference.get(stored.layout()).put(stored.reference(), machine);
    adopter.adoptMachine(machine, stored);
  }

  /** Notes a job that is over, with the number of tasks of which attempts may still exist. */
  private void noteOrphanedJob(StoredPartition stored) {
    PlacementRecordCodec.PartitionRecord record = stored.record();
    if (jobs.get(record.job()) == null && record.quotaClaim().isPresent()) {
      Instant now = clock.instant();
      orphanedJobs.merge(
          record.job(),
          Job.orphaned(record, record.quotaClaim().get(), now),
          (a, b) -> a.spec().tasks() >= b.spec().tasks() ? a : b);
    }
  }

  private void adopt(StoredPartition stored) {
    PlacementRecordCodec.PartitionRecord record = stored.record();
    Job job = jobs.get(record.job());
    if (job == null) {
      job = orphanedJobs.get(record.job());
    }
    if (job != null && record.firstTask() >= 0 && record.firstTask() < job.spec().tasks()) {
      adopt(job, stored);
    } else {
      adopter.noteObsolete(stored);
    }
  }

  /**
   * Adopts the placement record of a partition. A task that is not done may be on the machine that
   * its record names, and on no other: the record is durable before the start command is sent, and
   * changes only once the task is proven absent there. So the task waits for that machine alone.
   */
  private void adopt(Job job, StoredPartition stored) {
    PlacementRecordCodec.PartitionRecord record = stored.record();
    BitSet alreadyAdopted =
        tasksInCurrentLayout.computeIfAbsent(job.spec().id(), id -> new BitSet());
    boolean currentLayout = adopter.isCurrentLayout(stored.layout());
    int firstTask = record.firstTask();
    record.doneTasks().stream()
        .map(i -> firstTask + i)
        .filter(task -> task < job.spec().tasks())
        .forEach(job::markDone);
    job.recordDurablyDone(firstTask, record.doneTasks());
    if (job.spec().isGang() && job.hasDoneTasks()) {
      // Its tasks complete together, also those of parts that were not written again.
      job.markAllDone();
    }
    adopter.adoptPartition(job, stored);
    for (int i = 0;
        i < record.machineReferences().length && firstTask + i < job.spec().tasks();
        i++) {
      Machine machine = machinesByReference.get(stored.layout()).get(record.machineReferences()[i]);
      if (machine != null && !job.isDone(firstTask + i) && !alreadyAdopted.get(firstTask + i)) {
        TaskAttempt assumed =
            TaskAttempt.fromRecord(
                job, new TaskId(job.spec().id(), firstTask + i), machine, clock.instant());
        inventory.add(assumed);
      }
    }
    if (currentLayout) {
      alreadyAdopted.set(firstTask, firstTask + stored.layout().tasksPerPartition());
    }
    if (job.isComplete()) {
      records.adoptFinishedJob(job);
    }
  }
}
