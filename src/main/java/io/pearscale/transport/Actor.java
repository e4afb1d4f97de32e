package io.pearscale.transport;

import org.agrona.concurrent.ManyToOneConcurrentLinkedQueue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Owns its state and is spoken to by messages only.
 *
 * <p>Requests from outside are offered and refused while many messages wait, so that overload shows
 * at the edge as a 503 and never as memory. All else is told and never dropped: an actor that
 * missed a change of the keys, and took a later one in, would take its knowledge for complete. What
 * is told needs no bound of its own, since its number follows from calls and timers that are under
 * way.
 *
 * @param <M> the messages that the actor understands
 */
public abstract class Actor<M> {
  /** Requests are refused while so many messages wait. */
  static final int MAILBOX_CAPACITY = 8192;

  private static final int MESSAGES_PER_TURN = 64;

  protected final Logger log = LoggerFactory.getLogger(getClass());
  protected final EventLoop loop;
  private final ManyToOneConcurrentLinkedQueue<M> mailbox = new ManyToOneConcurrentLinkedQueue<>();
  private int queuedMessages;
  private boolean drainScheduled;

  /** Makes an actor whose messages are handled on the loop, one after the other. */
  protected Actor(EventLoop loop) {
    this.loop = loop;
  }

  /** Leaves a request; false when too much waits already and it was not taken. */
  public final boolean offer(M request) {
    if (queuedMessages >= MAILBOX_CAPACITY) {
      log.warn("event=mailbox_full actor={}", getClass().getSimpleName());
      return false;
    }
    tell(request);
    return true;
  }

  /** Leaves a message; it is handled after those that were left before. */
  public final void tell(M message) {
    mailbox.offer(message);
    queuedMessages++;
    if (!drainScheduled) {
      drainScheduled = true;
      loop.execute(this::drain);
    }
  }

  /** Handles one message; the only place where the actor's state changes. */
  protected abstract void receive(M message);

  private void drain() {
    M message;
    int handled = 0;
    while (handled++ < MESSAGES_PER_TURN && (message = mailbox.poll()) != null) {
      queuedMessages--;
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
    drainScheduled = queuedMessages > 0;
    if (drainScheduled) {
      loop.execute(this::drain);
    }
  }
}
