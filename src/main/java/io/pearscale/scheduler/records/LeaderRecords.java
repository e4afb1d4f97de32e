package io.pearscale.scheduler.records;

import io.pearscale.protocol.MachineType;
import io.pearscale.protocol.MalformedMessageException;
import io.pearscale.protocol.Settings.StoreLimits;
import io.pearscale.scheduler.model.DecisionRecorder;
import io.pearscale.scheduler.model.Job;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.MachineRecords;
import io.pearscale.scheduler.model.TaskAttempt;
import io.pearscale.storage.Keys;
import io.pearscale.storage.MachineRecordCodec;
import io.pearscale.storage.PlacementRecordCodec;
import io.pearscale.storage.RecordLayout;
import io.pearscale.upgrade.LevelGate;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * The records that a leader leaves to its successor: which machines there are, and on which of them
 * each task may be. It keeps what is stored, what is to be stored, and which values wait to be
 * written; {@link RecordWriter} writes them.
 */
public final class LeaderRecords implements DecisionRecorder {
  /** Changes that nobody waits for are written with others within this time. */
  private static final Duration DEFERRED_WRITE_DELAY = Duration.ofSeconds(4);

  /** Values are filled to so many bytes, and to three quarters of what the service takes. */
  private static final int MAX_PACKED_VALUE_BYTES = 6000;

  private final LevelGate gate;
  private final int packedValueBytes;
  private final int maxValueBytes;
  private final InstantSource clock;
  private final Runnable requestCommit;
  private final StoredValues storedValues = new StoredValues();
  private final MachineRecordNumbers recordNumbers = new MachineRecordNumbers();
  private final PreviousLayoutRecords previousLayout = new PreviousLayoutRecords();
  private final RecordMigration migration;
  private final RejectedValues rejectedValues = new RejectedValues();
  private RecordLayout layout;
  private RecordPacker<JobPartition> placementRecords;
  private RecordPacker<Machine> machineRecords;
  private final Set<Job> finishedJobs = new LinkedHashSet<>();

  /** Parts whose records were found in the layout that is written when the term began. */
  private final Set<JobPartition> foundPartitions = new HashSet<>();

  private final ObsoleteValues obsoleteValues = new ObsoleteValues();
  private boolean catalogueDue;

  /**
   * Makes empty records.
   *
   * @param gate says in the forms of which level records are written
   * @param requestCommit asks for a transaction
   */
  public LeaderRecords(
      StoreLimits limits, LevelGate gate, InstantSource clock, Runnable requestCommit) {
    this.gate = gate;
    this.packedValueBytes = Math.min(MAX_PACKED_VALUE_BYTES, limits.maxValueBytes() * 3 / 4);
    this.maxValueBytes = limits.maxValueBytes();
    this.clock = clock;
    this.requestCommit = requestCommit;
    this.migration = new RecordMigration(gate, limits.maxTransactionOperations(), previousLayout);
    clear();
  }

  /** Forgets what is to be written; what is stored stays known. */
  public void clear() {
    layout = layoutInForce();
    createPackers();
    previousLayout.clear();
    recordNumbers.reset();
    rejectedValues.clear();
    finishedJobs.clear();
    foundPartitions.clear();
    obsoleteValues.clear();
  }

  private RecordLayout layoutInForce() {
    return RecordLayout.ofLevel(gate.inForce().writtenLevel());
  }

  private void createPackers() {
    placementRecords = new RecordPacker<>(packedValueBytes);
    machineRecords = new RecordPacker<>(packedValueBytes);
  }

  // ---- What is stored ----

  /** What is stored, as the watch tells it. */
  public StoredValues storedValues() {
    return storedValues;
  }

  /** All that is stored, decoded, for a term that begins. */
  StoredRecords decodeStored() throws MalformedMessageException {
    migration.beginTerm(storedValues.machineValues());
    return StoredRecords.decode(
        storedValues.machineValues(), storedValues.placementValues(), layoutInForce());
  }

