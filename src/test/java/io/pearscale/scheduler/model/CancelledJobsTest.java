package io.pearscale.scheduler.model;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import org.junit.jupiter.api.Test;

/** A cancellation must be kept exactly as long as the replica of the keys may be missing it. */
class CancelledJobsTest {
  private static final int JOB_COUNT = 50_000;
  private final CancelledJobs cancelled = new CancelledJobs();
  private final Instant recordedAt = Instant.EPOCH.plusSeconds(100);

  @Test
  void keepsJobWhileReplicaMayBeOlder() {
    cancelled.add("wk-1", recordedAt);
    cancelled.replicaCaughtUpTo(recordedAt);
    assertTrue(
        cancelled.contains("wk-1"), "the replica may lack a change made at the same instant");
    cancelled.replicaCaughtUpTo(recordedAt.plusNanos(1));
    assertFalse(cancelled.contains("wk-1"));
  }

  @Test
  void keepsJobRegardlessOfJobCount() {
    cancelled.add("wk-first", recordedAt);
    for (int i = 0; i < JOB_COUNT; i++) {
      cancelled.add("wk-" + i, recordedAt.plusNanos(i));
    }
    assertTrue(cancelled.contains("wk-first"));
  }

  @Test
  void keepsTimeOfFirstCancellation() {
    cancelled.add("wk-1", recordedAt);
    cancelled.add("wk-1", recordedAt.plusSeconds(30));
    cancelled.replicaCaughtUpTo(recordedAt.plusSeconds(1));
    assertFalse(
        cancelled.contains("wk-1"), "the first report was of a durable cancellation already");
  }
}
