package io.pearscale.scheduler.records;

import io.pearscale.protocol.MachineType;
import io.pearscale.protocol.MalformedMessageException;
import io.pearscale.protocol.Settings.StoreLimits;
import io.pearscale.scheduler.model.DecisionRecorder;
import io.pearscale.scheduler.model.Job;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.TaskAttempt;
import io.pearscale.upgrade.LevelGate;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The durable records from which a successor of this leader recovers: which machines exist, and
 * which of them each task may be on. Other parts of the scheduler request here what to record and
 * how soon, and {@link RecordWriter} writes it.
 *
 * <p>{@link StoredRecordAdopter} adopts stored records, {@link PackedRecords} packs records into
 * values, {@link LayoutChange} repacks them, and {@link TransactionPlanner} adds the values to
 * transactions.
 */
public final class LeaderRecords implements DecisionRecorder {
  /**
   * Maximum delay of changes that nothing waits for, so that they are written together with others.
   */
  private static final Duration DEFERRED_WRITE_DELAY = Duration.ofSeconds(4);

  private final int maxValueBytes;
  private final InstantSource clock;
  private final Runnable requestCommit;
  private final StoredValues storedValues = new StoredValues();
  private final PreviousLayoutRecords previousLayout = new PreviousLayoutRecords();
  private final ObsoleteValues obsoleteValues = new ObsoleteValues();
  private final RejectedValues rejectedValues = new RejectedValues();
  private final RecordMigration migration;
  private final PackedRecords packed;
  private final StoredRecordAdopter adopter;
  private final LayoutChange layoutChange;
  private final TransactionPlanner planner;
  private final Set<Job> finishedJobs = new LinkedHashSet<>();
  private boolean catalogueDue;

  /**
   * Creates empty records.
   *
   * @param levelGate supplies the schema level in whose form records are written
   * @param requestCommit requests a transaction
   */
  public LeaderRecords(
      StoreLimits limits, LevelGate levelGate, InstantSource clock, Runnable requestCommit) {
    this.maxValueBytes = limits.maxValueBytes();
    this.clock = clock;
    this.requestCommit = requestCommit;
    this.migration =
        new RecordMigration(levelGate, limits.maxTransactionOperations(), previousLayout);
    this.packed = new PackedRecords(limits, levelGate);
    this.adopter = new StoredRecordAdopter(packed, previousLayout);
    this.layoutChange = new LayoutChange(packed, storedValues, previousLayout);
    this.planner = new TransactionPlanner(packed, obsoleteValues, rejectedValues, migration);
  }

  /** Discards all pending writes, but keeps the known stored values. */
  public void clear() {
    packed.clear();
    previousLayout.clear();
    rejectedValues.clear();
    finishedJobs.clear();
    adopter.clearFoundPartitions();
    obsoleteValues.clear();
  }

  // ---- Stored values ----

  /** Returns the stored values as the watch has delivered them. */
  public StoredValues storedValues() {
    return storedValues;
  }

  /**
   * Decodes all stored values at the start of a term.
   *
   * @throws MalformedMessageException if some record can't be read; the message names its key
   */
  StoredRecords decodeStored() throws MalformedMessageException {
    migration.beginTerm(storedValues.machineValues());
    return StoredRecords.decode(
        storedValues.machineValues(), storedValues.placementValues(), packed.layoutInForce());
  }

  /** Returns the adopter of stored records. */
  StoredRecordAdopter adopter() {
    return adopter;
  }

  /** Adopts a job whose tasks are all done; a later transaction records the end of the job. */
  void adoptFinishedJob(Job job) {
    finishedJobs.add(job);
  }

  // ---- Write requests ----

  /**
   * Records the machine of the attempt as soon as possible; the start command waits for the record.
   */
  @Override
  public void recordPlacement(TaskAttempt attempt) {
    packed.assignSlot(attempt.machine());
    if (!attempt.machine().record().isRecorded()) {
      packed.machines().markDue(attempt.machine());
    }
    packed.placements().markDue(packed.assignSlot(attempt.job(), attempt.task().index()));
    requestCommit.run();
  }

  /**
   * Records that a task is done. The write is deferred, because the agent repeats its report until
   * the record is durable.
   */
  @Override
  public void recordTaskDone(Job job, int task) {
    JobPartition partition = packed.assignSlot(job, task);
    packed.placements().markDue(partition, clock.instant().plus(DEFERRED_WRITE_DELAY));
  }

  /** Records as soon as possible that all tasks of the job are done. */
  @Override
  public void recordJobFinished(Job job) {
    finishedJobs.add(job);
    requestCommit.run();
  }

  /** Withdraws the request to record the end of a job, because the job was cancelled first. */
  void withdrawJobFinished(Job job) {
    finishedJobs.remove(job);
  }

  /** Assigns a slot to the machine's record, unless it has one. */
  @Override
  public void assignSlot(Machine machine) {
    packed.assignSlot(machine);
  }

  /** Records the machine within the given time. Does nothing if the machine has no slot. */
  @Override
  public void recordMachine(Machine machine, Duration within) {
    packed.machines().markDue(machine, clock.instant().plus(within));
  }

