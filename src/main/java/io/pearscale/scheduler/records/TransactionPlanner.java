package io.pearscale.scheduler.records;

import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.TaskAttempt;
import io.pearscale.storage.RecordLayout;
import java.time.Instant;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Selects the values of machine records and placement records for a transaction.
 *
 * <p>Invariant: a placement record is never written before the records of the machines that it
 * refers to. Otherwise a successor would not know the machine and would assume that its tasks run
 * nowhere.
 */
final class TransactionPlanner {
  private final PackedRecords packed;
  private final ObsoleteValues obsoleteValues;
  private final RejectedValues rejectedValues;
  private final RecordMigration migration;

  /** Creates a planner over the given records. */
  TransactionPlanner(
      PackedRecords packed,
      ObsoleteValues obsoleteValues,
      RejectedValues rejectedValues,
      RecordMigration migration) {
    this.packed = packed;
    this.obsoleteValues = obsoleteValues;
    this.rejectedValues = rejectedValues;
    this.migration = migration;
  }

  /** Adds the values that planned tasks or retiring machines wait for. */
  void addUrgent(LeaderTransaction transaction) {
    addMachineValues(packed.machines().urgentValues(), transaction);
    addPlacementValues(packed.placements().urgentValues(), transaction);
  }

  /** Adds the deferred values whose deadline has passed. */
  void addOverdue(LeaderTransaction transaction, Instant now) {
    addMachineValues(packed.machines().overdueValues(now), transaction);
    addPlacementValues(packed.placements().overdueValues(now), transaction);
  }

  /** Adds the deletions of stored values that are not needed any more. */
  void addDeletions(LeaderTransaction transaction) {
    RecordLayout layout = packed.layout();
    obsoleteValues.addDeletions(
        transaction, key -> !layout.containsKey(key) || packed.isObsolete(key));
  }

  /**
   * Adds a batch of the migration if one is due, or the end of the migration. The end is not
   * recorded too early: a value that an earlier transaction of unknown outcome may have written in
   * another form is urgent, so either this transaction contains the value or it has no capacity for
   * the end of the migration.
   */
  void addMigrationIfDue(LeaderTransaction transaction, Instant now) {
    if (!migration.isDue(now)) {
      return;
    }
    RecordMigration.Batch batch = migration.nextBatch(now, this::targetOfCopy);
    addMachineValues(batch.machineValues(), transaction);
    addPlacementValues(batch.placementValues(), transaction);
    if (migration.isComplete(batch) && transaction.hasCapacity()) {
      transaction.addSchemaLevel(migration.migrationCompletedRecord());
    }
  }

  /**
   * Returns the value into which a record of the previous layout is copied; empty if the record was
   * removed.
   */
  private Optional<RecordMigration.CopyTarget> targetOfCopy(Object item) {
    return item instanceof Machine machine
        ? packed
            .machines()
            .slotOf(machine)
            .map(slot -> new RecordMigration.CopyTarget(false, slot.value()))
        : packed
            .placements()
            .slotOf((JobPartition) item)
            .map(slot -> new RecordMigration.CopyTarget(true, slot.value()));
  }

  private void addMachineValues(Collection<Integer> values, LeaderTransaction transaction) {
    RecordLayout layout = packed.layout();
    for (int value : values) {
      if (transaction.hasCapacity() && rejectedValues.mayWrite(layout.machineKey(value))) {
        transaction.addMachineValue(layout, value, packed.machines());
        obsoleteValues.remove(layout.machineKey(value));
      }
    }
  }

  private void addPlacementValues(Collection<Integer> values, LeaderTransaction transaction) {
    RecordLayout layout = packed.layout();
    for (int value : values) {
      if (rejectedValues.mayWrite(layout.placementKey(value))
          && addMachinesNamedIn(value, transaction)) {
        transaction.addPlacementValue(layout, value, packed.placements(), packed::machineReference);
        obsoleteValues.remove(layout.placementKey(value));
      }
    }
  }

  /**
   * Adds the machine records that a value of placement records refers to and that are not durable
   * yet.
   *
   * @return whether the transaction contains all of them, so that the value can be added
   */
  private boolean addMachinesNamedIn(int value, LeaderTransaction transaction) {
    Set<Integer> missing = new LinkedHashSet<>();
    for (JobPartition partition : packed.placements().itemsByPosition(value).values()) {
      for (TaskAttempt attempt : partition.attempts()) {
        if (!attempt.machine().record().isRecorded()) {
          packed.machines().slotOf(attempt.machine()).ifPresent(slot -> missing.add(slot.value()));
        }
      }
    }
    missing.removeAll(transaction.machineValues());
    addMachineValues(missing, transaction);
    return transaction.hasCapacity() && transaction.machineValues().containsAll(missing);
  }
}
