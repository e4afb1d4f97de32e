package io.pearscale.scheduler;

import io.pearscale.drain.DrainSettings;
import java.time.Duration;
import java.util.Optional;

/**
 * What operators have enabled beside scheduling, with the file that {@code --operations} names.
 *
 * @param supportRecordTtl for how long the record of what this build supports outlives the process;
 *     empty if no such record is kept
 * @param highestLevel the highest schema level that this controller is to support
 * @param automaticLevel whether this controller, while it leads, raises the schema level by itself
 *     once all controllers support a higher one
 * @param drains budgets and windows; empty when drains are off
 */
public record OperatorSettings(
    Optional<Duration> supportRecordTtl,
    int highestLevel,
    boolean automaticLevel,
    Optional<DrainSettings> drains) {
  private static final Duration DEFAULT_SUPPORT_RECORD_TTL = Duration.ofSeconds(60);

  /** Without a file: a new release raises the schema level by itself, and there are no drains. */
  public static OperatorSettings defaults() {
    return new OperatorSettings(
        Optional.of(DEFAULT_SUPPORT_RECORD_TTL),
        Integer.MAX_VALUE,
        /* automaticLevel= */ true,
        Optional.empty());
  }

  /** Nothing is enabled. */
  public static OperatorSettings disabled() {
    return new OperatorSettings(
        Optional.empty(), Integer.MAX_VALUE, /* automaticLevel= */ false, Optional.empty());
  }
}
