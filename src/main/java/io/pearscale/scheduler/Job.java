package io.pearscale.scheduler;

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
final class Job {
  /** A batch job of which nothing runs for so long gets a task started before others. */
  static final Duration LONG_WAIT = Duration.ofSeconds(75);

  /** What is stopped sooner is no start in its user's eyes. */
  static final Duration A_START = Duration.ofSeconds(30);

  /** On so many machines a job must fail before it is thought to be its own fault. */
  private static final int TRIES = 3;

  final JobSpec spec;
  final long stamp;
  final Instant submitted;

  /** Whether its team may use only so much at any time. */
  private final boolean limited;

  /** Tasks that are done; {@link #durableDone} says for which of them a successor would know. */
  final BitSet done = new BitSet();

  final BitSet durableDone = new BitSet();

  /**
   * Where each task is, or may be: also such as were not seen since the takeover, each on the
   * machine that its mark names.
   */
  final Map<Integer, TaskAttempt> placed = new HashMap<>();

  private final Map<String, Integer> byZone = new HashMap<>();
  final Set<String> failedOn = new HashSet<>();
  Instant notBefore = Instant.MIN;

  /** How often it was put off since it seems to be mistaken. */
  int retries;

  boolean succeeded;

  /** Whether any of its tasks ran for long enough to count as a start. */
  boolean begun;

  /** Whether the last pass found no place for one of its tasks. */
  boolean noRoom;

  /** Whether it is known that its tasks can run: one was done, or a replica ran for a while. */
  boolean works() {
    return succeeded || (spec.isService() && begun);
  }

  /** Whether it seems to have been submitted with a mistake: it failed wherever it was tried. */
  boolean mistaken() {
    return !works() && failedOn.size() >= TRIES;
  }

  Job(JobSpec spec, long stamp, Instant submitted, boolean limited) {
    this.limited = limited;
    this.spec = spec;
    this.stamp = stamp;
    this.submitted = submitted;
  }

  void add(TaskAttempt attempt) {
    placed.put(attempt.task.index(), attempt);
    byZone.merge(attempt.machine.zone, 1, Integer::sum);
  }

  void remove(TaskAttempt attempt) {
    if (placed.remove(attempt.task.index(), attempt)) {
      byZone.merge(attempt.machine.zone, -1, Integer::sum);
    }
  }

  /** Forgets all that only a leader knows. */
  void forget() {
    placed.clear();
    byZone.clear();
    done.clear();
    durableDone.clear();
  }

  int pending() {
    return spec.tasks() - done.cardinality() - placed.size();
  }

  boolean complete() {
    return !spec.isService() && done.cardinality() >= spec.tasks();
  }

  /** The next task that waits for a machine, from {@code from} on, or -1. */
  int nextPending(int from) {
    for (int i = from; i < spec.tasks(); i++) {
      if (!done.get(i) && !placed.containsKey(i)) {
        return i;
      }
    }
    return -1;
  }

  int running() {
    int n = 0;
    for (TaskAttempt attempt : placed.values()) {
      if (attempt.stage == TaskAttempt.Stage.RUNNING || attempt.stage == TaskAttempt.Stage.SAVING) {
        n++;
      }
    }
    return n;
  }

  int inZone(String zone) {
    return byZone.getOrDefault(zone, 0);
  }

  /** Whether no task is placed outside of the zone. */
  boolean onlyIn(String zone) {
    return byZone.getOrDefault(zone, 0) == placed.size();
  }

  /** What its tasks take of their team's limit. */
  Optional<PlacementRecordCodec.QuotaClaim> claim() {
    return limited
        ? Optional.of(
            new PlacementRecordCodec.QuotaClaim(
                spec.team(), spec.cpus(), spec.gpus(), spec.memoryGb()))
        : Optional.empty();
  }

  /**
   * What a former leader started of a job that is over by now. Nothing is known of it but the marks
   * of one part; its tasks count for their team's limit until they are known to be gone.
   */
  static Job remains(
      PlacementRecordCodec.PartitionRecord p, PlacementRecordCodec.QuotaClaim claim, Instant now) {
    JobSpec spec =
        new JobSpec(
            p.job(),
            "",
            claim.team(),
            WorkloadType.SERVICE,
            Priority.IDLE,
            p.firstTask() + p.machineReferences().length,
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
  void noteDurable(int first, BitSet doneTasks) {
    for (int i = doneTasks.nextSetBit(0); i >= 0; i = doneTasks.nextSetBit(i + 1)) {
      if (first + i < spec.tasks()) {
        durableDone.set(first + i);
      }
    }
  }
}
