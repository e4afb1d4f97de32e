package io.pearscale.scheduler;

import io.pearscale.protocol.MachineType;
import io.pearscale.protocol.MalformedMessageException;
import io.pearscale.protocol.Settings.StoreLimits;
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
final class LeaderRecords {
  /** Changes that nobody waits for are written with others within this time. */
  private static final Duration UNHURRIED = Duration.ofSeconds(4);

  /** Values are filled to so many bytes, and to three quarters of what the service takes. */
  private static final int SHARED_VALUE = 6000;

  private final LevelGate gate;
  private final int valueSize;
  private final int largestValue;
  private final InstantSource clock;
  private final Runnable requestCommit;
  private final StoredValues storedValues = new StoredValues();
  private final MachineNumbers numbers = new MachineNumbers();
  private final PreviousLayoutRecords former = new PreviousLayoutRecords();
  private final RecordMigration migration;
  private final RefusedValues refused = new RefusedValues();
  private RecordLayout layout;
  private RecordPacker<JobPartition> marks;
  private RecordPacker<Machine> roster;
  private final Set<Job> ended = new LinkedHashSet<>();

  /** Parts whose records were found in the layout that is written when the term began. */
  private final Set<JobPartition> found = new HashSet<>();

  private final ObsoleteValues unused = new ObsoleteValues();
  private boolean catalogueDue;

  /**
   * Makes empty records.
   *
   * @param gate says in the forms of which level records are written
   * @param requestCommit asks for a transaction
   */
  LeaderRecords(StoreLimits limits, LevelGate gate, InstantSource clock, Runnable requestCommit) {
    this.gate = gate;
    this.valueSize = Math.min(SHARED_VALUE, limits.maxValueBytes() * 3 / 4);
    this.largestValue = limits.maxValueBytes();
    this.clock = clock;
    this.requestCommit = requestCommit;
    this.migration = new RecordMigration(gate, limits.maxTransactionOperations(), former);
    clear();
  }

  /** Forgets what is to be written; what is stored stays known. */
  void clear() {
    layout = layoutInForce();
    emptyShards();
    former.clear();
    numbers.begin();
    refused.clear();
    ended.clear();
    found.clear();
    unused.clear();
  }

  private RecordLayout layoutInForce() {
    return RecordLayout.ofLevel(gate.inForce().writtenLevel());
  }

  private void emptyShards() {
    marks = new RecordPacker<>(valueSize);
    roster = new RecordPacker<>(valueSize);
  }

  // ---- What is stored ----

  /** What is stored, as the watch tells it. */
  StoredValues storedValues() {
    return storedValues;
  }

  /** All that is stored, decoded, for a term that begins. */
  StoredRecords decodeStored() throws MalformedMessageException {
    migration.begin(storedValues.roster());
    return StoredRecords.decode(storedValues.roster(), storedValues.marks(), layoutInForce());
  }

  /** Takes over a machine's record; one of the former layout is to be copied. */
  void adoptMachine(Machine machine, StoredRecords.StoredMachine stored) {
    if (stored.layout() != layout) {
      assignPlace(machine);
      former.add(stored.key(), machine.recorded ? List.of() : List.of(machine));
      return;
    }
    MachineRecordCodec.MachineRecord entry = stored.entry();
    if (layout == RecordLayout.INDEXED) {
      machine.recordNumber = entry.index();
      roster.adopt(machine, MachineRecordCodec.maximumSize(entry), stored.value());
    } else {
      roster.adopt(machine, MachineRecordCodec.maximumSize(entry), stored.value(), entry.index());
    }
    machine.recorded = true;
  }

  /** The number of a stored machine is taken. */
  void noteNumber(StoredRecords.StoredMachine stored) {
    if (stored.layout() == RecordLayout.INDEXED) {
      numbers.note(stored.entry().index());
    }
  }

