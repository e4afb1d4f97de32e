package io.pearscale.scheduler.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** The pause after work is proportional to its duration, between a minimum and a maximum. */
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

  /** Without a maximum, a process that stalled for 35 s during a pass would pause for minutes. */
  @Test
  void limitsPauseAfterProcessStall() {
    assertEquals(Duration.ofSeconds(2), throttle.pauseAfter(Duration.ofSeconds(35)));
  }
}
