package io.pearscale.scheduler.model;

import io.pearscale.protocol.JobSpec;
import io.pearscale.protocol.Priority;
import io.pearscale.protocol.WorkloadType;
import io.pearscale.storage.PlacementRecordCodec;
import java.time.Duration;
import java.time.Instant;
import java.util.BitSet;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** A job that is not over, as the leader sees it, with the attempts of its tasks. */
public final class Job {
  /** A batch job of which nothing runs for so long gets a task started before others. */
  public static final Duration STARVATION_THRESHOLD = Duration.ofSeconds(75);

  /** What is stopped sooner is no start in its user's eyes. */
  public static final Duration MIN_RUN_TO_COUNT_AS_START = Duration.ofSeconds(30);

  private final JobSpec spec;
  private final long revision;
  private final Instant submittedAt;
  private final boolean quotaLimited;
  private final BitSet doneTasks = new BitSet();
  private final BitSet durablyDoneTasks = new BitSet();
  private final Map<Integer, TaskAttempt> attempts = new HashMap<>();
  private final Map<Integer, TaskAttempt> attemptsView = Collections.unmodifiableMap(attempts);
  private final Map<String, Integer> attemptsByZone = new HashMap<>();
  private final JobFailureHistory failures;
  private boolean unschedulable;

  /**
   * A job of which no task is known to be anywhere.
   *
   * @param revision the revision of the key that holds it
   * @param submittedAt on the leader's own clock
   * @param quotaLimited whether its team may use only so much at any time
   */
  public Job(JobSpec spec, long revision, Instant submittedAt, boolean quotaLimited) {
    this.spec = spec;
    this.revision = revision;
    this.submittedAt = submittedAt;
    this.quotaLimited = quotaLimited;
    this.failures = new JobFailureHistory(spec.isService());
  }

  /**
   * What a previous leader started of a job that is over by now. Nothing is known of it but the
   * records of one partition; its tasks count for their team's limit until they are known to be
   * gone.
   */
  public static Job orphaned(
      PlacementRecordCodec.PartitionRecord partition,
      PlacementRecordCodec.QuotaClaim claim,
      Instant now) {
    JobSpec spec =
        new JobSpec(
            partition.job(),
            "",
            claim.team(),
            WorkloadType.SERVICE,
            Priority.IDLE,
            partition.firstTask() + partition.machineReferences().length,
            claim.cpus(),
            claim.gpus(),
            claim.memoryGb(),
            "",
            0,
            Optional.empty(),
            Optional.empty(),
            /* singleZone= */ false,
            /* spreadAcrossZones= */ false,
            /* spotAllowed= */ true,
            Duration.ZERO,
            Duration.ZERO,
            Duration.ZERO,
            Optional.empty());
    return new Job(spec, 0, now, /* quotaLimited= */ true);
  }

  /** What was submitted. */
  public JobSpec spec() {
    return spec;
  }

  /** The revision of the key that holds it. */
  public long revision() {
    return revision;
  }

  /** When it was submitted, on the leader's own clock. */
  public Instant submittedAt() {
    return submittedAt;
  }

  /** What its tasks take of their team's limit; empty where the team has none. */
  public Optional<PlacementRecordCodec.QuotaClaim> quotaClaim() {
    return quotaLimited
        ? Optional.of(
            new PlacementRecordCodec.QuotaClaim(
                spec.team(), spec.cpus(), spec.gpus(), spec.memoryGb()))
        : Optional.empty();
  }

  // ---- Failures and starts ----

  /** Where its tasks failed, and whether one ever ran well. */
  public JobFailureHistory failures() {
    return failures;
  }

  /** Whether any of its tasks ran for long enough to count as a start. */
  public boolean hasStarted() {
    return failures.hasStarted();
  }

  /** Whether the last pass found no place for one of its tasks. */
  public boolean isUnschedulable() {
    return unschedulable;
  }

  /** A pass has found a place for its task, or none. */
  public void recordSchedulingResult(boolean placed) {
    unschedulable = !placed;
  }