  /** Takes over a machine's record; one of the former layout is to be copied. */
  void adoptMachine(Machine machine, StoredRecords.StoredMachine stored) {
    if (stored.layout() != layout) {
      assignSlot(machine);
      previousLayout.add(
          stored.key(), machine.record().isRecorded() ? List.of() : List.of(machine));
      return;
    }
    MachineRecordCodec.MachineRecord record = stored.record();
    if (layout == RecordLayout.NUMBERED) {
      machine.record().assignNumber(record.number());
      machineRecords.adopt(machine, MachineRecordCodec.maximumSize(record), stored.value());
    } else {
      machineRecords.adopt(
          machine, MachineRecordCodec.maximumSize(record), stored.value(), record.number());
    }
    machine.record().markRecorded();
  }

  /** The number of a stored machine is taken. */
  void reserveRecordNumber(StoredRecords.StoredMachine stored) {
    if (stored.layout() == RecordLayout.NUMBERED) {
      recordNumbers.reserve(stored.record().number());
    }
  }

  /** Takes over the records of tasks of a job; those of the former layout are to be copied. */
  void adoptPartition(Job job, StoredRecords.StoredPartition stored) {
    int firstTask = stored.record().firstTask();
    if (stored.layout() == layout) {
      JobPartition partition = JobPartition.containing(job, firstTask, layout);
      placementRecords.adopt(partition, partition.maximumRecordSize(layout), stored.value());
      foundPartitions.add(partition);
      return;
    }
    List<JobPartition> partitions =
        JobPartition.covering(
            job, firstTask, firstTask + stored.layout().tasksPerPartition(), layout);
    partitions.removeIf(foundPartitions::contains);
    partitions.forEach(
        partition -> placementRecords.assignSlot(partition, partition.maximumRecordSize(layout)));
    previousLayout.add(stored.key(), partitions);
  }

  /** Nothing of what the stored value says is alive, as far as this part of it goes. */
  void noteObsolete(StoredRecords.StoredPartition stored) {
    if (stored.layout() != layout) {
      previousLayout.add(stored.key(), List.of());
    }
  }

  /** Whether records are written in that layout. */
  boolean isCurrentLayout(RecordLayout thatLayout) {
    return thatLayout == layout;
  }

  /** Takes over that all tasks of the job are done: its end is written with the next values. */
  void adoptFinishedJob(Job job) {
    finishedJobs.add(job);
  }

  /** The layout of another level is to be written: all is copied, what is due first. */
  private void changeLayout() {
    RecordLayout previous = layout;
    RecordPacker<JobPartition> previousPlacements = placementRecords;
    RecordPacker<Machine> previousMachines = machineRecords;
    layout = layoutInForce();
    obsoleteValues.clear();
    previousLayout.clear();
    rejectedValues.clear();
    createPackers();
    for (String key : storedValues.machineValues().keySet()) {
      if (RecordLayout.ofMachineKey(key).orElseThrow() == previous) {
        Collection<Machine> machines =
            previousMachines.itemsByPosition(Keys.valueNumber(key)).values();
        previousLayout.add(key, machines);
      }
    }
    previousMachines.allItems().forEach(this::copyMachineRecord);
    for (String key : storedValues.placementValues().keySet()) {
      if (RecordLayout.ofPlacementKey(key).orElseThrow() == previous) {
        previousLayout.add(
            key,
            inCurrentLayout(previousPlacements.itemsByPosition(Keys.valueNumber(key)).values()));
      }
    }
    Set<JobPartition> urgent =
        inCurrentLayout(previousPlacements.itemsIn(previousPlacements.urgentValues()));
    for (JobPartition partition : inCurrentLayout(previousPlacements.allItems())) {
      placementRecords.assignSlot(partition, partition.maximumRecordSize(layout));
      if (urgent.contains(partition)) {
        placementRecords.markDue(partition);
      }
    }
  }

