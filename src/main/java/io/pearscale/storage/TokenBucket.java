package io.pearscale.storage;

import io.pearscale.transport.EventLoop;
import java.time.Duration;
import java.time.Instant;

/** A rate with a burst of one second's worth. */
public final class TokenBucket {
  private final EventLoop loop;
  private final double perSecond;
  private double tokens;
  private Instant filled;

  /** Allows so many a second. */
  public TokenBucket(EventLoop loop, double perSecond) {
    this.loop = loop;
    this.perSecond = perSecond;
    this.tokens = Math.max(1, perSecond);
    this.filled = loop.clock().instant();
  }

  private void fill() {
    Instant now = loop.clock().instant();
    double passed = Duration.between(filled, now).toNanos() / 1e9;
    tokens = Math.min(Math.max(1, perSecond), tokens + passed * perSecond);
    filled = now;
  }

  /** Whether so many are left. */
  public boolean available(int n) {
    fill();
    return tokens >= n;
  }

  /** Takes so many, or none. A batch over the burst is allowed from a full budget. */
  public boolean take(int n) {
    fill();
    if (tokens < n && tokens < Math.max(1, perSecond) - 0.001) {
      return false;
    }
    tokens -= n;
    return true;
  }
}
