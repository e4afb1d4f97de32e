package io.pearscale.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Work rests in proportion to what it took, within bounds. */
class AdaptiveThrottleTest {
  private final AdaptiveThrottle pacing =
      new AdaptiveThrottle(4, Duration.ofMillis(30), Duration.ofSeconds(2));

  @Test
  void restsInProportion() {
    assertEquals(Duration.ofMillis(400), pacing.restAfter(Duration.ofMillis(100)));
  }

  @Test
  void neverRestsForLessThanTheLeast() {
    assertEquals(Duration.ofMillis(30), pacing.restAfter(Duration.ZERO));
  }

  /** A process that stood still for 35 s within a pass would place nothing for minutes. */
  @Test
  void aProcessThatStoodStillDoesNotRestForMinutes() {
    assertEquals(Duration.ofSeconds(2), pacing.restAfter(Duration.ofSeconds(35)));
  }
}
