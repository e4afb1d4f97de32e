package io.pearscale.scheduler.records;

import io.pearscale.protocol.MachineType;
import io.pearscale.protocol.TaskId;
import io.pearscale.scheduler.model.Job;
import io.pearscale.scheduler.model.JobTable;
import io.pearscale.scheduler.model.LeaderState;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.Machine.Lifecycle;
import io.pearscale.scheduler.model.MachineInventory;
import io.pearscale.scheduler.model.TaskAttempt;
import io.pearscale.scheduler.model.TaskAttempt.Stage;
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

  RecordAdoption(LeaderState state) {
    this.jobs = state.jobs();
    this.inventory = state.inventory();
    this.records = state.records();
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
      for (TaskAttempt attempt : job.attempts.values()) {
        attempt.stopping = true;
        attempt.stopsWithoutCheckpoint = true;
      }
      if (job.attempts.isEmpty()) {
        records.removeJob(job);
      }
    }
  }

  private void adopt(StoredMachine stored) {
    MachineRecordCodec.MachineRecord record = stored.record();
    Machine machine = inventory.get(record.machine());
    if (machine == null) {
      machine = machineOf(record);
      inventory.addFromPreviousLeader(machine);
    } else if (record.retiring() && machine.lifecycle != Lifecycle.RETIRING) {
      // Once recorded as retiring, in either layout, a machine may be deleted at any time.
      machine.lifecycle = Lifecycle.RETIRING;
      machine.recordedRetiring = true;
    }
    machinesByReference.get(stored.layout()).put(stored.reference(), machine);
    adopter.adoptMachine(machine, stored);
  }

  private Machine machineOf(MachineRecordCodec.MachineRecord record) {
    MachineType type = inventory.catalogue().typeOf(record.type());
    boolean hasReported = !record.address().isEmpty();
    Lifecycle life =
        record.retiring() ? Lifecycle.RETIRING : hasReported ? Lifecycle.UP : Lifecycle.BOOTING;
    Machine machine =
        new Machine(record.machine(), record.zone(), record.spot(), type, life, clock.instant());
    machine.address = record.address();
    machine.recordedRetiring = record.retiring();
    machine.recordedAddress = record.address();
    machine.maintenance = record.maintenance();
    machine.recordedMaintenance = record.maintenance();
    machine.heartbeatEverReceived = hasReported;
    machine.lease.acceptFromRecorded(record.incarnation());
    return machine;
  }

  /** Notes a job that is over, with the number of tasks of which attempts may still exist. */
  private void noteOrphanedJob(StoredPartition stored) {
    PlacementRecordCodec.PartitionRecord record = stored.record();
    if (jobs.get(record.job()) == null && record.quotaClaim().isPresent()) {
      Instant now = clock.instant();
      orphanedJobs.merge(
          record.job(),
          Job.orphaned(record, record.quotaClaim().get(), now),
          (a, b) -> a.spec.tasks() >= b.spec.tasks() ? a : b);
    }
  }

  private void adopt(StoredPartition stored) {
    PlacementRecordCodec.PartitionRecord record = stored.record();
    Job job = jobs.get(record.job());
    if (job == null) {
      job = orphanedJobs.get(record.job());
    }
    if (job != null && record.firstTask() >= 0 && record.firstTask() < job.spec.tasks()) {
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
    BitSet alreadyAdopted = tasksInCurrentLayout.computeIfAbsent(job.spec.id(), id -> new BitSet());
    boolean currentLayout = adopter.isCurrentLayout(stored.layout());
    int firstTask = record.firstTask();
    record.doneTasks().stream()
        .map(i -> firstTask + i)
        .filter(task -> task < job.spec.tasks())
        .forEach(job.doneTasks::set);
    job.recordDurablyDone(firstTask, record.doneTasks());
    if (job.spec.isGang() && !job.doneTasks.isEmpty()) {
      // Its tasks complete together, also those of parts that were not written again.
      job.doneTasks.set(0, job.spec.tasks());
    }
    adopter.adoptPartition(job, stored);
    for (int i = 0;
        i < record.machineReferences().length && firstTask + i < job.spec.tasks();
        i++) {
      Machine machine = machinesByReference.get(stored.layout()).get(record.machineReferences()[i]);
      if (machine != null
          && !job.doneTasks.get(firstTask + i)
          && !alreadyAdopted.get(firstTask + i)) {
        TaskAttempt assumed =
            new TaskAttempt(
                job,
                new TaskId(job.spec.id(), firstTask + i),
                -1,
                machine,
                Stage.START_SENT,
                clock.instant());
        assumed.placementRecorded = true;
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