  private void copyMachineRecord(Machine machine) {
    machine.record().markUnrecorded();
    assignSlot(machine);
    boolean hasPlannedTasks =
        machine.attempts().values().stream()
            .anyMatch(attempt -> attempt.stage() == TaskAttempt.Stage.PLANNED);
    if (hasPlannedTasks
        || (machine.lifecycle() == Machine.Lifecycle.RETIRING && !machine.record().isRetiring())) {
      machineRecords.markDue(machine);
    }
  }

  private Set<JobPartition> inCurrentLayout(Collection<JobPartition> partitions) {
    Set<JobPartition> converted = new LinkedHashSet<>();
    for (JobPartition partition : partitions) {
      int end = partition.firstTask() + partition.taskCount();
      converted.addAll(JobPartition.covering(partition.job(), partition.firstTask(), end, layout));
    }
    return converted;
  }

  // ---- What is to be written ----

  /** The machine of the placement is to be named in the task's mark, and in the roster. */
  @Override
  public void recordPlacement(TaskAttempt attempt) {
    JobPartition partition = JobPartition.containing(attempt.job(), attempt.task().index(), layout);
    assignSlot(attempt.machine());
    if (!attempt.machine().record().isRecorded()) {
      machineRecords.markDue(attempt.machine());
    }
    placementRecords.assignSlot(partition, partition.maximumRecordSize(layout));
    placementRecords.markDue(partition);
    requestCommit.run();
  }

  /** A task is done. Until that is written its worker goes on to show it: there is no hurry. */
  @Override
  public void recordTaskDone(Job job, int task) {
    JobPartition partition = JobPartition.containing(job, task, layout);
    placementRecords.assignSlot(partition, partition.maximumRecordSize(layout));
    placementRecords.markDue(partition, clock.instant().plus(DEFERRED_WRITE_DELAY));
  }

  /** All tasks of the job are done. */
  @Override
  public void recordJobFinished(Job job) {
    finishedJobs.add(job);
    requestCommit.run();
  }

  /** The job's end need not be written any more. */
  void withdrawJobFinished(Job job) {
    finishedJobs.remove(job);
  }

  /** Gives the machine a place in the roster, unless it has one. */
  @Override
  public void assignSlot(Machine machine) {
    if (layout == RecordLayout.NUMBERED && machine.record().number() == 0) {
      machine.record().assignNumber(recordNumbers.allocate());
    }
    machineRecords.assignSlot(
        machine, MachineRecordCodec.maximumSize(MachineRecords.of(machine, 0)));
  }

  /** The machine's record is to be written within that time. */
  @Override
  public void recordMachine(Machine machine, Duration within) {
    machineRecords.markDue(machine, clock.instant().plus(within));
  }

  /** The machine's record has changed, but nobody waits for it. */
  @Override
  public void recordMachineDeferred(Machine machine) {
    recordMachine(machine, DEFERRED_WRITE_DELAY);
  }

  /** The machine's record is to be written as soon as possible. */
  @Override
  public void recordMachineNow(Machine machine) {
    machineRecords.markDue(machine);
    requestCommit.run();
  }

  /** The machine is gone, or nothing can be alive on it: the roster need not name it any more. */
  @Override
  public void removeMachine(Machine machine) {
    recordMachineDeferred(machine);
    machineRecords.remove(machine);
    previousLayout.noteCopied(machine);
    machine.record().markRemoved();
  }

  /** The records of a job's tasks need no room any more. */
  @Override
  public void removeJob(Job job) {
    for (JobPartition partition : JobPartition.allOf(job, layout)) {
      placementRecords.remove(partition);
      previousLayout.noteCopied(partition);
    }
  }

