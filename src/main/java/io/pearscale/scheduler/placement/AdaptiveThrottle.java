package io.pearscale.scheduler.placement;

import java.time.Duration;

/**
 * How long a kind of work rests after it was done, in proportion to the time that it took: however
 * much there is to decide, most of the time is left for heartbeats.
 *
 * @param restFactor the work may take one part in so many of the time
 * @param minRest the shortest rest
 * @param maxRest the longest rest: a process that stood still meanwhile must not rest for minutes
 */
public record AdaptiveThrottle(int restFactor, Duration minRest, Duration maxRest) {
  /** The rest after work that took so long. */
  public Duration restAfter(Duration work) {
    Duration rest = work.multipliedBy(restFactor);
    if (rest.compareTo(minRest) < 0) {
      return minRest;
    }
    return rest.compareTo(maxRest) > 0 ? maxRest : rest;
  }
}