  // ---- Its tasks ----

  /**
   * Where each task is, or may be, by index: also such as were not seen since the takeover, each on
   * the machine that its placement record names.
   */
  public Map<Integer, TaskAttempt> attempts() {
    return attemptsView;
  }

  /** Called by the inventory alone, which adds the attempt to its machine as well. */
  void add(TaskAttempt attempt) {
    attempts.put(attempt.task().index(), attempt);
    attemptsByZone.merge(attempt.machine().zone(), 1, Integer::sum);
  }

  /** Called by the inventory alone; counts a start if the attempt ran for long enough. */
  void remove(TaskAttempt attempt, Instant now) {
    if (attempts.remove(attempt.task().index(), attempt)) {
      attemptsByZone.merge(attempt.machine().zone(), -1, Integer::sum);
    }
    if (attempt.runningTime(now).compareTo(MIN_RUN_TO_COUNT_AS_START) >= 0) {
      failures.recordStart();
    }
  }

  /** Forgets all that only a leader knows. */
  void clearLeaderState() {
    attempts.clear();
    attemptsByZone.clear();
    doneTasks.clear();
    durablyDoneTasks.clear();
  }

  /** Tasks that are neither done nor may be anywhere. */
  public int pendingTasks() {
    return spec.tasks() - doneTasks.cardinality() - attempts.size();
  }

  /** The index of the next pending task from {@code from} on, or -1. */
  public int nextPendingTask(int from) {
    for (int i = from; i < spec.tasks(); i++) {
      if (!doneTasks.get(i) && !attempts.containsKey(i)) {
        return i;
      }
    }
    return -1;
  }

  /** Tasks that run, or save what they have done. */
  public int runningTasks() {
    int count = 0;
    for (TaskAttempt attempt : attempts.values()) {
      if (attempt.stage() == TaskAttempt.Stage.RUNNING
          || attempt.stage() == TaskAttempt.Stage.CHECKPOINTING) {
        count++;
      }
    }
    return count;
  }

  /** Tasks that may be in the zone. */
  public int attemptsInZone(String zone) {
    return attemptsByZone.getOrDefault(zone, 0);
  }

  /** Whether no task may be outside of the zone. */
  public boolean isOnlyInZone(String zone) {
    return attemptsInZone(zone) == attempts.size();
  }

  // ---- Tasks that are done ----

  /** Whether the task is known to be done. */
  public boolean isDone(int task) {
    return doneTasks.get(task);
  }

  /** Whether a successor would know that the task is done. */
  public boolean isDurablyDone(int task) {
    return durablyDoneTasks.get(task);
  }

  /** How many tasks are done. */
  public int doneCount() {
    return doneTasks.cardinality();
  }

  /** Whether any task is done. */
  public boolean hasDoneTasks() {
    return !doneTasks.isEmpty();
  }

  /** Which of so many tasks are done, numbered from the first one on. */
  public BitSet doneTasks(int first, int count) {
    return doneTasks.get(first, first + count);
  }

  /** Whether all tasks are done; a service never is. */
  public boolean isComplete() {
    return !spec.isService() && doneTasks.cardinality() >= spec.tasks();
  }

  /** The task is done. */
  public void markDone(int task) {
    doneTasks.set(task);
  }

  /** All tasks are done, as those of a gang are with the first one. */
  public void markAllDone() {
    doneTasks.set(0, spec.tasks());
  }

  /** The tasks were written as done; they are numbered from the first one on. */
  public void recordDurablyDone(int firstTask, BitSet written) {
    for (int i = written.nextSetBit(0); i >= 0; i = written.nextSetBit(i + 1)) {
      if (firstTask + i < spec.tasks()) {
        durablyDoneTasks.set(firstTask + i);
      }
    }
  }

  /** The job's end was written: a successor knows all that is done. */
  public void recordAllDurablyDone() {
    durablyDoneTasks.or(doneTasks);
  }
}