  /** Records a change of the machine that nothing waits for. */
  @Override
  public void recordMachineDeferred(Machine machine) {
    recordMachine(machine, DEFERRED_WRITE_DELAY);
  }

  /** Records the machine as soon as possible. */
  @Override
  public void recordMachineNow(Machine machine) {
    packed.machines().markDue(machine);
    requestCommit.run();
  }

  /** Removes the record of a machine that does not exist any more or can't hold a task any more. */
  @Override
  public void removeMachine(Machine machine) {
    recordMachineDeferred(machine);
    packed.machines().remove(machine);
    previousLayout.markCopied(machine);
    machine.record().markRemoved();
  }

  /** Removes the placement records of a job. */
  @Override
  public void removeJob(Job job) {
    for (JobPartition partition : JobPartition.allOf(job, packed.layout())) {
      packed.placements().remove(partition);
      previousLayout.markCopied(partition);
    }
  }

  /**
   * Removes the records of an ended job, unless they are still needed. Attempts that may still
   * exist count against their team's quota. The placement records are kept until the last of these
   * attempts has ended, because a successor finds the attempts nowhere else.
   */
  public void closeJob(Job job) {
    finishedJobs.remove(job);
    if (job.quotaClaim().isEmpty() || job.attempts().isEmpty()) {
      removeJob(job);
    }
  }

  /** Records the machine types that the cloud offers if they differ from the stored catalogue. */
  @Override
  public void updateCatalogue(Set<String> typeNames) {
    catalogueDue = !typeNames.equals(storedValues.machineTypeNames());
    requestCommit.run();
  }

  /** Requests a transaction. */
  @Override
  public void requestCommit() {
    requestCommit.run();
  }

  /** Finds stored values that contain no needed record and registers them for deletion. */
  public void collectObsoleteValues() {
    obsoleteValues.collect(storedValues, packed::isObsolete);
    previousLayout.forEachDeletable(obsoleteValues::add);
  }

  /** Returns whether a write is due now. */
  boolean isDue() {
    Instant now = clock.instant();
    return catalogueDue
        || !packed.isInLayoutInForce()
        || !finishedJobs.isEmpty()
        || !obsoleteValues.isEmpty()
        || migration.isDue(now)
        || packed.isDue(now);
  }

  /** Whether a slot is assigned to the machine's record. */
  @Override
  public boolean hasSlot(Machine machine) {
    return packed.hasSlot(machine);
  }

  // ---- Transactions ----

  /**
   * Adds the due records as far as the transaction has capacity: first those that task starts wait
   * for, then those that users wait for, then the deferred ones, then deletions and the migration.
   */
  void contribute(LeaderTransaction transaction, Collection<MachineType> types) {
    if (!packed.isInLayoutInForce()) {
      obsoleteValues.clear();
      rejectedValues.clear();
      layoutChange.apply();
    }
    if (catalogueDue && !types.isEmpty()) {
      transaction.addCatalogue(types, maxValueBytes);
    }
    planner.addUrgent(transaction);
    for (Job job : finishedJobs) {
      if (!transaction.hasCapacityForJobEnd()) {
        break;
      }
      transaction.addJobEnd(job);
    }
    Instant now = clock.instant();
    planner.addOverdue(transaction, now);
    planner.addDeletions(transaction);
    planner.addMigrationIfDue(transaction, now);
  }

  /**
   * Marks the values of a transaction as due again, if it was not applied or its outcome is
   * unknown.
   */
  void onNotApplied(LeaderTransaction transaction) {
    transaction.machineValues().forEach(packed.machines()::markDue);
    transaction.placementValues().forEach(packed.placements()::markDue);
  }

  /**
   * Excludes the values of a rejected transaction that are too long for the store from all later
   * transactions.
   */
  void onRejected(LeaderTransaction transaction) {
    rejectedValues.recordRejection(transaction.valueLengths(), maxValueBytes);
  }

  /** Marks the content of an applied transaction as durable. */
  void onApplied(LeaderTransaction transaction) {
    transaction.newlyRecordedAttempts().forEach(attempt -> attempt.markPlacementRecorded());
    transaction
        .doneTasksByPartition()
        .forEach(
            (partition, doneTasks) -> {
              partition.markDurablyDone(doneTasks);
              previousLayout.markCopied(partition);
            });
    transaction.machineValues().forEach(value -> migration.markWritten(value, transaction.level()));
    for (String key : transaction.deletedKeys()) {
      obsoleteValues.remove(key);
      previousLayout.markDeleted(key);
      migration.markDeleted(key);
    }
    if (transaction.catalogueHandled()) {
      catalogueDue = false;
    }
  }

  /**
   * Marks a machine's record as durable, unless the machine was assigned another slot while the
   * transaction was in flight: placement records may refer to the machine by its slot.
   */
  void markMachineRecorded(Machine machine, LeaderTransaction.WrittenMachineRecord written) {
    if (packed.isInSlot(machine, written)) {
      machine
          .record()
          .recordWritten(
              written.record().retiring(),
              written.record().address(),
              written.record().maintenance());
      previousLayout.markCopied(machine);
    }
  }
}