  /** Takes over the records of tasks of a job; those of the former layout are to be copied. */
  void adoptPart(Job job, StoredRecords.StoredPart stored) {
    int first = stored.part().firstTask();
    if (stored.layout() == layout) {
      JobPartition part = JobPartition.of(job, first, layout);
      marks.adopt(part, part.marksSize(layout), stored.value());
      found.add(part);
      return;
    }
    List<JobPartition> parts =
        JobPartition.covering(job, first, first + stored.layout().tasksPerPartition(), layout);
    parts.removeIf(found::contains);
    parts.forEach(part -> marks.put(part, part.marksSize(layout)));
    former.add(stored.key(), parts);
  }

  /** Nothing of what the stored value says is alive, as far as this part of it goes. */
  void noteUnused(StoredRecords.StoredPart stored) {
    if (stored.layout() != layout) {
      former.add(stored.key(), List.of());
    }
  }

  /** Whether records are written in that layout. */
  boolean isWritten(RecordLayout thatLayout) {
    return thatLayout == layout;
  }

  /** Takes over that all tasks of the job are done: its end is written with the next values. */
  void adoptEnd(Job job) {
    ended.add(job);
  }

  /** The layout of another level is to be written: all is copied, what is due first. */
  private void changeLayout() {
    RecordLayout before = layout;
    RecordPacker<JobPartition> formerMarks = marks;
    RecordPacker<Machine> formerRoster = roster;
    layout = layoutInForce();
    unused.clear();
    former.clear();
    refused.clear();
    emptyShards();
    for (String key : storedValues.roster().keySet()) {
      if (RecordLayout.ofMachineKey(key).orElseThrow() == before) {
        Collection<Machine> machines = formerRoster.items(Keys.valueNumber(key)).values();
        former.add(key, machines);
      }
    }
    formerRoster.all().forEach(this::copyMachine);
    for (String key : storedValues.marks().keySet()) {
      if (RecordLayout.ofPlacementKey(key).orElseThrow() == before) {
        former.add(key, inLayout(formerMarks.items(Keys.valueNumber(key)).values()));
      }
    }
    Set<JobPartition> urgent = inLayout(formerMarks.itemsOf(formerMarks.urgent()));
    for (JobPartition part : inLayout(formerMarks.all())) {
      marks.put(part, part.marksSize(layout));
      if (urgent.contains(part)) {
        marks.due(part);
      }
    }
  }

  private void copyMachine(Machine machine) {
    machine.recorded = false;
    assignPlace(machine);
    boolean waits =
        machine.attempts.values().stream()
            .anyMatch(attempt -> attempt.stage == TaskAttempt.Stage.PLANNED);
    if (waits || (machine.lifecycle == Machine.Lifecycle.RETIRING && !machine.recordedRetiring)) {
      roster.due(machine);
    }
  }

  private Set<JobPartition> inLayout(Collection<JobPartition> parts) {
    Set<JobPartition> converted = new LinkedHashSet<>();
    for (JobPartition part : parts) {
      int end = part.first() + part.tasks();
      converted.addAll(JobPartition.covering(part.job(), part.first(), end, layout));
    }
    return converted;
  }

  // ---- What is to be written ----

  /** The machine of the placement is to be named in the task's mark, and in the roster. */
  void recordTask(TaskAttempt attempt) {
    JobPartition part = JobPartition.of(attempt.job, attempt.task.index(), layout);
    assignPlace(attempt.machine);
    if (!attempt.machine.recorded) {
      roster.due(attempt.machine);
    }
    marks.put(part, part.marksSize(layout));
    marks.due(part);
    requestCommit.run();
  }

  /** A task is done. Until that is written its worker goes on to show it: there is no hurry. */
  void recordProgress(Job job, int task) {
    JobPartition part = JobPartition.of(job, task, layout);
    marks.put(part, part.marksSize(layout));
    marks.due(part, clock.instant().plus(UNHURRIED));
  }

  /** All tasks of the job are done. */
  void recordEnd(Job job) {
    ended.add(job);
    requestCommit.run();
  }

  /** The job's end need not be written any more. */
  void withdrawEnd(Job job) {
    ended.remove(job);
  }

