package io.pearscale.scheduler.model;

import java.time.Duration;
import java.util.function.Consumer;

/**
 * Runs what the components of a leader defer: each action as a message of the scheduler, one after
 * the other, and only if the term in which it was deferred still lasts. A timer or an answer of an
 * earlier term never acts in a later one.
 */
public interface TermExecutor {
  /** Runs the action after the message that is being handled now. */
  void execute(Runnable action);

  /** Runs the action after the delay. */
  void executeAfter(Duration delay, Runnable action);

  /** Hands an answer that comes later to the handler. */
  <T> Consumer<T> callback(Consumer<T> handler);
}
