package io.pearscale.transport;

import java.time.Instant;
import java.time.InstantSource;

/**
 * The monotonic clock of the machine as an {@link InstantSource}. Its origin is the creation of the
 * instance. Leases must not depend on the time of day, which may be wrong or may be changed.
 */
public final class MonotonicClock implements InstantSource {
  private final long originNanos = System.nanoTime();

  @Override
  public Instant instant() {
    return Instant.EPOCH.plusNanos(System.nanoTime() - originNanos);
  }
}