  /**
   * A job is over. Tasks of it that may still be somewhere count for their team's limit: until the
   * last is gone the marks go on to name them, as a successor finds them nowhere else.
   */
  public void closeJob(Job job) {
    finishedJobs.remove(job);
    if (job.quotaClaim().isEmpty() || job.attempts().isEmpty()) {
      removeJob(job);
    }
  }

  /** The cloud offers these types; the catalogue is stored if it has others. */
  @Override
  public void updateCatalogue(Set<String> typeNames) {
    catalogueDue = !typeNames.equals(storedValues.machineTypeNames());
    requestCommit.run();
  }

  /** Asks for a transaction. */
  @Override
  public void requestCommit() {
    requestCommit.run();
  }

  /** Finds stored values in which nothing lives any more. */
  public void collectObsoleteValues() {
    obsoleteValues.collect(storedValues, this::isObsolete);
    previousLayout.forEachDeletable(obsoleteValues::add);
  }

  /** Whether nothing is left of a value of the layout that is written. */
  private boolean isObsolete(String key) {
    int value = Keys.valueNumber(key);
    return layout.containsKey(key)
        && (Keys.isPlacementRecords(key)
            ? placementRecords.isEmpty(value)
            : machineRecords.isEmpty(value));
  }

  /** Whether something waits to be written now. */
  boolean isDue() {
    Instant now = clock.instant();
    return catalogueDue
        || layout != layoutInForce()
        || !finishedJobs.isEmpty()
        || !obsoleteValues.isEmpty()
        || migration.isDue(now)
        || !machineRecords.urgentValues().isEmpty()
        || !placementRecords.urgentValues().isEmpty()
        || !machineRecords.overdueValues(now).isEmpty()
        || !placementRecords.overdueValues(now).isEmpty();
  }

  // ---- Writing ----

  /** First what waiting tasks need, then what users wait to hear, then what can wait. */
  void contribute(LeaderTransaction transaction, Collection<MachineType> types) {
    if (layout != layoutInForce()) {
      changeLayout();
    }
    if (catalogueDue && !types.isEmpty()) {
      transaction.addCatalogue(types, maxValueBytes);
    }
    addMachineValues(machineRecords.urgentValues(), transaction);
    addPlacementValues(placementRecords.urgentValues(), transaction);
    for (Job job : finishedJobs) {
      if (!transaction.hasCapacityForJobEnd()) {
        break;
      }
      transaction.addJobEnd(job);
    }
    Instant now = clock.instant();
    addMachineValues(machineRecords.overdueValues(now), transaction);
    addPlacementValues(placementRecords.overdueValues(now), transaction);
    obsoleteValues.addDeletions(transaction, key -> !layout.containsKey(key) || isObsolete(key));
    if (migration.isDue(now)) {
      migrate(transaction, now);
    }
  }

  /**
   * Migrates a batch, or records the end. A value that an earlier transaction of unknown outcome
   * may have written in another form is urgent: it is in this transaction, or there is no room for
   * the end in it.
   */
  private void migrate(LeaderTransaction transaction, Instant now) {
    RecordMigration.Batch batch = migration.nextBatch(now, this::targetOfCopy);
    addMachineValues(batch.machineValues(), transaction);
    addPlacementValues(batch.placementValues(), transaction);
    if (migration.isComplete(batch) && transaction.hasCapacity()) {
      transaction.addLevel(migration.completedLevel());
    }
  }

  /** In which value what has yet to be copied is to stand. */
  private Optional<RecordMigration.CopyTarget> targetOfCopy(Object item) {
    return item instanceof Machine machine
        ? machineRecords
            .slotOf(machine)
            .map(slot -> new RecordMigration.CopyTarget(false, slot.value()))
        : placementRecords
            .slotOf((JobPartition) item)
            .map(slot -> new RecordMigration.CopyTarget(true, slot.value()));
  }

