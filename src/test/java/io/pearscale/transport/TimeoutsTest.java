package io.pearscale.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Timeouts fire on time, do not fire after cancellation, and share timers of the event loop. */
class TimeoutsTest {
  private static final Duration MAX_LATENESS = Duration.ofMillis(70);

  private final CountingEventLoop loop = new CountingEventLoop();
  private final Timeouts timeouts = new Timeouts(loop);
  private final List<String> fired = new ArrayList<>();

  @Test
  void timeoutFiresOnceAndNotTooEarly() {
    loop.advance(Duration.ofMinutes(3));
    timeouts.start(Duration.ofMillis(1500), () -> fired.add("a"));
    loop.advance(Duration.ofMillis(1499));
    assertEquals(List.of(), fired);
    loop.advance(MAX_LATENESS);
    assertEquals(List.of("a"), fired);
    loop.advance(Duration.ofMinutes(1));
    assertEquals(List.of("a"), fired);
  }

  @Test
  void timeoutsLongerThanOneWheelRotationFireInOrder() {
    timeouts.start(Duration.ofSeconds(62), () -> fired.add("long"));
    timeouts.start(Duration.ofSeconds(1), () -> fired.add("short"));
    loop.advance(Duration.ofSeconds(61));
    assertEquals(List.of("short"), fired);
    loop.advance(Duration.ofSeconds(2));
    assertEquals(List.of("short", "long"), fired);
  }

  @Test
  void cancelledTimeoutDoesNotFire() {
    Timeouts.Timeout a = timeouts.start(Duration.ofMillis(500), () -> fired.add("a"));
    timeouts.start(Duration.ofMillis(500), () -> fired.add("b"));
    timeouts.cancel(a);
    loop.advance(Duration.ofSeconds(2));
    assertEquals(List.of("b"), fired);
  }

  /**
   * The wheel reuses timer ids. A late cancellation must not cancel the timeout that received the
   * id next.
   */
  @Test
  void cancellingAnExpiredTimeoutKeepsTheOneThatReusedItsId() {
    List<Timeouts.Timeout> expired = new ArrayList<>();
    expired.add(
        timeouts.start(
            Duration.ofMillis(100),
            () -> timeouts.start(Duration.ofMillis(8192), () -> fired.add("next"))));
    expired.add(timeouts.start(Duration.ofMillis(100), () -> fired.add("second")));
    loop.advance(Duration.ofMillis(200));
    assertEquals(List.of("second"), fired);
    expired.forEach(timeouts::cancel);
    loop.advance(Duration.ofSeconds(9));
    assertEquals(List.of("second", "next"), fired);
  }

  @Test
  void allDueTimeoutsFireAfterAPause() {
    for (int i = 0; i < 40; i++) {
      timeouts.start(Duration.ofMillis(100 + 100 * i), () -> fired.add("x"));
    }
    loop.advance(Duration.ofSeconds(30));
    assertEquals(40, fired.size());
  }

  /**
   * A thousand requests that are answered immediately need a few dozen timers of the loop, not a
   * thousand.
   */
  @Test
  void cancelledTimeoutsShareTimers() {
    for (int i = 0; i < 1000; i++) {
      Timeouts.Timeout t = timeouts.start(Duration.ofMillis(1500), () -> fired.add("x"));
      loop.advance(Duration.ofMillis(1));
      timeouts.cancel(t);
    }
    loop.advance(Duration.ofSeconds(5));
    assertEquals(List.of(), fired);
    assertTrue(loop.scheduledTimers() <= 40, "scheduled timers: " + loop.scheduledTimers());
  }
}
