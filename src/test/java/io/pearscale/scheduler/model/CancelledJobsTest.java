package io.pearscale.scheduler.model;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import org.junit.jupiter.api.Test;

/** A cancel is remembered for as long as the copy of the keys may lack it, and no longer. */
class CancelledJobsTest {
  private static final int MANY = 50_000;
  private final CancelledJobs cancelled = new CancelledJobs();
  private final Instant noted = Instant.EPOCH.plusSeconds(100);

  @Test
  void staysWhileTheCopyMayBeOlder() {
    cancelled.add("wk-1", noted);
    cancelled.replicaCaughtUpTo(noted);
    assertTrue(cancelled.contains("wk-1"), "the copy was read before, or at the same moment");
    cancelled.replicaCaughtUpTo(noted.plusNanos(1));
    assertFalse(cancelled.contains("wk-1"));
  }

  @Test
  void isNotForgottenForTheNumberOfOthers() {
    cancelled.add("wk-first", noted);
    for (int i = 0; i < MANY; i++) {
      cancelled.add("wk-" + i, noted.plusNanos(i));
    }
    assertTrue(cancelled.contains("wk-first"));
  }

  @Test
  void countsFromWhenItWasFirstNoted() {
    cancelled.add("wk-1", noted);
    cancelled.add("wk-1", noted.plusSeconds(30));
    cancelled.replicaCaughtUpTo(noted.plusSeconds(1));
    assertFalse(cancelled.contains("wk-1"), "the first word was of a durable end already");
  }
}
