package io.pearscale.storage;

import io.pearscale.transport.EventLoop;
import java.time.Duration;
import java.time.Instant;

/**
 * A token-bucket rate limiter. The burst size is the number of tokens of one second, but at least
 * 1.
 */
public final class TokenBucket {
  private final EventLoop loop;
  private final double ratePerSecond;
  private double tokens;
  private Instant lastRefill;

  /** Creates a full bucket that refills at the given rate. */
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

  /** Whether the given number of tokens is available. */
  public boolean canAcquire(int count) {
    refill();
    return tokens >= count;
  }

  /**
   * Takes the given number of tokens, or none if too few are available. A full bucket also allows a
   * batch that exceeds the burst size.
   */
  public boolean tryAcquire(int count) {
    refill();
    if (tokens < count && tokens < Math.max(1, ratePerSecond) - 0.001) {
      return false;
    }
    tokens -= count;
    return true;
  }
}
