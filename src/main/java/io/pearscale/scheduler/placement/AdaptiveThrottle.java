package io.pearscale.scheduler.placement;

import java.time.Duration;

/**
 * Computes the pause after a unit of work in proportion to its duration, so that most of the time
 * remains for heartbeats regardless of the amount of work.
 *
 * @param pauseFactor the ratio of the pause to the duration of the work
 * @param minPause the shortest pause
 * @param maxPause the longest pause, so that a process that stalled during the work does not pause
 *     for minutes
 */
public record AdaptiveThrottle(int pauseFactor, Duration minPause, Duration maxPause) {
  /** Returns the pause after work of the given duration. */
  public Duration pauseAfter(Duration work) {
    Duration pause = work.multipliedBy(pauseFactor);
    if (pause.compareTo(minPause) < 0) {
      return minPause;
    }
    return pause.compareTo(maxPause) > 0 ? maxPause : pause;
  }
}
