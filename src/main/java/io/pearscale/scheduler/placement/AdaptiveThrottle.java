package io.pearscale.scheduler.placement;

import java.time.Duration;

/**
 * How long a kind of work rests after it was done, in proportion to the time that it took: however
 * much there is to decide, most of the time is left for heartbeats.
 *
 * @param pauseFactor the work may take one part in so many of the time
 * @param minPause the shortest rest
 * @param maxPause the longest rest: a process that stood still meanwhile must not rest for minutes
 */
public record AdaptiveThrottle(int pauseFactor, Duration minPause, Duration maxPause) {
  /** The rest after work that took so long. */
  public Duration pauseAfter(Duration work) {
    Duration pause = work.multipliedBy(pauseFactor);
    if (pause.compareTo(minPause) < 0) {
      return minPause;
    }
    return pause.compareTo(maxPause) > 0 ? maxPause : pause;
  }
}
