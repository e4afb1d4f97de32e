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
 * Rebuilds a new leader's machines, jobs and attempts from the records of its predecessors. If a
 * machine or a task is recorded in both layouts, the record in the layout in force is newer and the
 * other record is ignored.
 */
final class RecordAdoption {
  private final JobTable jobs;
  private final MachineInventory inventory;
  private final LeaderRecords records;
  private final StoredRecordAdopter adopter;
  private final InstantSource clock;
  private final Map<RecordLayout, Map<Integer, Machine>> machinesByReference =
      new EnumMap<>(RecordLayout.class);

  /** The tasks of each job that have a record in the layout in force. */
  private final Map<String, BitSet> tasksInCurrentLayout = new HashMap<>();

  /** Ended jobs whose attempts may still exist. */
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
    stored.partitions().forEach(this::registerOrphanedJob);
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

  /** Registers an ended job with enough tasks to cover all attempts that may still exist. */
  private void registerOrphanedJob(StoredPartition stored) {
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
      adopter.registerObsolete(stored);
    }
  }

  /**
   * Adopts the placement record of a partition. A task that is not done can only be on the machine
   * that its record refers to: the record is durable before the start command is sent, and changes
   * only after the task is proved absent from that machine. The task therefore waits only for that
   * machine.
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
      // The tasks of a gang complete together, including those in partitions that were not
      // rewritten.
      job.markAllDone();
    }
    adopter.adoptPartition(job, stored);
    for (int i = 0;
        i < record.machineReferences().length && firstTask + i < job.spec().tasks();
        i++) {
      Machine machine = machinesByReference.get(stored.layout()).get(record.machineReferences()[i]);
      if (machine != null && !job.isDone(firstTask + i) && !alreadyAdopted.get(firstTask + i)) {
        TaskAttempt recoveredAttempt =
            TaskAttempt.fromRecord(
                job, new TaskId(job.spec().id(), firstTask + i), machine, clock.instant());
        inventory.add(recoveredAttempt);
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
