package io.pearscale.scheduler.model;

import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Jobs that are known to be cancelled although this controller's copy of the keys may still show
 * them as live: another controller said so, before or instead of the key-value store. Each was
 * durable before it was noted. An end is final, so such a job must not come back with a change that
 * was long under way, nor with a copy that was read before the end.
 */
final class CancelledJobs {
  /** When each was noted, the earliest first. */
  private final Map<String, Instant> recordedAt = new LinkedHashMap<>();

  /** Notes a job as cancelled. */
  void add(String job, Instant now) {
    recordedAt.putIfAbsent(job, now);
  }

  /** Whether the job is known to be cancelled. */
  boolean contains(String job) {
    return recordedAt.containsKey(job);
  }

  /**
   * The replica has all changes that were made before that time. What was noted before is gone from
   * it for good, since keys of jobs that are over are never written again.
   */
  void replicaCaughtUpTo(Instant replicaTime) {
    recordedAt.values().removeIf(recordTime -> recordTime.isBefore(replicaTime));
  }
}
