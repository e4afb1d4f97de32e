package io.pearscale.transport;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.PriorityQueue;

/** An event loop with a simulated clock that counts the scheduled timers. */
public final class CountingEventLoop implements EventLoop {
  private record Timer(Instant at, long order, Runnable task) {}

  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(Comparator.comparing(Timer::at).thenComparing(Timer::order));
  private Instant now = Instant.EPOCH;
  private long order;
  private int scheduledTimers;

  @Override
  public void execute(Runnable task) {
    timers.add(new Timer(now, order++, task));
  }

  @Override
  public void schedule(Duration delay, Runnable task) {
    scheduledTimers++;
    timers.add(new Timer(now.plus(delay), order++, task));
  }

  @Override
  public InstantSource clock() {
    return () -> now;
  }

  /** Returns the number of timers that were scheduled. */
  public int scheduledTimers() {
    return scheduledTimers;
  }

  /** Advances the clock and runs all tasks that become due. */
  public void advance(Duration time) {
    Instant end = now.plus(time);
    while (!timers.isEmpty() && !timers.peek().at.isAfter(end)) {
      Timer timer = timers.poll();
      now = timer.at;
      timer.task.run();
    }
    now = end;
  }
}
