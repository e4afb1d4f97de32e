package io.pearscale.scheduler;

import com.fasterxml.jackson.databind.JsonNode;
import io.pearscale.protocol.MachineType;
import io.pearscale.protocol.Malformed;
import io.pearscale.protocol.Settings.State;
import io.pearscale.storage.Keys;
import io.pearscale.storage.ReplicaActor.KeyChange;
import io.pearscale.storage.Roster;
import io.pearscale.upgrade.LevelGate;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Collection;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

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

  private final int valueSize;
  private final int largestValue;
  private final InstantSource clock;
  private final Runnable requestCommit;
  private final Map<String, JsonNode> storedMarks = new TreeMap<>();
  private final Map<String, JsonNode> storedRoster = new TreeMap<>();
  private final Set<String> storedTypes = new HashSet<>();
  private Shards<JobPart> marks;
  private Shards<Machine> roster;
  private final Set<Job> ended = new LinkedHashSet<>();
  private final Set<String> garbage = new LinkedHashSet<>();
  private final RosterMigration migration;
  private boolean catalogueDue;

  /**
   * Makes empty records.
   *
   * @param gate says in the forms of which level records are written
   * @param requestCommit asks for a transaction
   */
  LeaderRecords(State limits, LevelGate gate, InstantSource clock, Runnable requestCommit) {
    this.valueSize = Math.min(SHARED_VALUE, limits.valueBytes() * 3 / 4);
    this.largestValue = limits.valueBytes();
    this.clock = clock;
    this.requestCommit = requestCommit;
    this.migration = new RosterMigration(gate, limits.txnOps());
    clear();
  }

  /** Forgets what is to be written; what is stored stays known. */
  void clear() {
    marks = new Shards<>(valueSize);
    roster = new Shards<>(valueSize);
    ended.clear();
    garbage.clear();
  }

  // ---- What is stored ----

  /** All keys are about to be read anew. */
  void forgetStored() {
    storedMarks.clear();
    storedRoster.clear();
  }

  /** A stored value of marks or of the roster has changed. */
  void storedChanged(KeyChange change) {
    Map<String, JsonNode> stored = Keys.isMarks(change.key()) ? storedMarks : storedRoster;
    change
        .entry()
        .ifPresentOrElse(
            e -> stored.put(change.key(), e.value()), () -> stored.remove(change.key()));
  }

  /** The stored catalogue has these types. */
  void storedCatalogueIs(List<MachineType> types) {
    storedTypes.clear();
    types.forEach(type -> storedTypes.add(type.name()));
  }

  /** All that is stored, decoded, for a term that begins. */
  StoredRecords decodeStored() throws Malformed {
    migration.begin(storedRoster);
    return StoredRecords.decode(storedRoster, storedMarks);
  }

  /** Takes over the place of a machine's record. */
  void adoptMachine(Machine machine, Roster.Entry entry, int value) {
    roster.adopt(machine, Roster.size(entry), value, entry.place());
  }

  /** Takes over the place of the records of a part of a job. */
  void adoptPart(JobPart part, int value) {
    marks.adopt(part, part.marksSize(), value);
  }

  /** Takes over that all tasks of the job are done: its end is written with the next values. */
  void adoptEnd(Job job) {
    ended.add(job);
  }

  // ---- What is to be written ----

  /** The machine of the placement is to be named in the task's mark, and in the roster. */
  void recordTask(Placement placement) {
    JobPart part = JobPart.of(placement.job, placement.task.index());
    assignPlace(placement.machine);
    if (!placement.machine.recorded) {
      roster.due(placement.machine);
    }
    marks.put(part, part.marksSize());
    marks.due(part);
    requestCommit.run();
  }

  /** A task is done. Until that is written its worker goes on to show it: there is no hurry. */
  void recordProgress(Job job, int task) {
    JobPart part = JobPart.of(job, task);
    marks.put(part, part.marksSize());
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
    roster.put(machine, Roster.size(machine.rosterEntry(0)));
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
    machine.recorded = false;
    machine.recordedRetiring = false;
  }

  /** The records of a job's tasks need no room any more. */
  void removeJob(Job job) {
    for (int part = 0; part < job.parts(); part++) {
      marks.remove(new JobPart(job, part));
    }
  }

  /**
   * A job is over. Tasks of it that may still be somewhere count for their team's limit: until the
   * last is gone the marks go on to name them, as a successor finds them nowhere else.
   */
  void close(Job job) {
    ended.remove(job);
    if (job.claim().isEmpty() || job.placed.isEmpty()) {
      removeJob(job);
    }
  }

  /** The cloud offers these types; the catalogue is stored if it has others. */
  void catalogueIs(Set<String> names) {
    catalogueDue = !names.equals(storedTypes);
    requestCommit.run();
  }

  /** Asks for a transaction. */
  void requestCommit() {
    requestCommit.run();
  }

  /** Finds stored values in which nothing lives any more. */
  void collectGarbage() {
    for (String key : storedMarks.keySet()) {
      if (marks.isEmpty(Keys.number(key))) {
        garbage.add(key);
      }
    }
    for (String key : storedRoster.keySet()) {
      if (roster.isEmpty(Keys.number(key))) {
        garbage.add(key);
      }
    }
  }

  /** Whether something waits to be written now. */
  boolean isDue() {
    Instant now = clock.instant();
    return catalogueDue
        || !ended.isEmpty()
        || !garbage.isEmpty()
        || migration.isDue(now)
        || !roster.urgent().isEmpty()
        || !marks.urgent().isEmpty()
        || !roster.overdue(now).isEmpty()
        || !marks.overdue(now).isEmpty();
  }

  // ---- Writing ----

  /** First what waiting tasks need, then what users wait to hear, then what can wait. */
  void fill(LeaderTransaction transaction, Collection<MachineType> types) {
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
    removeGarbage(transaction);
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
    List<Integer> batch = migration.nextBatch(now);
    writeRosters(batch, transaction);
    if (batch.isEmpty() && transaction.hasRoom()) {
      transaction.addLevel(migration.completedLevel());
    }
  }

  private void writeRosters(List<Integer> numbers, LeaderTransaction transaction) {
    for (int number : numbers) {
      if (transaction.hasRoom()) {
        transaction.addRoster(number, roster);
        garbage.remove(Keys.roster(number));
      }
    }
  }

  private void writeMarks(List<Integer> numbers, LeaderTransaction transaction) {
    for (int number : numbers) {
      if (transaction.hasRoom()) {
        transaction.addMarks(number, marks, roster);
        garbage.remove(Keys.marks(number));
      }
    }
  }

  private void removeGarbage(LeaderTransaction transaction) {
    for (Iterator<String> it = garbage.iterator();
        it.hasNext() && transaction.hasRoomForRemoval(); ) {
      String key = it.next();
      boolean reused =
          Keys.isMarks(key) ? !marks.isEmpty(Keys.number(key)) : !roster.isEmpty(Keys.number(key));
      if (reused) {
        it.remove();
      } else {
        transaction.addRemoval(key);
      }
    }
  }

  /** The transaction was not applied, as far as known: its values are to be written again. */
  void writeAgain(LeaderTransaction transaction) {
    transaction.rosters().forEach(roster::due);
    transaction.marks().forEach(marks::due);
  }

  /** The transaction was applied. */
  void written(LeaderTransaction transaction) {
    transaction.marked().forEach(p -> p.marked = true);
    transaction.done().forEach((part, bits) -> part.job().noteDurable(part.part(), bits));
    transaction.rosters().forEach(number -> migration.written(number, transaction.level()));
    for (String key : transaction.dropped()) {
      garbage.remove(key);
      if (Keys.isRoster(key)) {
        migration.removed(Keys.number(key));
      }
    }
    if (transaction.hasCatalogue()) {
      catalogueDue = false;
    }
  }

  /** Whether that is the machine's place in the roster. */
  boolean hasPlace(Machine machine, int value, int place) {
    return roster.home(machine).equals(Optional.of(new Shards.Home(value, place)));
  }

  /** Whether the roster has a place for the machine. */
  boolean hasPlace(Machine machine) {
    return roster.home(machine).isPresent();
  }
}
