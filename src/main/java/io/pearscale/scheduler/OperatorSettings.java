package io.pearscale.scheduler;

import io.pearscale.drain.DrainSettings;
import java.time.Duration;
import java.util.Optional;

/**
 * What operators have switched on beside scheduling, with the file that {@code --operations} names.
 *
 * @param supportRecordTtl for how long a record of what this build supports outlives the process;
 *     empty when no such record is kept
 * @param highestLevel the highest level of stored state that this controller is to support
 * @param automaticLevel whether this controller, while it leads, raises the level of stored state
 *     by itself once all controllers support a higher one
 * @param drains budgets and windows; empty when drains are off
 */
public record OperatorSettings(
    Optional<Duration> supportRecordTtl,
    int highestLevel,
    boolean automaticLevel,
    Optional<DrainSettings> drains) {
  private static final Duration DEFAULT_SUPPORT_RECORD_TTL = Duration.ofSeconds(60);

  /** What holds where no file says otherwise: a new release comes into force by itself. */
  public static OperatorSettings defaults() {
    return new OperatorSettings(
        Optional.of(DEFAULT_SUPPORT_RECORD_TTL),
        Integer.MAX_VALUE,
        /* automaticLevel= */ true,
        Optional.empty());
  }

  /** Nothing is switched on. */
  public static OperatorSettings disabled() {
    return new OperatorSettings(
        Optional.empty(), Integer.MAX_VALUE, /* automaticLevel= */ false, Optional.empty());
  }
}
