package io.pearscale.scheduler.records;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.protocol.MachineType;
import io.pearscale.scheduler.model.Job;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.MachineRecordMapper;
import io.pearscale.scheduler.model.TaskAttempt;
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
 * Builds a leader's compare-and-swap and lists the changes that it makes durable once it is
 * applied. The caller adds the most urgent records first; records that exceed the capacity wait for
 * the next transaction.
 */
public final class LeaderTransaction {
  /** Target for the request body, in bytes; well below the 64 KiB that the store accepts. */
  private static final int MAX_BODY_BYTES = 40 * 1024;

  /** A machine record and the number of the value that holds it. */
  record WrittenMachineRecord(int value, MachineRecordCodec.MachineRecord record) {}

  /** Bytes for the term, its precondition and the message frame. */
  private static final int FRAME_BYTES = 512;

  /** Bytes of a mutation in addition to its value. */
  private static final int MUTATION_OVERHEAD_BYTES = 100;

  /** Bytes of a job's end: a precondition, the live key's deletion and the record of the end. */
  private static final int JOB_END_BYTES = 400;

  private static final int MUTATIONS_PER_JOB_END = 2;

  private final int maxMutations;
  private final List<Precondition> preconditions = new ArrayList<>();
  private final List<Mutation> mutations = new ArrayList<>();
  private final int level;
  private int bodyBytes = FRAME_BYTES;

  private final Set<Integer> machineValues = new LinkedHashSet<>();
  private final List<WrittenMachineRecord> writtenMachineRecords = new ArrayList<>();
  private final Set<Integer> placementValues = new LinkedHashSet<>();
  private final List<TaskAttempt> newlyRecordedAttempts = new ArrayList<>();
  private final Map<JobPartition, BitSet> doneTasksByPartition = new HashMap<>();
  private final List<Job> finishedJobs = new ArrayList<>();
  private final List<String> deletedKeys = new ArrayList<>();
  private final Map<String, Integer> valueLengths = new HashMap<>();
  private boolean catalogueHandled;

  /**
   * Creates a transaction that writes only the term. Each transaction changes the term's key, so a
   * transaction that arrives late finds another revision and can't overwrite newer state with older
   * state.
   *
   * @param termRevision revision of the term's key after the previous transaction
   * @param number number of this transaction within the term, from 1
   * @param level the schema level in whose form records are written
   */
  public LeaderTransaction(int maxMutations, long term, long termRevision, long number, int level) {
    this.maxMutations = maxMutations;
    this.level = level;
    preconditions.add(new Precondition(Keys.TERM, termRevision));
    mutations.add(
        Mutation.put(Keys.TERM, MessagePack.map().put("term", term).put("commit", number)));
  }

  /** Returns whether another value can be added. */
  public boolean hasCapacity() {
    return mutations.size() < maxMutations && bodyBytes < MAX_BODY_BYTES;
  }

  /** Returns whether the end of another job can be added. */
  boolean hasCapacityForJobEnd() {
    return mutations.size() + MUTATIONS_PER_JOB_END <= maxMutations && bodyBytes <= MAX_BODY_BYTES;
  }

  /**
   * Returns whether another deletion can be added. Deletions are small, so their bytes are not
   * counted.
   */
  boolean hasCapacityForDeletion() {
    return mutations.size() < maxMutations;
  }

  /** Returns whether the transaction writes only the term. */
  boolean isEmpty() {
    return mutations.size() == 1;
  }

  /** Adds the catalogue if it is shorter than the maximum length of a value. */
  void addCatalogue(Collection<MachineType> types, int maxValueBytes) {
    catalogueHandled = true;
    ObjectNode body = MessagePack.map();
    var list = body.putArray("breeds");
    types.forEach(type -> list.add(type.toNode()));
    int length = body.toString().length();
    if (length < maxValueBytes) {
      mutations.add(Mutation.put(Keys.CATALOGUE, body));
      bodyBytes += length;
    }
  }

  /** Adds a value of machine records. */
  void addMachineValue(RecordLayout layout, int valueNumber, RecordPacker<Machine> packer) {
    boolean numbered = layout == RecordLayout.NUMBERED;
    List<MachineRecordCodec.MachineRecord> records = new ArrayList<>();
    packer
        .itemsByPosition(valueNumber)
        .forEach(
            (position, machine) ->
                records.add(
                    MachineRecordMapper.toRecord(
                        machine, numbered ? machine.record().number() : position)));
    machineValues.add(valueNumber);
    records.forEach(
        record -> writtenMachineRecords.add(new WrittenMachineRecord(valueNumber, record)));
    JsonNode encodedValue = MachineRecordCodec.encode(records, level);
    addRecord(
        layout.machineKey(valueNumber), encodedValue, MachineRecordCodec.jsonLength(encodedValue));
    packer.markSent(valueNumber);
  }

