package io.pearscale.transport;

import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioIoThread;

/**
 * The event loop of a real process, which uses the XNIO thread that also performs the network I/O.
 */
public final class XnioEventLoop implements EventLoop {
  private static final Logger LOG = LoggerFactory.getLogger(XnioEventLoop.class);
  private final XnioIoThread thread;
  private final InstantSource clock;

  /** Creates an event loop on the given thread with a new clock. */
  public XnioEventLoop(XnioIoThread thread) {
    this(thread, new MonotonicClock());
  }

  /** Creates an event loop on the given thread with a clock that is shared in the process. */
  public XnioEventLoop(XnioIoThread thread, InstantSource clock) {
    this.thread = thread;
    this.clock = clock;
  }

  @Override
  public void execute(Runnable task) {
    thread.execute(loggingFailures(task));
  }

  @Override
  public void schedule(Duration delay, Runnable task) {
    thread.executeAfter(
        loggingFailures(task), Math.max(1, delay.toMillis()), TimeUnit.MILLISECONDS);
  }

  @Override
  public InstantSource clock() {
    return clock;
  }

  private static Runnable loggingFailures(Runnable task) {
    return () -> {
      try {
        task.run();
      } catch (RuntimeException e) {
        LOG.error("event=task_failed", e);
      }
    };
  }
}
