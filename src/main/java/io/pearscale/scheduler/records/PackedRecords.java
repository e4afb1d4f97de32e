package io.pearscale.scheduler.records;

import io.pearscale.protocol.Settings.StoreLimits;
import io.pearscale.scheduler.model.Job;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.MachineRecordMapper;
import io.pearscale.storage.Keys;
import io.pearscale.storage.MachineRecordCodec;
import io.pearscale.storage.PlacementRecordCodec;
import io.pearscale.storage.RecordLayout;
import io.pearscale.upgrade.LevelGate;
import java.time.Instant;
import java.util.Optional;

/**
 * The machine records and placement records of this leader in the layout that it writes: which
 * stored value each record is packed into, and which values are due. Owned by {@link
 * LeaderRecords}.
 */
final class PackedRecords {
  /** Upper bound in bytes for a packed value, whatever the store accepts. */
  private static final int MAX_PACKED_VALUE_BYTES = 6000;

  private final LevelGate gate;
  private final int packedValueBytes;
  private final MachineRecordNumbers recordNumbers = new MachineRecordNumbers();
  private RecordLayout layout;
  private RecordPacker<JobPartition> placements;
  private RecordPacker<Machine> machines;

  /**
   * Creates empty records in the layout in force.
   *
   * @param gate supplies the schema level in whose layout records are written
   */
  PackedRecords(StoreLimits limits, LevelGate gate) {
    this.gate = gate;
    this.packedValueBytes = Math.min(MAX_PACKED_VALUE_BYTES, limits.maxValueBytes() * 3 / 4);
    clear();
  }

  /** Drops all records and record numbers, and takes the layout in force. */
  void clear() {
    startLayoutInForce();
    recordNumbers.reset();
  }

  /** Takes the layout in force with empty packers; record numbers stay allocated. */
  void startLayoutInForce() {
    layout = layoutInForce();
    placements = new RecordPacker<>(packedValueBytes);
    machines = new RecordPacker<>(packedValueBytes);
  }

  /** The layout of the schema level that is written now. */
  RecordLayout layoutInForce() {
    return RecordLayout.ofLevel(gate.inForce().writtenLevel());
  }

  /** Whether the records are packed for the layout in force; false after the level has changed. */
  boolean isInLayoutInForce() {
    return layout == layoutInForce();
  }

  /** The layout that the records are packed for. */
  RecordLayout layout() {
    return layout;
  }

  /** The values of placement records; another object after a change of layout. */
  RecordPacker<JobPartition> placements() {
    return placements;
  }

  /** The values of machine records; another object after a change of layout. */
  RecordPacker<Machine> machines() {
    return machines;
  }

  /** The numbers by which the numbered layout refers to machines. */
  MachineRecordNumbers recordNumbers() {
    return recordNumbers;
  }

  /** The partition that holds the task, with a slot assigned to it. */
  JobPartition assignSlot(Job job, int task) {
    JobPartition partition = JobPartition.containing(job, task, layout);
    assignSlot(partition);
    return partition;
  }

  /** Assigns a slot to the partition's record, unless it has one. */
  void assignSlot(JobPartition partition) {
    placements.assignSlot(partition, partition.maximumRecordSize(layout));
  }

  /** Assigns a slot to the machine's record, and a record number if the layout needs one. */
  void assignSlot(Machine machine) {
    if (layout == RecordLayout.NUMBERED && machine.record().number() == 0) {
      machine.record().assignNumber(recordNumbers.allocate());
    }
    machines.assignSlot(
        machine, MachineRecordCodec.maximumSize(MachineRecordMapper.toRecord(machine, 0)));
  }

  /** Whether a slot is assigned to the machine's record. */
  boolean hasSlot(Machine machine) {
    return machines.slotOf(machine).isPresent();
  }

  /** Whether the record that was written stands in the slot that the machine has now. */
  boolean isInSlot(Machine machine, LeaderTransaction.WrittenMachine written) {
    Optional<RecordPacker.Slot> slot = machines.slotOf(machine);
    int number = written.record().number();
    return slot.isPresent()
        && slot.get().value() == written.value()
        && number
            == (layout == RecordLayout.NUMBERED
                ? machine.record().number()
                : slot.get().position());
  }

  /** The number by which placement records refer to the machine; 0 while it has no slot. */
  int machineReference(Machine machine) {
    Optional<RecordPacker.Slot> slot = machines.slotOf(machine);
    if (slot.isEmpty()) {
      return 0;
    }
    return layout == RecordLayout.NUMBERED
        ? machine.record().number()
        : PlacementRecordCodec.positionalReference(
            slot.get().value(), slot.get().position(), RecordPacker.SLOTS_PER_VALUE);
  }

  /** Whether the key is a value of this layout in which no record is left. */
  boolean isObsolete(String key) {
    int value = Keys.valueNumber(key);
    return layout.containsKey(key)
        && (Keys.isPlacementRecords(key) ? placements.isEmpty(value) : machines.isEmpty(value));
  }

  /** Whether some value is to be written now. */
  boolean isDue(Instant now) {
    return !machines.urgentValues().isEmpty()
        || !placements.urgentValues().isEmpty()
        || !machines.overdueValues(now).isEmpty()
        || !placements.overdueValues(now).isEmpty();
  }
}
