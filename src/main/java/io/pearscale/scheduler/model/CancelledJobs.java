package io.pearscale.scheduler.model;

import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Jobs that are known to be cancelled although this controller's replica of the stored keys may
 * still list them as live, because another controller reported the cancellation. Each cancellation
 * was durable before it was recorded here. A cancellation is final, so neither a delayed change nor
 * an older copy of the keys may restore such a job.
 */
final class CancelledJobs {
  /** The time at which each cancellation was recorded, earliest first. */
  private final Map<String, Instant> recordedAt = new LinkedHashMap<>();

  /** Records that the job is cancelled. */
  void add(String job, Instant now) {
    recordedAt.putIfAbsent(job, now);
  }

  /** Returns whether the job is known to be cancelled. */
  boolean contains(String job) {
    return recordedAt.containsKey(job);
  }

  /**
   * Drops cancellations recorded before the given time, because the replica contains all changes
   * made before then. The replica can't list those jobs again: keys of ended jobs are never
   * rewritten.
   */
  void replicaCaughtUpTo(Instant replicaTime) {
    recordedAt.values().removeIf(recordTime -> recordTime.isBefore(replicaTime));
  }
}
