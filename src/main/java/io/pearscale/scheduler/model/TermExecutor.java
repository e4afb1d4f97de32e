package io.pearscale.scheduler.model;

import java.time.Duration;
import java.util.function.Consumer;

/**
 * Runs what the parts of a leader put off: each action as a message of the scheduler, one after the
 * other, and only if the term in which it was put off still lasts. A timer or a response of a
 * previous term never acts in a later one.
 */
public interface TermExecutor {
  /** Runs the action after the message that is being handled now. */
  void execute(Runnable action);

  /** Runs the action after the delay. */
  void after(Duration delay, Runnable action);

  /** Wraps a handler of what comes later, such as a response, in the same way. */
  <T> Consumer<T> callback(Consumer<T> handler);
}
