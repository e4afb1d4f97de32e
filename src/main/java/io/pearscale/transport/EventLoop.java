package io.pearscale.transport;

import java.time.Duration;
import java.time.InstantSource;

/**
 * Runs everything of one process on one thread, one task after the other. Because there is only one
 * such thread, an actor's state needs no locks; tests put a simulated loop in its place.
 */
public interface EventLoop {
  /** Runs the task after the one that is running now. */
  void execute(Runnable task);

  /** Runs the task once, after the delay. */
  void schedule(Duration delay, Runnable task);

  /** The steady clock: never set back, with an arbitrary origin. */
  InstantSource clock();
}
