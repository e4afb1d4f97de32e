package io.pearscale.transport;

import java.time.Duration;
import java.time.InstantSource;

/**
 * Runs all tasks of a process sequentially on one thread, so that the state of an actor needs no
 * locks. Tests use a simulated event loop.
 */
public interface EventLoop {
  /** Runs the task after the current one. */
  void execute(Runnable task);

  /** Runs the task once after the delay. */
  void schedule(Duration delay, Runnable task);

  /** Returns the monotonic clock, which has an arbitrary origin and never goes back. */
  InstantSource clock();
}
