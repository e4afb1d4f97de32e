package io.pearscale.scheduler;

import io.pearscale.drain.DrainSettings;
import java.time.Duration;
import java.util.Optional;

/**
 * Operator settings other than scheduling, read from the file given with {@code --operations}.
 *
 * @param supportRecordTtl the time for which the record of the supported schema levels remains
 *     after the process has ended; empty if no such record is written
 * @param highestLevel the highest schema level that this controller may support
 * @param automaticLevel whether this controller, while it leads, raises the schema level
 *     automatically once all controllers support a higher one
 * @param drains disruption budgets and maintenance windows; empty if drains are disabled
 */
public record OperatorSettings(
    Optional<Duration> supportRecordTtl,
    int highestLevel,
    boolean automaticLevel,
    Optional<DrainSettings> drains) {
  private static final Duration DEFAULT_SUPPORT_RECORD_TTL = Duration.ofSeconds(60);

  /**
   * Returns the settings used without a file: a new release raises the schema level automatically,
   * and drains are disabled.
   */
  public static OperatorSettings defaults() {
    return new OperatorSettings(
        Optional.of(DEFAULT_SUPPORT_RECORD_TTL),
        Integer.MAX_VALUE,
        /* automaticLevel= */ true,
        Optional.empty());
  }

  /** Returns settings with all features disabled. */
  public static OperatorSettings disabled() {
    return new OperatorSettings(
        Optional.empty(), Integer.MAX_VALUE, /* automaticLevel= */ false, Optional.empty());
  }
}
