package io.pearscale.scheduler;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.protocol.MachineType;
import io.pearscale.storage.KeyValueStoreClient.Mutation;
import io.pearscale.storage.KeyValueStoreClient.Precondition;
import io.pearscale.storage.Keys;
import io.pearscale.storage.MachineRecordCodec;
import io.pearscale.storage.PlacementRecordCodec;
import io.pearscale.storage.RecordLayout;
import io.pearscale.transport.MessagePack;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToIntFunction;

/**
 * A leader's transaction while it is put together, and what it makes durable once it is applied.
 * The caller adds what is most urgent first; what finds no room any more is left for the next one.
 */
final class LeaderTransaction {
  /** Well below the 64 KiB that the state service takes. */
  private static final int LARGEST_BODY = 40 * 1024;

  /** A machine that a value of the roster names. */
  record StoredMachine(int value, MachineRecordCodec.MachineRecord entry) {}

  /** What the term, its guard and the frame take. */
  private static final int FRAME_SIZE = 512;

  /** What a change takes beside its value. */
  private static final int KEY_SIZE = 100;

  /** What the end of a job takes: a guard, the live key's removal and the record of the end. */
  private static final int END_SIZE = 400;

  private static final int CHANGES_OF_AN_END = 2;

  private final int mostChanges;
  private final List<Precondition> guards = new ArrayList<>();
  private final List<Mutation> changes = new ArrayList<>();
  private final int level;
  private int size = FRAME_SIZE;

  private final Set<Integer> rosters = new LinkedHashSet<>();
  private final List<StoredMachine> machines = new ArrayList<>();
  private final Set<Integer> marks = new LinkedHashSet<>();
  private final List<TaskAttempt> marked = new ArrayList<>();
  private final Map<JobPartition, BitSet> done = new HashMap<>();
  private final List<Job> finished = new ArrayList<>();
  private final List<String> dropped = new ArrayList<>();
  private final Map<String, Integer> sizes = new HashMap<>();
  private boolean catalogue;

  /**
   * Begins with the term, whose key changes with each transaction: one that comes late finds
   * another stamp and can't put old progress over new.
   *
   * @param termStamp the stamp of the term's key after the transaction before
   * @param number how many this term has had
   * @param level the level in whose forms records are written
   */
  LeaderTransaction(int mostChanges, long term, long termStamp, long number, int level) {
    this.mostChanges = mostChanges;
    this.level = level;
    guards.add(new Precondition(Keys.TERM, termStamp));
    changes.add(Mutation.put(Keys.TERM, MessagePack.map().put("term", term).put("commit", number)));
  }

  /** Whether another value can go along. */
  boolean hasRoom() {
    return changes.size() < mostChanges && size < LARGEST_BODY;
  }

  /** Whether the end of another job can go along. */
  boolean hasRoomForEnd() {
    return changes.size() + CHANGES_OF_AN_END <= mostChanges && size <= LARGEST_BODY;
  }

  /** Whether another removal can go along, which takes next to nothing of the body. */
  boolean hasRoomForRemoval() {
    return changes.size() < mostChanges;
  }

  /** Whether it carries nothing but the term. */
  boolean isEmpty() {
    return changes.size() == 1;
  }

  /** Adds the catalogue, unless it is longer than a value may be. */
  void addCatalogue(Collection<MachineType> types, int longest) {
    catalogue = true;
    ObjectNode body = MessagePack.map();
    var list = body.putArray("breeds");
    types.forEach(type -> list.add(type.toNode()));
    int length = body.toString().length();
    if (length < longest) {
      changes.add(Mutation.put(Keys.CATALOGUE, body));
      size += length;
    }
  }

  /** Adds a value of the roster. */
  void addRoster(RecordLayout layout, int number, RecordPacker<Machine> roster) {
    boolean byNumber = layout == RecordLayout.INDEXED;
    List<MachineRecordCodec.MachineRecord> entries = new ArrayList<>();
    roster
        .items(number)
        .forEach(
            (place, machine) ->
                entries.add(machine.machineRecord(byNumber ? machine.recordNumber : place)));
    rosters.add(number);
    entries.forEach(entry -> machines.add(new StoredMachine(number, entry)));
    JsonNode value = MachineRecordCodec.encode(entries, level);
    addRecord(layout.machineKey(number), value, MachineRecordCodec.jsonLength(value));
    roster.sent(number);
  }

