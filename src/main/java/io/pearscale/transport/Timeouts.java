package io.pearscale.transport;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.agrona.DeadlineTimerWheel;
import org.agrona.collections.Long2ObjectHashMap;

/**
 * Timeouts of requests, nearly all of which are cancelled by an answer. A timer of the loop can't
 * be cancelled: each would fire for nothing, and a controller makes hundreds of requests a second.
 * Here one timer of the loop serves all that are running; they fire up to {@link #TICK_INTERVAL}
 * late.
 */
final class Timeouts {
  /** The wheel takes powers of two. */
  private static final Duration RESOLUTION = Duration.ofMillis(32);

  private static final Duration TICK_INTERVAL = RESOLUTION.plusMillis(1);
  private static final int TICKS_PER_WHEEL = 256;

  /** A timeout that was started. The wheel gives its number to another once it is over. */
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

  /** Runs the task after the time, unless it is cancelled before. */
  Timeout start(Duration time, Runnable task) {
    if (!ticking) {
      // Nobody turned the wheel while nothing was running.
      wheel.currentTickTime(now());
      ticking = true;
      loop.schedule(TICK_INTERVAL, this::tick);
    }
    Timeout timeout = new Timeout(task);
    timeout.timerId = wheel.scheduleTimer(now() + time.toMillis());
    active.put(timeout.timerId, timeout);
    return timeout;
  }

  /** Cancels a timeout; one that is over already is passed over. */
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
    // Not while the wheel turns: a task may start or cancel others.
    List<Timeout> due = List.copyOf(expired);
    expired.clear();
    due.forEach(timeout -> timeout.task.run());
    ticking = wheel.timerCount() > 0;
    if (ticking) {
      loop.schedule(TICK_INTERVAL, this::tick);
    }
  }

  private boolean expire(TimeUnit unit, long now, long timer) {
    Timeout timeout = active.remove(timer);
    timeout.finished = true;
    expired.add(timeout);
    return true;
  }
}
