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
 * The records that a leader leaves to its successor: which machines exist, and on which of them
 * each task may be. The scheduler's other parts say here what is to be recorded, and how soon;
 * {@link RecordWriter} writes it.
 *
 * <p>Stored values are taken over by {@link StoredRecordAdopter}, packed by {@link PackedRecords},
 * repacked by {@link LayoutChange}, and put into transactions by {@link TransactionPlanner}.
 */
public final class LeaderRecords implements DecisionRecorder {
  /** Changes that nobody waits for are written within this time, together with others. */
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
   * @param gate supplies the schema level in whose form records are written
   * @param requestCommit requests a transaction
   */
  public LeaderRecords(
      StoreLimits limits, LevelGate gate, InstantSource clock, Runnable requestCommit) {
    this.maxValueBytes = limits.maxValueBytes();
    this.clock = clock;
    this.requestCommit = requestCommit;
    this.migration = new RecordMigration(gate, limits.maxTransactionOperations(), previousLayout);
    this.packed = new PackedRecords(limits, gate);
    this.adopter = new StoredRecordAdopter(packed, previousLayout);
    this.layoutChange = new LayoutChange(packed, storedValues, previousLayout);
    this.planner = new TransactionPlanner(packed, obsoleteValues, rejectedValues, migration);
  }

  /** Forgets what is to be written; what is known of stored values stays. */
  public void clear() {
    packed.clear();
    previousLayout.clear();
    rejectedValues.clear();
    finishedJobs.clear();
    adopter.clearFoundPartitions();
    obsoleteValues.clear();
  }

  // ---- Stored values ----

  /** The stored values as the watch has delivered them. */
  public StoredValues storedValues() {
    return storedValues;
  }

  /**
   * Decodes all stored values for a term that begins.
   *
   * @throws MalformedMessageException if some record can't be read; the message names its key
   */
  StoredRecords decodeStored() throws MalformedMessageException {
    migration.beginTerm(storedValues.machineValues());
    return StoredRecords.decode(
        storedValues.machineValues(), storedValues.placementValues(), packed.layoutInForce());
  }

  /** Takes stored records over, one by one. */
  StoredRecordAdopter adopter() {
    return adopter;
  }

  /** Takes over that all tasks of the job are done: its end is written with the next values. */
  void adoptFinishedJob(Job job) {
    finishedJobs.add(job);
  }

  // ---- What is to be written ----

  /** Records the machine of the attempt as soon as possible; its start waits for that. */
  @Override
  public void recordPlacement(TaskAttempt attempt) {
    packed.assignSlot(attempt.machine());
    if (!attempt.machine().record().isRecorded()) {
      packed.machines().markDue(attempt.machine());
    }
    packed.placements().markDue(packed.assignSlot(attempt.job(), attempt.task().index()));
    requestCommit.run();
  }

  /** Records that a task is done. Its agent reports that until it is durable: it can wait. */
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

  /** Withdraws the end of a job that was cancelled first. */
  void withdrawJobFinished(Job job) {
    finishedJobs.remove(job);
  }

  /** Assigns a slot to the machine's record, unless it has one. */
  @Override
  public void assignSlot(Machine machine) {
    packed.assignSlot(machine);
  }

  /** Records the machine within that time. It must have a slot; otherwise nothing is done. */
  @Override
  public void recordMachine(Machine machine, Duration within) {
    packed.machines().markDue(machine, clock.instant().plus(within));
  }

  /** Records a change of the machine that nobody waits for. */
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

  /** Drops the record of a machine that is gone, or on which no task can be any more. */
  @Override
  public void removeMachine(Machine machine) {
    recordMachineDeferred(machine);
    packed.machines().remove(machine);
    previousLayout.noteCopied(machine);
    machine.record().markRemoved();
  }

  /** Drops the placement records of a job. */
  @Override
  public void removeJob(Job job) {
    for (JobPartition partition : JobPartition.allOf(job, packed.layout())) {
      packed.placements().remove(partition);
      previousLayout.noteCopied(partition);
    }
  }

  /**
   * Ends the records of a job that is over. Attempts of it that may still be somewhere count for
   * their team's quota: until the last is gone the placement records go on to name them, since a
   * successor finds them nowhere else.
   */
  public void closeJob(Job job) {
    finishedJobs.remove(job);
    if (job.quotaClaim().isEmpty() || job.attempts().isEmpty()) {
      removeJob(job);
    }
  }

  /** Records the machine types that the cloud offers, if the stored catalogue has others. */
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

  /** Finds stored values in which no record is left, to be deleted. */
  public void collectObsoleteValues() {
    obsoleteValues.collect(storedValues, packed::isObsolete);
    previousLayout.forEachDeletable(obsoleteValues::add);
  }

  /** Whether something is to be written now. */
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
   * Adds what is due, as far as there is capacity: first what tasks wait for to be started, then
   * what users wait for, then what can wait.
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

  /** Makes the values of a transaction due again that was not applied, or may not have been. */
  void onNotApplied(LeaderTransaction transaction) {
    transaction.machineValues().forEach(packed.machines()::markDue);
    transaction.placementValues().forEach(packed.placements()::markDue);
  }

  /** Leaves out from now on what made the store refuse the transaction: values too long for it. */
  void onRejected(LeaderTransaction transaction) {
    rejectedValues.noteRejection(transaction.valueLengths(), maxValueBytes);
  }

  /** Notes as durable what an applied transaction carried. */
  void onApplied(LeaderTransaction transaction) {
    transaction.newlyRecordedAttempts().forEach(attempt -> attempt.markPlacementRecorded());
    transaction
        .doneTasksByPartition()
        .forEach(
            (partition, doneTasks) -> {
              partition.noteDurable(doneTasks);
              previousLayout.noteCopied(partition);
            });
    transaction.machineValues().forEach(value -> migration.noteWritten(value, transaction.level()));
    for (String key : transaction.deletedKeys()) {
      obsoleteValues.remove(key);
      previousLayout.noteDeleted(key);
      migration.noteDeleted(key);
    }
    if (transaction.catalogueHandled()) {
      catalogueDue = false;
    }
  }

  /**
   * Notes that a machine's record is durable as written, unless the machine got another slot while
   * the transaction was under way: placement records may refer to it by its slot.
   */
  void noteMachineRecorded(Machine machine, LeaderTransaction.WrittenMachineRecord written) {
    if (packed.isInSlot(machine, written)) {
      machine
          .record()
          .recordWritten(
              written.record().retiring(),
              written.record().address(),
              written.record().maintenance());
      previousLayout.noteCopied(machine);
    }
  }
}