  /**
   * Adds a value of marks.
   *
   * @param numberOf the number by which marks name a machine; 0 if it has none
   */
  void addMarks(
      RecordLayout layout,
      int number,
      RecordPacker<JobPartition> parts,
      ToIntFunction<Machine> numberOf) {
    List<PlacementRecordCodec.PartitionRecord> encoded = new ArrayList<>();
    parts.items(number).values().forEach(part -> encoded.add(marksOf(part, numberOf)));
    marks.add(number);
    JsonNode value = PlacementRecordCodec.encode(encoded, layout);
    addRecord(layout.placementKey(number), value, PlacementRecordCodec.jsonLength(value));
    parts.sent(number);
  }

  private void addRecord(String key, JsonNode value, int length) {
    write(key, value);
    sizes.put(key, length);
    size += length;
  }

  private PlacementRecordCodec.PartitionRecord marksOf(
      JobPartition part, ToIntFunction<Machine> numberOf) {
    Job job = part.job();
    int[] hosts = new int[part.tasks()];
    for (TaskAttempt attempt : part.placements()) {
      int number = numberOf.applyAsInt(attempt.machine);
      if (number > 0) {
        hosts[attempt.task.index() - part.first()] = number;
        if (!attempt.placementRecorded) {
          marked.add(attempt);
        }
      }
    }
    BitSet doneTasks = part.done();
    done.put(part, doneTasks);
    return new PlacementRecordCodec.PartitionRecord(
        job.spec.id(), part.first(), doneTasks, hosts, job.quotaClaim());
  }

  /** Adds the end of a job whose tasks are all done; a cancel that was faster refuses the whole. */
  void addEnd(Job job) {
    String id = job.spec.id();
    guards.add(new Precondition(Keys.liveJob(id), job.revision));
    changes.add(Mutation.delete(Keys.liveJob(id)));
    changes.add(
        Mutation.put(
            Keys.finishedJob(id),
            MessagePack.map().put("stage", "done").put("pieces", job.spec.tasks())));
    finished.add(job);
    size += END_SIZE;
  }

  /** Adds a value that the transaction does not keep book of. */
  void addValue(String key, JsonNode value, int bytes) {
    write(key, value);
    size += bytes;
  }

  /** Holds the transaction to a key that it rests on. */
  void addGuard(String key, long stamp) {
    guards.add(new Precondition(key, stamp));
  }

  /** Adds the record of the level. */
  void addLevel(JsonNode record) {
    changes.add(Mutation.put(Keys.LEVEL, record));
    size += KEY_SIZE;
  }

  /** The level in whose forms it writes records. */
  int level() {
    return level;
  }

  /** Adds the removal of a value in which nothing lives any more. */
  void addRemoval(String key) {
    changes.add(Mutation.delete(key));
    dropped.add(key);
  }

  private void write(String key, JsonNode value) {
    changes.add(Mutation.put(key, value));
    size += KEY_SIZE;
  }

  List<Precondition> guards() {
    return guards;
  }

  List<Mutation> changes() {
    return changes;
  }

  /** Whether it was to carry the catalogue. */
  boolean hasCatalogue() {
    return catalogue;
  }

  /** How long the values of roster and marks in it are, by key. */
  Map<String, Integer> sizes() {
    return sizes;
  }

  /** The values of the roster that it writes. */
  Set<Integer> rosters() {
    return rosters;
  }

  /** The machines that are named in them. */
  List<StoredMachine> machines() {
    return machines;
  }

  /** The values of marks that it writes. */
  Set<Integer> marks() {
    return marks;
  }

  /** Placements whose machine is named for the first time. */
  List<TaskAttempt> marked() {
    return marked;
  }

  /** Tasks that are done, by part of their job. */
  Map<JobPartition, BitSet> done() {
    return done;
  }

  /** Jobs that it ends. */
  List<Job> finished() {
    return finished;
  }

  /** Keys that it removes. */
  List<String> dropped() {
    return dropped;
  }
}