  /** Gives the machine a place in the roster, unless it has one. */
  void assignPlace(Machine machine) {
    if (layout == RecordLayout.INDEXED && machine.recordNumber == 0) {
      machine.recordNumber = numbers.next();
    }
    roster.put(machine, MachineRecordCodec.maximumSize(machine.machineRecord(0)));
  }

  /** The machine's record is to be written within that time. */
  void recordMachine(Machine machine, Duration within) {
    roster.due(machine, clock.instant().plus(within));
  }

  /** The machine's record has changed, but nobody waits for it. */
  void recordMachineUnhurried(Machine machine) {
    recordMachine(machine, UNHURRIED);
  }

  /** The machine's record is to be written as soon as possible. */
  void recordMachineNow(Machine machine) {
    roster.due(machine);
    requestCommit.run();
  }

  /** The machine is gone, or nothing can be alive on it: the roster need not name it any more. */
  void removeMachine(Machine machine) {
    recordMachineUnhurried(machine);
    roster.remove(machine);
    former.copied(machine);
    machine.recorded = false;
    machine.recordedRetiring = false;
  }

  /** The records of a job's tasks need no room any more. */
  void removeJob(Job job) {
    for (JobPartition part : JobPartition.all(job, layout)) {
      marks.remove(part);
      former.copied(part);
    }
  }

  /**
   * A job is over. Tasks of it that may still be somewhere count for their team's limit: until the
   * last is gone the marks go on to name them, as a successor finds them nowhere else.
   */
  void close(Job job) {
    ended.remove(job);
    if (job.quotaClaim().isEmpty() || job.attempts.isEmpty()) {
      removeJob(job);
    }
  }

  /** The cloud offers these types; the catalogue is stored if it has others. */
  void catalogueIs(Set<String> names) {
    catalogueDue = !names.equals(storedValues.types());
    requestCommit.run();
  }

  /** Asks for a transaction. */
  void requestCommit() {
    requestCommit.run();
  }

  /** Finds stored values in which nothing lives any more. */
  void collectGarbage() {
    unused.find(storedValues, this::isUnused);
    former.removable(unused::add);
  }

  /** Whether nothing is left of a value of the layout that is written. */
  private boolean isUnused(String key) {
    int value = Keys.valueNumber(key);
    return layout.containsKey(key)
        && (Keys.isPlacementRecords(key) ? marks.isEmpty(value) : roster.isEmpty(value));
  }

  /** Whether something waits to be written now. */
  boolean isDue() {
    Instant now = clock.instant();
    return catalogueDue
        || layout != layoutInForce()
        || !ended.isEmpty()
        || !unused.isEmpty()
        || migration.isDue(now)
        || !roster.urgent().isEmpty()
        || !marks.urgent().isEmpty()
        || !roster.overdue(now).isEmpty()
        || !marks.overdue(now).isEmpty();
  }

  // ---- Writing ----

  /** First what waiting tasks need, then what users wait to hear, then what can wait. */
  void fill(LeaderTransaction transaction, Collection<MachineType> types) {
    if (layout != layoutInForce()) {
      changeLayout();
    }
    if (catalogueDue && !types.isEmpty()) {
      transaction.addCatalogue(types, largestValue);
    }
    writeRosters(roster.urgent(), transaction);
    writeMarks(marks.urgent(), transaction);
    for (Job job : ended) {
      if (!transaction.hasRoomForEnd()) {
        break;
      }
      transaction.addEnd(job);
    }
    Instant now = clock.instant();
    writeRosters(roster.overdue(now), transaction);
    writeMarks(marks.overdue(now), transaction);
    unused.fill(transaction, key -> !layout.containsKey(key) || isUnused(key));
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
    RecordMigration.Batch batch = migration.nextBatch(now, this::homeOfCopy);
    writeRosters(batch.rosters(), transaction);
    writeMarks(batch.marks(), transaction);
    if (migration.isOver(batch) && transaction.hasRoom()) {
      transaction.addLevel(migration.completedLevel());
    }
  }

