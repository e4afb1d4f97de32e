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
  /** Upper bound in bytes for a packed value, even if the store accepts longer values. */
  private static final int MAX_PACKED_VALUE_BYTES = 6000;

  private final LevelGate levelGate;
  private final int packedValueBytes;
  private final MachineRecordNumbers recordNumbers = new MachineRecordNumbers();
  private RecordLayout layout;
  private RecordPacker<JobPartition> placements;
  private RecordPacker<Machine> machines;

  /**
   * Creates empty records in the layout in force.
   *
   * @param levelGate supplies the schema level in whose layout records are written
   */
  PackedRecords(StoreLimits limits, LevelGate levelGate) {
    this.levelGate = levelGate;
    this.packedValueBytes = Math.min(MAX_PACKED_VALUE_BYTES, limits.maxValueBytes() * 3 / 4);
    clear();
  }

  /** Removes all records and record numbers, and switches to the layout in force. */
  void clear() {
    resetToLayoutInForce();
    recordNumbers.reset();
  }

  /** Switches to the layout in force with empty packers; record numbers stay allocated. */
  void resetToLayoutInForce() {
    layout = layoutInForce();
    placements = new RecordPacker<>(packedValueBytes);
    machines = new RecordPacker<>(packedValueBytes);
  }

  /** Returns the layout of the schema level in whose form records are written now. */
  RecordLayout layoutInForce() {
    return RecordLayout.ofLevel(levelGate.currentLevel().writtenLevel());
  }

  /**
   * Returns whether the records are packed for the layout in force; false after the level has
   * changed.
   */
  boolean isInLayoutInForce() {
    return layout == layoutInForce();
  }

  /** Returns the layout that the records are packed for. */
  RecordLayout layout() {
    return layout;
  }

  /** Returns the values of placement records; a change of layout replaces this object. */
  RecordPacker<JobPartition> placements() {
    return placements;
  }

  /** Returns the values of machine records; a change of layout replaces this object. */
  RecordPacker<Machine> machines() {
    return machines;
  }

  /** Returns the numbers by which the numbered layout refers to machines. */
  MachineRecordNumbers recordNumbers() {
    return recordNumbers;
  }

  /** Returns the partition that contains the task, after assigning a slot to its record. */
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
        machine, MachineRecordCodec.maxEncodedSize(MachineRecordMapper.toRecord(machine, 0)));
  }

  /** Returns whether a slot is assigned to the machine's record. */
  boolean hasSlot(Machine machine) {
    return machines.slotOf(machine).isPresent();
  }

  /** Returns whether the written record is in the slot that the machine has now. */
  boolean isInSlot(Machine machine, LeaderTransaction.WrittenMachineRecord written) {
    Optional<RecordPacker.Slot> slot = machines.slotOf(machine);
    int number = written.record().number();
    return slot.isPresent()
        && slot.get().value() == written.value()
        && number
            == (layout == RecordLayout.NUMBERED
                ? machine.record().number()
                : slot.get().position());
  }

  /** Returns the number by which placement records refer to the machine; 0 while it has no slot. */
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

  /** Returns whether the key belongs to a value of this layout that contains no record. */
  boolean isObsolete(String key) {
    int value = Keys.valueNumber(key);
    return layout.containsKey(key)
        && (Keys.isPlacementRecords(key) ? placements.isEmpty(value) : machines.isEmpty(value));
  }

  /** Returns whether any value is due to be written now. */
  boolean isDue(Instant now) {
    return !machines.urgentValues().isEmpty()
        || !placements.urgentValues().isEmpty()
        || !machines.overdueValues(now).isEmpty()
        || !placements.overdueValues(now).isEmpty();
  }
}
