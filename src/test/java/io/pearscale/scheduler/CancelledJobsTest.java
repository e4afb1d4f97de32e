package io.pearscale.scheduler;

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
    cancelled.note("wk-1", noted);
    cancelled.copyIsAsNewAs(noted);
    assertTrue(cancelled.contains("wk-1"), "the copy was read before, or at the same moment");
    cancelled.copyIsAsNewAs(noted.plusNanos(1));
    assertFalse(cancelled.contains("wk-1"));
  }

  @Test
  void isNotForgottenForTheNumberOfOthers() {
    cancelled.note("wk-first", noted);
    for (int i = 0; i < MANY; i++) {
      cancelled.note("wk-" + i, noted.plusNanos(i));
    }
    assertTrue(cancelled.contains("wk-first"));
  }

  @Test
  void countsFromWhenItWasFirstNoted() {
    cancelled.note("wk-1", noted);
    cancelled.note("wk-1", noted.plusSeconds(30));
    cancelled.copyIsAsNewAs(noted.plusSeconds(1));
    assertFalse(cancelled.contains("wk-1"), "the first word was of a durable end already");
  }
}
