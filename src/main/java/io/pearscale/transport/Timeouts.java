package io.pearscale.transport;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.agrona.DeadlineTimerWheel;
import org.agrona.collections.Long2ObjectHashMap;

/**
 * Manages request timeouts, most of which are cancelled by a response. A timer of the event loop
 * cannot be cancelled and would fire without effect, and a controller sends hundreds of requests
 * per second. All active timeouts therefore share one timer of the loop and fire up to {@link
 * #TICK_INTERVAL} late.
 */
final class Timeouts {
  /** The tick resolution of the wheel, which must be a power of two. */
  private static final Duration RESOLUTION = Duration.ofMillis(32);

  private static final Duration TICK_INTERVAL = RESOLUTION.plusMillis(1);
  private static final int TICKS_PER_WHEEL = 256;

  /** A started timeout. The wheel reuses its timer id after it has finished. */
  static final class Timeout {
    private final Runnable task;
    private long timerId;
    private boolean finished;

    private Timeout(Runnable task) {
      this.task = task;
    }
  }

  private final EventLoop loop;
  private final DeadlineTimerWheel wheel;
  private final Long2ObjectHashMap<Timeout> active = new Long2ObjectHashMap<>();
  private final List<Timeout> expired = new ArrayList<>();
  private boolean ticking;

  Timeouts(EventLoop loop) {
    this.loop = loop;
    this.wheel =
        new DeadlineTimerWheel(
            TimeUnit.MILLISECONDS, now(), RESOLUTION.toMillis(), TICKS_PER_WHEEL);
  }

  private long now() {
    return loop.clock().millis();
  }

  /** Runs the task after the given time unless the timeout is cancelled first. */
  Timeout start(Duration time, Runnable task) {
    if (!ticking) {
      // The wheel does not advance while no timeout is active.
      wheel.currentTickTime(now());
      ticking = true;
      loop.schedule(TICK_INTERVAL, this::tick);
    }
    Timeout timeout = new Timeout(task);
    timeout.timerId = wheel.scheduleTimer(now() + time.toMillis());
    active.put(timeout.timerId, timeout);
    return timeout;
  }

  /** Cancels a timeout; has no effect if the timeout has fired or was cancelled. */
  void cancel(Timeout timeout) {
    if (!timeout.finished) {
      timeout.finished = true;
      wheel.cancelTimer(timeout.timerId);
      active.remove(timeout.timerId);
    }
  }

  private void tick() {
    long now = now();
    while (wheel.timerCount() > 0 && wheel.currentTickTime() <= now) {
      wheel.poll(now, this::expire, Integer.MAX_VALUE);
    }
    // Tasks run only after the wheel has been polled, because they may start or cancel timeouts.
    List<Timeout> due = List.copyOf(expired);
    expired.clear();
    due.forEach(timeout -> timeout.task.run());
    ticking = wheel.timerCount() > 0;
    if (ticking) {
      loop.schedule(TICK_INTERVAL, this::tick);
    }
  }

  private boolean expire(TimeUnit unit, long now, long timerId) {
    Timeout timeout = active.remove(timerId);
    timeout.finished = true;
    expired.add(timeout);
    return true;
  }
}