  /** In which value what has yet to be copied is to stand. */
  private Optional<RecordMigration.Home> homeOfCopy(Object item) {
    return item instanceof Machine machine
        ? roster.home(machine).map(home -> new RecordMigration.Home(false, home.shard()))
        : marks.home((JobPartition) item).map(home -> new RecordMigration.Home(true, home.shard()));
  }

  private void writeRosters(Collection<Integer> values, LeaderTransaction transaction) {
    for (int value : values) {
      if (transaction.hasRoom() && refused.mayWrite(layout.machineKey(value))) {
        transaction.addRoster(layout, value, roster);
        unused.remove(layout.machineKey(value));
      }
    }
  }

  private void writeMarks(Collection<Integer> values, LeaderTransaction transaction) {
    for (int value : values) {
      if (refused.mayWrite(layout.placementKey(value)) && writeMachinesOf(value, transaction)) {
        transaction.addMarks(layout, value, marks, this::numberOf);
        unused.remove(layout.placementKey(value));
      }
    }
  }

  /**
   * Writes the machines that a value of marks names, as far as a successor would not find them yet:
   * it would take their tasks to be nowhere.
   *
   * @return whether the marks can go along
   */
  private boolean writeMachinesOf(int value, LeaderTransaction transaction) {
    Set<Integer> missing = new LinkedHashSet<>();
    for (JobPartition part : marks.items(value).values()) {
      for (TaskAttempt attempt : part.placements()) {
        if (!attempt.machine.recorded) {
          roster.home(attempt.machine).ifPresent(home -> missing.add(home.shard()));
        }
      }
    }
    missing.removeAll(transaction.rosters());
    writeRosters(missing, transaction);
    return transaction.hasRoom() && transaction.rosters().containsAll(missing);
  }

  /** The number by which marks name a machine; 0 while it has none. */
  private int numberOf(Machine machine) {
    Optional<RecordPacker.Home> home = roster.home(machine);
    if (home.isEmpty()) {
      return 0;
    }
    return layout == RecordLayout.INDEXED
        ? machine.recordNumber
        : PlacementRecordCodec.positionalReference(
            home.get().shard(), home.get().place(), RecordPacker.PLACES);
  }

  /** The transaction was not applied, as far as known: its values are to be written again. */
  void writeAgain(LeaderTransaction transaction) {
    transaction.rosters().forEach(roster::due);
    transaction.marks().forEach(marks::due);
  }

  /** The state service takes no transaction like this: values that are too long are left out. */
  void refused(LeaderTransaction transaction) {
    refused.note(transaction.sizes(), largestValue);
  }

  /** The transaction was applied. */
  void written(LeaderTransaction transaction) {
    transaction.marked().forEach(attempt -> attempt.placementRecorded = true);
    transaction
        .done()
        .forEach(
            (part, doneTasks) -> {
              part.noteDurable(doneTasks);
              former.copied(part);
            });
    transaction.rosters().forEach(number -> migration.written(number, transaction.level()));
    for (String key : transaction.dropped()) {
      unused.remove(key);
      former.removed(key);
      migration.removed(key);
    }
    if (transaction.hasCatalogue()) {
      catalogueDue = false;
    }
  }

  /** The machine is recorded as it is to be found by a successor. */
  void noteRecorded(Machine machine) {
    former.copied(machine);
  }

  /** Whether that is the machine's place in the roster. */
  boolean hasPlace(Machine machine, LeaderTransaction.StoredMachine stored) {
    Optional<RecordPacker.Home> home = roster.home(machine);
    int number = stored.entry().index();
    return home.isPresent()
        && home.get().shard() == stored.value()
        && number == (layout == RecordLayout.INDEXED ? machine.recordNumber : home.get().place());
  }

  /** Whether the roster has a place for the machine. */
  boolean hasPlace(Machine machine) {
    return roster.home(machine).isPresent();
  }
}