  /**
   * Adds a value of placement records.
   *
   * @param referenceOf returns the number by which placement records refer to a machine, or 0 if it
   *     has none
   */
  void addPlacementValue(
      RecordLayout layout,
      int valueNumber,
      RecordPacker<JobPartition> packer,
      ToIntFunction<Machine> referenceOf) {
    List<PlacementRecordCodec.PartitionRecord> partitionRecords = new ArrayList<>();
    packer
        .itemsByPosition(valueNumber)
        .values()
        .forEach(partition -> partitionRecords.add(partitionRecordOf(partition, referenceOf)));
    placementValues.add(valueNumber);
    JsonNode encodedValue = PlacementRecordCodec.encode(partitionRecords, layout);
    addRecord(
        layout.placementKey(valueNumber),
        encodedValue,
        PlacementRecordCodec.jsonLength(encodedValue));
    packer.markSent(valueNumber);
  }

  private void addRecord(String key, JsonNode value, int length) {
    addPut(key, value);
    valueLengths.put(key, length);
    bodyBytes += length;
  }

  private PlacementRecordCodec.PartitionRecord partitionRecordOf(
      JobPartition partition, ToIntFunction<Machine> referenceOf) {
    Job job = partition.job();
    int[] references = new int[partition.taskCount()];
    for (TaskAttempt attempt : partition.attempts()) {
      int reference = referenceOf.applyAsInt(attempt.machine());
      if (reference > 0) {
        references[attempt.task().index() - partition.firstTask()] = reference;
        if (!attempt.placementRecorded()) {
          newlyRecordedAttempts.add(attempt);
        }
      }
    }
    BitSet doneTasks = partition.doneTasks();
    doneTasksByPartition.put(partition, doneTasks);
    return new PlacementRecordCodec.PartitionRecord(
        job.spec().id(), partition.firstTask(), doneTasks, references, job.quotaClaim());
  }

  /**
   * Adds the end of a job whose tasks are all done. The whole transaction fails if the job was
   * cancelled first.
   */
  void addJobEnd(Job job) {
    String id = job.spec().id();
    preconditions.add(new Precondition(Keys.liveJob(id), job.revision()));
    mutations.add(Mutation.delete(Keys.liveJob(id)));
    mutations.add(
        Mutation.put(
            Keys.finishedJob(id),
            MessagePack.map().put("stage", "done").put("pieces", job.spec().tasks())));
    finishedJobs.add(job);
    bodyBytes += JOB_END_BYTES;
  }

  /** Adds a value whose durability the contributor tracks itself. */
  public void addUntrackedValue(String key, JsonNode value, int bytes) {
    addPut(key, value);
    bodyBytes += bytes;
  }

  /** Adds the precondition that a key still has the given revision. */
  void addPrecondition(String key, long revision) {
    preconditions.add(new Precondition(key, revision));
  }

  /** Adds the record of the schema level. */
  void addSchemaLevel(JsonNode record) {
    mutations.add(Mutation.put(Keys.LEVEL, record));
    bodyBytes += MUTATION_OVERHEAD_BYTES;
  }

  /** Returns the schema level in whose form the transaction writes records. */
  int level() {
    return level;
  }

  /** Adds the deletion of an obsolete value. */
  void addDeletion(String key) {
    mutations.add(Mutation.delete(key));
    deletedKeys.add(key);
  }

  private void addPut(String key, JsonNode value) {
    mutations.add(Mutation.put(key, value));
    bodyBytes += MUTATION_OVERHEAD_BYTES;
  }

  List<Precondition> preconditions() {
    return preconditions;
  }

  /** Returns the mutations in the order in which they were added. */
  public List<Mutation> mutations() {
    return mutations;
  }

  /** Returns whether the catalogue was added, or omitted because it is too long for a value. */
  boolean catalogueHandled() {
    return catalogueHandled;
  }

  /** Returns the length in bytes of each value of machine or placement records, by key. */
  Map<String, Integer> valueLengths() {
    return valueLengths;
  }

  /** Returns the numbers of the values of machine records that the transaction writes. */
  Set<Integer> machineValues() {
    return machineValues;
  }

  /** Returns the machine records in those values. */
  List<WrittenMachineRecord> writtenMachineRecords() {
    return writtenMachineRecords;
  }

  /** Returns the numbers of the values of placement records that the transaction writes. */
  Set<Integer> placementValues() {
    return placementValues;
  }

  /** Returns the attempts whose placement the transaction records for the first time. */
  List<TaskAttempt> newlyRecordedAttempts() {
    return newlyRecordedAttempts;
  }

  /** Returns the tasks that the transaction records as done, by partition. */
  Map<JobPartition, BitSet> doneTasksByPartition() {
    return doneTasksByPartition;
  }

  /** Returns the jobs whose end the transaction records. */
  List<Job> finishedJobs() {
    return finishedJobs;
  }

  /** Returns the keys that the transaction deletes. */
  List<String> deletedKeys() {
    return deletedKeys;
  }
}
