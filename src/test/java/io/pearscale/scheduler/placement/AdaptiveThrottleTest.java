package io.pearscale.scheduler.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Work rests in proportion to what it took, within bounds. */
class AdaptiveThrottleTest {
  private final AdaptiveThrottle throttle =
      new AdaptiveThrottle(4, Duration.ofMillis(30), Duration.ofSeconds(2));

  @Test
  void pausesInProportionToWork() {
    assertEquals(Duration.ofMillis(400), throttle.pauseAfter(Duration.ofMillis(100)));
  }

  @Test
  void neverPausesForLessThanMinimum() {
    assertEquals(Duration.ofMillis(30), throttle.pauseAfter(Duration.ZERO));
  }

  /** A process that stood still for 35 s within a pass would place nothing for minutes. */
  @Test
  void limitsPauseAfterProcessStall() {
    assertEquals(Duration.ofSeconds(2), throttle.pauseAfter(Duration.ofSeconds(35)));
  }
}
