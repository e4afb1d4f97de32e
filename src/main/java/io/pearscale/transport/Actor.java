package io.pearscale.transport;

import org.agrona.concurrent.ManyToOneConcurrentArrayQueue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Owns its state and is spoken to by messages only. The mailbox is bounded: what comes in while it
 * is full is refused, so that overload shows at the edge as a 503 and never as memory.
 *
 * @param <M> the messages that the actor understands
 */
public abstract class Actor<M> {
  private static final int MAILBOX = 8192;
  private static final int BATCH = 64;

  protected final Logger log = LoggerFactory.getLogger(getClass());
  protected final Loop loop;
  private final ManyToOneConcurrentArrayQueue<M> mailbox =
      new ManyToOneConcurrentArrayQueue<>(MAILBOX);
  private boolean awake;

  protected Actor(Loop loop) {
    this.loop = loop;
  }

  /** Leaves a message; false when the mailbox is full and the message was dropped. */
  public final boolean tell(M message) {
    if (!mailbox.offer(message)) {
      log.warn("event=mailbox_full actor={}", getClass().getSimpleName());
      return false;
    }
    if (!awake) {
      awake = true;
      loop.execute(this::drain);
    }
    return true;
  }

  /** Handles one message; the only place where the actor's state changes. */
  protected abstract void receive(M message);

  private void drain() {
    M message;
    int handled = 0;
    while (handled++ < BATCH && (message = mailbox.poll()) != null) {
      try {
        receive(message);
      } catch (RuntimeException e) {
        // One bad message must not silence the actor: it is dropped, and the next one is handled.
        log.error(
            "event=message_failed actor={} message={}",
            getClass().getSimpleName(),
            message.getClass().getSimpleName(),
            e);
      }
    }
    awake = !mailbox.isEmpty();
    if (awake) {
      loop.execute(this::drain);
    }
  }
}
