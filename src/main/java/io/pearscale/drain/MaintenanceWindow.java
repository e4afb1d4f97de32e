package io.pearscale.drain;

import java.time.DayOfWeek;
import java.time.Duration;
import java.time.Instant;
import java.time.LocalDate;
import java.time.LocalTime;
import java.time.ZoneId;
import java.time.ZonedDateTime;
import java.util.Optional;
import java.util.Set;
import org.threeten.extra.Interval;

/**
 * A recurring period in which drains may disrupt tasks. The period extends from a start time to an
 * end time in a named time zone, and starts on the given days of the week. If the end time is not
 * after the start time, the window ends on the next day.
 *
 * <p>A local time that occurs twice because clocks are set back counts as its first occurrence for
 * the start and as its last occurrence for the end. A local time that is skipped because clocks are
 * set forward moves forward by the length of the gap, so a window from the start to the end of the
 * skipped hour does not open on that day.
 */
public record MaintenanceWindow(
    String name, ZoneId zone, Set<DayOfWeek> days, LocalTime startTime, LocalTime endTime) {
  /**
   * Number of days searched for the next opening: two of each weekday, because a window may not
   * open on a day with a clock change.
   */
  private static final int SEARCH_DAYS = 14;

  /** Returns whether drains may disrupt tasks at the given time. */
  public boolean isOpen(Instant now) {
    LocalDate today = now.atZone(zone).toLocalDate();
    return occurrence(today.minusDays(1)).map(i -> i.contains(now)).orElse(false)
        || occurrence(today).map(i -> i.contains(now)).orElse(false);
  }

  /** Returns when the window opens next, if within two weeks; {@code now} if it is open. */
  public Optional<Instant> nextOpening(Instant now) {
    if (isOpen(now)) {
      return Optional.of(now);
    }
    LocalDate today = now.atZone(zone).toLocalDate();
    for (int daysAhead = 0; daysAhead <= SEARCH_DAYS; daysAhead++) {
      Optional<Interval> next = occurrence(today.plusDays(daysAhead)).filter(i -> i.isAfter(now));
      if (next.isPresent()) {
        return next.map(Interval::getStart);
      }
    }
    return Optional.empty();
  }

  /** Returns the occurrence that begins on the given day; empty if there is none. */
  Optional<Interval> occurrence(LocalDate day) {
    if (!days.contains(day.getDayOfWeek())) {
      return Optional.empty();
    }
    LocalDate lastDay = endTime.isAfter(startTime) ? day : day.plusDays(1);
    Instant start = ZonedDateTime.of(day, startTime, zone).withEarlierOffsetAtOverlap().toInstant();
    Instant end = ZonedDateTime.of(lastDay, endTime, zone).withLaterOffsetAtOverlap().toInstant();
    return end.isAfter(start) ? Optional.of(Interval.of(start, end)) : Optional.empty();
  }

  /** Returns the length of the window on a day without a clock change. */
  public Duration duration() {
    Duration length = Duration.between(startTime, endTime);
    return endTime.isAfter(startTime) ? length : length.plusDays(1);
  }
}
