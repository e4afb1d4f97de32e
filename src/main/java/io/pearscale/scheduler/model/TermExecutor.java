package io.pearscale.scheduler.model;

import java.time.Duration;
import java.util.function.Consumer;

/**
 * Runs the deferred actions of a leader's components. Each action runs as a separate message of the
 * scheduler, in sequence, and only if the term in which it was deferred has not ended. So a timer
 * or an answer from an earlier term has no effect in a later one.
 */
public interface TermExecutor {
  /** Runs the action after the message that is being processed. */
  void execute(Runnable action);

  /** Runs the action after the delay. */
  void executeAfter(Duration delay, Runnable action);

  /** Returns a callback that passes a later answer to the handler. */
  <T> Consumer<T> callback(Consumer<T> handler);
}
