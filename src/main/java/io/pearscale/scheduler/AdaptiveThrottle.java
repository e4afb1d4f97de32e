package io.pearscale.scheduler;

import java.time.Duration;

/**
 * How long to leave a kind of work alone after it was done once, so that however much there is to
 * decide, most of the time is left to those who report.
 *
 * @param share the work may take one part in so many of the time
 * @param least the shortest rest
 * @param most the longest rest: a process that stood still meanwhile must not rest for minutes
 */
record AdaptiveThrottle(int share, Duration least, Duration most) {
  /** The rest after work that took so long. */
  Duration restAfter(Duration work) {
    Duration rest = work.multipliedBy(share);
    if (rest.compareTo(least) < 0) {
      return least;
    }
    return rest.compareTo(most) > 0 ? most : rest;
  }
}
