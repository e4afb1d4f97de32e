package io.pearscale.scheduler;

import io.pearscale.drain.DrainSettings;
import java.time.Duration;
import java.util.Optional;

/**
 * What operators have switched on beside scheduling, with the file that {@code --operations} names.
 *
 * @param announceSupport for how long a record of what this build supports outlives the process;
 *     empty when no such record is kept
 * @param highestLevel the highest level of stored state that this controller is to support
 * @param drains budgets and windows; empty when drains are off
 */
public record Operations(
    Optional<Duration> announceSupport, int highestLevel, Optional<DrainSettings> drains) {
  /** Nothing is switched on. */
  public static Operations off() {
    return new Operations(Optional.empty(), Integer.MAX_VALUE, Optional.empty());
  }
}