  private void addMachineValues(Collection<Integer> values, LeaderTransaction transaction) {
    for (int value : values) {
      if (transaction.hasCapacity() && rejectedValues.mayWrite(layout.machineKey(value))) {
        transaction.addMachineValue(layout, value, machineRecords);
        obsoleteValues.remove(layout.machineKey(value));
      }
    }
  }

  private void addPlacementValues(Collection<Integer> values, LeaderTransaction transaction) {
    for (int value : values) {
      if (rejectedValues.mayWrite(layout.placementKey(value))
          && addMachinesNamedIn(value, transaction)) {
        transaction.addPlacementValue(layout, value, placementRecords, this::machineReference);
        obsoleteValues.remove(layout.placementKey(value));
      }
    }
  }

  /**
   * Writes the machines that a value of marks names, as far as a successor would not find them yet:
   * it would take their tasks to be nowhere.
   *
   * @return whether the marks can go along
   */
  private boolean addMachinesNamedIn(int value, LeaderTransaction transaction) {
    Set<Integer> missing = new LinkedHashSet<>();
    for (JobPartition partition : placementRecords.itemsByPosition(value).values()) {
      for (TaskAttempt attempt : partition.attempts()) {
        if (!attempt.machine().record().isRecorded()) {
          machineRecords.slotOf(attempt.machine()).ifPresent(slot -> missing.add(slot.value()));
        }
      }
    }
    missing.removeAll(transaction.machineValues());
    addMachineValues(missing, transaction);
    return transaction.hasCapacity() && transaction.machineValues().containsAll(missing);
  }

  /** The number by which marks name a machine; 0 while it has none. */
  private int machineReference(Machine machine) {
    Optional<RecordPacker.Slot> slot = machineRecords.slotOf(machine);
    if (slot.isEmpty()) {
      return 0;
    }
    return layout == RecordLayout.NUMBERED
        ? machine.record().number()
        : PlacementRecordCodec.positionalReference(
            slot.get().value(), slot.get().position(), RecordPacker.SLOTS_PER_VALUE);
  }

  /** The transaction was not applied, as far as known: its values are to be written again. */
  void onNotApplied(LeaderTransaction transaction) {
    transaction.machineValues().forEach(machineRecords::markDue);
    transaction.placementValues().forEach(placementRecords::markDue);
  }

  /** The state service takes no transaction like this: values that are too long are left out. */
  void onRejected(LeaderTransaction transaction) {
    rejectedValues.noteRejection(transaction.valueLengths(), maxValueBytes);
  }

  /** The transaction was applied. */
  void onApplied(LeaderTransaction transaction) {
    transaction.newlyRecordedAttempts().forEach(attempt -> attempt.markPlacementRecorded());
    transaction
        .doneTasksByPartition()
        .forEach(
            (partition, doneTasks) -> {
              partition.noteDurable(doneTasks);
              previousLayout.noteCopied(partition);
            });
    transaction
        .machineValues()
        .forEach(number -> migration.noteWritten(number, transaction.level()));
    for (String key : transaction.deletedKeys()) {
      obsoleteValues.remove(key);
      previousLayout.noteDeleted(key);
      migration.noteDeleted(key);
    }
    if (transaction.includesCatalogue()) {
      catalogueDue = false;
    }
  }

  /** The machine is recorded as it is to be found by a successor. */
  void noteMachineRecorded(Machine machine) {
    previousLayout.noteCopied(machine);
  }

  /** Whether that is the machine's place in the roster. */
  boolean hasSlot(Machine machine, LeaderTransaction.WrittenMachine stored) {
    Optional<RecordPacker.Slot> slot = machineRecords.slotOf(machine);
    int number = stored.record().number();
    return slot.isPresent()
        && slot.get().value() == stored.value()
        && number
            == (layout == RecordLayout.NUMBERED
                ? machine.record().number()
                : slot.get().position());
  }

  /** Whether the roster has a place for the machine. */
  @Override
  public boolean hasSlot(Machine machine) {
    return machineRecords.slotOf(machine).isPresent();
  }
}
