package io.pearscale.scheduler;

import io.pearscale.protocol.MachineType;
import io.pearscale.protocol.TaskId;
import io.pearscale.scheduler.Machine.Lifecycle;
import io.pearscale.scheduler.StoredRecords.StoredMachine;
import io.pearscale.scheduler.StoredRecords.StoredPart;
import io.pearscale.scheduler.TaskAttempt.Stage;
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
 * Takes the records of predecessors into a new leader's books. Of a machine or a task that stands
 * in both layouts, what the layout that is written says is newer, and the other is passed over.
 */
final class RecordAdoption {
  private final JobTable jobs;
  private final MachineInventory inventory;
  private final LeaderRecords records;
  private final InstantSource clock;
  private final Map<RecordLayout, Map<Integer, Machine>> numbered =
      new EnumMap<>(RecordLayout.class);

  /** Of each job, the tasks that a part in the layout that is written has told of. */
  private final Map<String, BitSet> told = new HashMap<>();

  /** Jobs that are over, of which tasks may be left. */
  private final Map<String, Job> remains = new HashMap<>();

  RecordAdoption(LeaderState state) {
    this.jobs = state.jobs();
    this.inventory = state.inventory();
    this.records = state.records();
    this.clock = state.clock();
    for (RecordLayout layout : RecordLayout.values()) {
      numbered.put(layout, new HashMap<>());
    }
  }

  /** Takes all of it over. */
  void adopt(StoredRecords stored) {
    stored.machines().forEach(records::noteNumber);
    stored.machines().forEach(this::adopt);
    stored.tasks().forEach(this::noteRemains);
    stored.tasks().forEach(this::adopt);
    for (Job job : remains.values()) {
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
    MachineRecordCodec.MachineRecord entry = stored.entry();
    Machine machine = inventory.get(entry.machine());
    if (machine == null) {
      machine = machineOf(entry);
      inventory.addFromPreviousLeader(machine);
    } else if (entry.retiring() && machine.lifecycle != Lifecycle.RETIRING) {
      // That it may be under deletion is never taken back, whichever record says so.
      machine.lifecycle = Lifecycle.RETIRING;
      machine.recordedRetiring = true;
    }
    numbered.get(stored.layout()).put(stored.number(), machine);
    records.adoptMachine(machine, stored);
  }

  private Machine machineOf(MachineRecordCodec.MachineRecord entry) {
    MachineType type = inventory.catalogue().typeOf(entry.type());
    boolean seen = !entry.address().isEmpty();
    Lifecycle life =
        entry.retiring() ? Lifecycle.RETIRING : seen ? Lifecycle.UP : Lifecycle.BOOTING;
    Machine machine =
        new Machine(entry.machine(), entry.zone(), entry.spot(), type, life, clock.instant());
    machine.address = entry.address();
    machine.recordedRetiring = entry.retiring();
    machine.recordedAddress = entry.address();
    machine.maintenance = entry.maintenance();
    machine.recordedMaintenance = entry.maintenance();
    machine.heartbeatEverReceived = seen;
    machine.lease.acceptFromRecorded(entry.incarnation());
    return machine;
  }

  /** Finds how many tasks a job had that is over, but may still be somewhere. */
  private void noteRemains(StoredPart stored) {
    PlacementRecordCodec.PartitionRecord part = stored.part();
    if (jobs.get(part.job()) == null && part.quotaClaim().isPresent()) {
      Instant now = clock.instant();
      remains.merge(
          part.job(),
          Job.orphaned(part, part.quotaClaim().get(), now),
          (a, b) -> a.spec.tasks() >= b.spec.tasks() ? a : b);
    }
  }

  private void adopt(StoredPart stored) {
    PlacementRecordCodec.PartitionRecord part = stored.part();
    Job job = jobs.get(part.job());
    if (job == null) {
      job = remains.get(part.job());
    }
    if (job != null && part.firstTask() >= 0 && part.firstTask() < job.spec.tasks()) {
      adopt(job, stored);
    } else {
      records.noteUnused(stored);
    }
  }

  /**
   * Takes over what is known of a part of a job. A task that is not done may be on the machine that
   * its mark names, and on no other: the mark is durable before the start is sent, and is changed
   * only when the task is known to be gone from there. So it waits for that machine alone.
   */
  private void adopt(Job job, StoredPart stored) {
    PlacementRecordCodec.PartitionRecord part = stored.part();
    BitSet known = told.computeIfAbsent(job.spec.id(), id -> new BitSet());
    boolean written = records.isWritten(stored.layout());
    int first = part.firstTask();
    part.completed().stream()
        .map(i -> first + i)
        .filter(task -> task < job.spec.tasks())
        .forEach(job.doneTasks::set);
    job.recordDurablyDone(first, part.completed());
    if (job.spec.isGang() && !job.doneTasks.isEmpty()) {
      // Its tasks complete together, also those of parts that were not written again.
      job.doneTasks.set(0, job.spec.tasks());
    }
    records.adoptPart(job, stored);
    for (int i = 0; i < part.machineReferences().length && first + i < job.spec.tasks(); i++) {
      Machine machine = numbered.get(stored.layout()).get(part.machineReferences()[i]);
      if (machine != null && !job.doneTasks.get(first + i) && !known.get(first + i)) {
        TaskAttempt assumed =
            new TaskAttempt(
                job,
                new TaskId(job.spec.id(), first + i),
                -1,
                machine,
                Stage.START_SENT,
                clock.instant());
        assumed.placementRecorded = true;
        inventory.add(assumed);
      }
    }
    if (written) {
      known.set(first, first + stored.layout().tasksPerPartition());
    }
    if (job.isComplete()) {
      records.adoptEnd(job);
    }
  }
}
