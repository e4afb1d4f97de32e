package io.pearscale.transport;

import org.agrona.concurrent.ManyToOneConcurrentLinkedQueue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Owns its state, which changes only while the actor handles a message.
 *
 * <p>{@link #offer} is for external requests. It refuses them while the mailbox is full, so that
 * overload results in a 503 response instead of memory growth. {@link #tell} is for all other
 * messages and never drops one: an actor that missed a key change and then received a later one
 * would treat its incomplete state as complete. These messages need no limit, because their number
 * is bounded by the calls and timers in progress.
 *
 * @param <M> the type of the messages that the actor handles
 */
public abstract class Actor<M> {
  /** The number of queued messages at which requests are refused. */
  static final int MAILBOX_CAPACITY = 8192;

  private static final int MESSAGES_PER_TURN = 64;

  protected final Logger log = LoggerFactory.getLogger(getClass());
  protected final EventLoop loop;
  private final ManyToOneConcurrentLinkedQueue<M> mailbox = new ManyToOneConcurrentLinkedQueue<>();
  private int queuedMessages;
  private boolean drainScheduled;

  /** Creates an actor that handles its messages sequentially on the event loop. */
  protected Actor(EventLoop loop) {
    this.loop = loop;
  }

  /** Enqueues a request, or returns false if the mailbox is full. */
  public final boolean offer(M request) {
    if (queuedMessages >= MAILBOX_CAPACITY) {
      log.warn("event=mailbox_full actor={}", getClass().getSimpleName());
      return false;
    }
    tell(request);
    return true;
  }

  /** Enqueues a message, which is handled after all messages enqueued earlier. */
  public final void tell(M message) {
    mailbox.offer(message);
    queuedMessages++;
    if (!drainScheduled) {
      drainScheduled = true;
      loop.execute(this::drain);
    }
  }

  /** Handles one message. Only this method changes the state of the actor. */
  protected abstract void receive(M message);

  private void drain() {
    M message;
    int handled = 0;
    while (handled++ < MESSAGES_PER_TURN && (message = mailbox.poll()) != null) {
      queuedMessages--;
      try {
        receive(message);
      } catch (RuntimeException e) {
        // A failed message is dropped, so that the actor still handles the following ones.
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
