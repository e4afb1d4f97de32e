package io.pearscale.storage;

import io.pearscale.transport.EventLoop;
import java.time.Duration;
import java.time.Instant;

/** A token bucket: a rate limit with a burst of one second's worth, and of one at least. */
public final class TokenBucket {
  private final EventLoop loop;
  private final double ratePerSecond;
  private double tokens;
  private Instant lastRefill;

  /** Creates a full bucket that refills by so many tokens per second. */
  public TokenBucket(EventLoop loop, double ratePerSecond) {
    this.loop = loop;
    this.ratePerSecond = ratePerSecond;
    this.tokens = Math.max(1, ratePerSecond);
    this.lastRefill = loop.clock().instant();
  }

  private void refill() {
    Instant now = loop.clock().instant();
    double elapsedSeconds = Duration.between(lastRefill, now).toNanos() / 1e9;
    tokens = Math.min(Math.max(1, ratePerSecond), tokens + elapsedSeconds * ratePerSecond);
    lastRefill = now;
  }

  /** Whether so many tokens are left. */
  public boolean canAcquire(int count) {
    refill();
    return tokens >= count;
  }

  /** Takes so many tokens, or none. A batch over the burst is allowed from a full bucket. */
  public boolean tryAcquire(int count) {
    refill();
    if (tokens < count && tokens < Math.max(1, ratePerSecond) - 0.001) {
      return false;
    }
    tokens -= count;
    return true;
  }
}
