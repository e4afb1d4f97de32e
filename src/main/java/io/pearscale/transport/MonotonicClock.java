package io.pearscale.transport;

import java.time.Instant;
import java.time.InstantSource;

/**
 * The machine's steady clock as an {@link InstantSource}. Its origin is the start of the process:
 * leases must not depend on the time of day, which may be wrong and may be set.
 */
public final class MonotonicClock implements InstantSource {
  private final long originNanos = System.nanoTime();

  @Override
  public Instant instant() {
    return Instant.EPOCH.plusNanos(System.nanoTime() - originNanos);
  }
}
