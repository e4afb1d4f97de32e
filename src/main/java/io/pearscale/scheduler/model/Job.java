package io.pearscale.scheduler.model;

import io.pearscale.protocol.JobSpec;
import io.pearscale.protocol.Priority;
import io.pearscale.protocol.WorkloadType;
import io.pearscale.storage.PlacementRecordCodec;
import java.time.Duration;
import java.time.Instant;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** A job that is not over, as the leader sees it. */
public final class Job {
  /** A batch job of which nothing runs for so long gets a task started before others. */
  public static final Duration LONG_WAIT = Duration.ofSeconds(75);

  /** What is stopped sooner is no start in its user's eyes. */
  public static final Duration MIN_RUN_TO_COUNT_AS_START = Duration.ofSeconds(30);

  /** On so many machines a job must fail before it is thought to be its own fault. */
  private static final int MACHINES_TO_BLAME_JOB = 3;

  public final JobSpec spec;
  public final long revision;
  public final Instant submittedAt;

  /** Whether its team may use only so much at any time. */
  private final boolean quotaLimited;

  /**
   * Tasks that are done; {@link #durablyDoneTasks} says for which of them a successor would know.
   */
  public final BitSet doneTasks = new BitSet();

  public final BitSet durablyDoneTasks = new BitSet();

  /**
   * Where each task is, or may be: also such as were not seen since the takeover, each on the
   * machine that its mark names.
   */
  public final Map<Integer, TaskAttempt> attempts = new HashMap<>();

  private final Map<String, Integer> attemptsByZone = new HashMap<>();
  public final Set<String> machinesFailedOn = new HashSet<>();
  public Instant retryNotBefore = Instant.MIN;

  /** How often it was put off since it seems to be mistaken. */
  public int retries;

  public boolean taskSucceeded;

  /** Whether any of its tasks ran for long enough to count as a start. */
  public boolean hasStarted;

  /** Whether the last pass found no place for one of its tasks. */
  public boolean unschedulable;

  /** Whether it is known that its tasks can run: one was done, or a replica ran for a while. */
  boolean hasSucceeded() {
    return taskSucceeded || (spec.isService() && hasStarted);
  }

  /** Whether it seems to have been submitted with a mistake: it failed wherever it was tried. */
  public boolean failsEverywhere() {
    return !hasSucceeded() && machinesFailedOn.size() >= MACHINES_TO_BLAME_JOB;
  }

  /** Creates a job that is known from its stored record, with nothing placed. */
  public Job(JobSpec spec, long stamp, Instant submitted, boolean limited) {
    this.quotaLimited = limited;
    this.spec = spec;
    this.revision = stamp;
    this.submittedAt = submitted;
  }

  /** Adds an attempt; its task counts as placed from now on. */
  public void add(TaskAttempt attempt) {
    attempts.put(attempt.task.index(), attempt);
    attemptsByZone.merge(attempt.machine.zone, 1, Integer::sum);
  }

  void remove(TaskAttempt attempt) {
    if (attempts.remove(attempt.task.index(), attempt)) {
      attemptsByZone.merge(attempt.machine.zone, -1, Integer::sum);
    }
  }

  /** Forgets all that only a leader knows. */
  void forgetLeaderState() {
    attempts.clear();
    attemptsByZone.clear();
    doneTasks.clear();
    durablyDoneTasks.clear();
  }

  /** Returns how many tasks are neither done nor placed. */
  public int pendingTasks() {
    return spec.tasks() - doneTasks.cardinality() - attempts.size();
  }

  /** Returns whether all tasks are done. */
  public boolean isComplete() {
    return !spec.isService() && doneTasks.cardinality() >= spec.tasks();
  }

  /** The next task that waits for a machine, from {@code from} on, or -1. */
  public int nextPendingTask(int from) {
    for (int i = from; i < spec.tasks(); i++) {
      if (!doneTasks.get(i) && !attempts.containsKey(i)) {
        return i;
      }
    }
    return -1;
  }

  /** Returns how many tasks run or write a checkpoint. */
  public int runningTasks() {
    int count = 0;
    for (TaskAttempt attempt : attempts.values()) {
      if (attempt.stage == TaskAttempt.Stage.RUNNING
          || attempt.stage == TaskAttempt.Stage.CHECKPOINTING) {
        count++;
      }
    }
    return count;
  }

  /** Returns how many tasks may be on machines of the zone. */
  public int attemptsInZone(String zone) {
    return attemptsByZone.getOrDefault(zone, 0);
  }

  /** Whether no task is placed outside of the zone. */
  public boolean isOnlyInZone(String zone) {
    return attemptsByZone.getOrDefault(zone, 0) == attempts.size();
  }

  /** What its tasks take of their team's limit. */
  public Optional<PlacementRecordCodec.QuotaClaim> quotaClaim() {
    return quotaLimited
        ? Optional.of(
            new PlacementRecordCodec.QuotaClaim(
                spec.team(), spec.cpus(), spec.gpus(), spec.memoryGb()))
        : Optional.empty();
  }

  /**
   * What a former leader started of a job that is over by now. Nothing is known of it but the marks
   * of one part; its tasks count for their team's limit until they are known to be gone.
   */
  public static Job orphaned(
      PlacementRecordCodec.PartitionRecord part,
      PlacementRecordCodec.QuotaClaim claim,
      Instant now) {
    JobSpec spec =
        new JobSpec(
            part.job(),
            "",
            claim.team(),
            WorkloadType.SERVICE,
            Priority.IDLE,
            part.firstTask() + part.machineReferences().length,
            claim.cpus(),
            claim.gpus(),
            claim.memoryGb(),
            "",
            0,
            Optional.empty(),
            Optional.empty(),
            /* oneZone= */ false,
            /* spread= */ false,
            /* spot= */ true,
            Duration.ZERO,
            Duration.ZERO,
            Duration.ZERO,
            Optional.empty());
    return new Job(spec, 0, now, /* limited= */ true);
  }

  /** The tasks were written as done; they are numbered from the first one. */
  public void recordDurablyDone(int firstTask, BitSet written) {
    for (int i = written.nextSetBit(0); i >= 0; i = written.nextSetBit(i + 1)) {
      if (firstTask + i < spec.tasks()) {
        durablyDoneTasks.set(firstTask + i);
      }
    }
  }
}
