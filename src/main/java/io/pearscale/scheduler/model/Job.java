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

/**
 * A live job, as the leader sees it, with the attempts of its tasks; or an ended job whose attempts
 * may still exist.
 */
public final class Job {
  /**
   * A batch job that has not started any task within this time gets one task started before tasks
   * of other jobs.
   */
  public static final Duration STARVATION_THRESHOLD = Duration.ofSeconds(75);

  /** A task that is stopped before it has run this long does not count as started for the user. */
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
   * Creates a job without attempts.
   *
   * @param revision the revision of the key that stores the job
   * @param submittedAt the submission time on the leader's clock
   * @param quotaLimited whether the job's team has a quota limit
   */
  public Job(JobSpec spec, long revision, Instant submittedAt, boolean quotaLimited) {
    this.spec = spec;
    this.revision = revision;
    this.submittedAt = submittedAt;
    this.quotaLimited = quotaLimited;
    this.failures = new JobFailureHistory(spec.isService());
  }

  /**
   * Creates a placeholder for an ended job whose tasks a previous leader started. It is built from
   * the record of one partition and that record's quota claim, because nothing else is known about
   * the job. Its tasks count against the team's quota limit until they are known to have ended.
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

  /** Returns the submitted job specification. */
  public JobSpec spec() {
    return spec;
  }

  /** Returns the revision of the key that stores the job. */
  public long revision() {
    return revision;
  }

  /** Returns the submission time on the leader's clock. */
  public Instant submittedAt() {
    return submittedAt;
  }

  /** Returns the quota that each task uses, or empty if the job's team has no quota limit. */
  public Optional<PlacementRecordCodec.QuotaClaim> quotaClaim() {
    return quotaLimited
        ? Optional.of(
            new PlacementRecordCodec.QuotaClaim(
                spec.team(), spec.cpus(), spec.gpus(), spec.memoryGb()))
        : Optional.empty();
  }

  // ---- Failures and starts ----

  /** Returns where the job's tasks failed and whether any of them succeeded. */
  public JobFailureHistory failures() {
    return failures;
  }

  /** Returns whether any task of the job ran long enough to count as started. */
  public boolean hasStarted() {
    return failures.hasStarted();
  }

  /** Returns whether the last scheduling pass failed to place a task of the job. */
  public boolean isUnschedulable() {
    return unschedulable;
  }

  /**
   * Records whether a scheduling pass found a machine for the task of the job that it tried last,
   * or machines for all tasks of a gang.
   */
  public void recordSchedulingResult(boolean placed) {
    unschedulable = !placed;
  }

  // ---- Tasks ----

  /**
   * Returns a live view of the attempts by task index. It includes attempts that were not observed
   * since the failover, each on the machine that its placement record names.
   */
  public Map<Integer, TaskAttempt> attempts() {
    return attemptsView;
  }

  /**
   * Adds an attempt. Only the inventory calls this, and it also adds the attempt to the machine.
   */
  void add(TaskAttempt attempt) {
    attempts.put(attempt.task().index(), attempt);
    attemptsByZone.merge(attempt.machine().zone(), 1, Integer::sum);
  }

  /**
   * Removes an attempt and records a start if it ran long enough. Only the inventory calls this.
   */
  void remove(TaskAttempt attempt, Instant now) {
    if (attempts.remove(attempt.task().index(), attempt)) {
      attemptsByZone.merge(attempt.machine().zone(), -1, Integer::sum);
    }
    if (attempt.runningTime(now).compareTo(MIN_RUN_TO_COUNT_AS_START) >= 0) {
      failures.recordStart();
    }
  }

  /** Clears the attempts and the done tasks, which only a leader tracks. */
  void clearLeaderState() {
    attempts.clear();
    attemptsByZone.clear();
    doneTasks.clear();
    durablyDoneTasks.clear();
  }

  /** Returns the number of tasks that are neither done nor have an attempt. */
  public int pendingTasks() {
    return spec.tasks() - doneTasks.cardinality() - attempts.size();
  }

  /**
   * Returns the index of the first pending task at or after {@code from}, or -1 if there is none.
   */
  public int nextPendingTask(int from) {
    for (int i = from; i < spec.tasks(); i++) {
      if (!doneTasks.get(i) && !attempts.containsKey(i)) {
        return i;
      }
    }
    return -1;
  }

  /** Returns the number of tasks that are running or checkpointing. */
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

  /** Returns the number of attempts that may be in the zone. */
  public int attemptsInZone(String zone) {
    return attemptsByZone.getOrDefault(zone, 0);
  }

  /** Returns whether no attempt may be outside the zone; true for a job without attempts. */
  public boolean hasNoAttemptsOutside(String zone) {
    return attemptsInZone(zone) == attempts.size();
  }

  // ---- Done tasks ----

  /** Returns whether the task is known to be done. */
  public boolean isDone(int task) {
    return doneTasks.get(task);
  }

  /**
   * Returns whether a durable record says that the task is done, so that a successor would know it.
   */
  public boolean isDurablyDone(int task) {
    return durablyDoneTasks.get(task);
  }

  /** Returns the number of done tasks. */
  public int doneCount() {
    return doneTasks.cardinality();
  }

  /** Returns whether any task is done. */
  public boolean hasDoneTasks() {
    return !doneTasks.isEmpty();
  }

  /**
   * Returns which of the {@code count} tasks from {@code first} on are done; bit 0 is the first
   * task.
   */
  public BitSet doneTasks(int first, int count) {
    return doneTasks.get(first, first + count);
  }

  /** Returns whether all tasks are done; always false for a service. */
  public boolean isComplete() {
    return !spec.isService() && doneTasks.cardinality() >= spec.tasks();
  }

  /** Marks the task as done. */
  public void markDone(int task) {
    doneTasks.set(task);
  }

  /** Marks all tasks as done, as when the first task of a gang completes. */
  public void markAllDone() {
    doneTasks.set(0, spec.tasks());
  }

  /** Records that a durable record marks the given tasks as done; bit 0 is the first task. */
  public void recordDurablyDone(int firstTask, BitSet written) {
    for (int i = written.nextSetBit(0); i >= 0; i = written.nextSetBit(i + 1)) {
      if (firstTask + i < spec.tasks()) {
        durablyDoneTasks.set(firstTask + i);
      }
    }
  }

  /** Records that the end of the job is durable, so that a successor knows of all done tasks. */
  public void recordAllDurablyDone() {
    durablyDoneTasks.or(doneTasks);
  }
}
