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
 * When drains may disrupt: from a time of day to another in a named time zone, on the days on which
 * it begins. A window that ends before it begins on the clock ends on the next day.
 *
 * <p>Where clocks change, a window begins with the first and ends with the last moment that shows
 * its times; of a time that the clocks leave out the first moment after it is taken, so a window
 * that lies in the missing hour as a whole is not open on that day.
 */
public record MaintenanceWindow(
    String name, ZoneId zone, Set<DayOfWeek> days, LocalTime startTime, LocalTime endTime) {
  /** Days on which the next opening is searched: two of each weekday, in case one is left out. */
  private static final int SEARCH_DAYS = 14;

  /** Whether drains may disrupt tasks at that time. */
  public boolean isOpen(Instant now) {
    LocalDate today = now.atZone(zone).toLocalDate();
    return occurrence(today.minusDays(1)).map(i -> i.contains(now)).orElse(false)
        || occurrence(today).map(i -> i.contains(now)).orElse(false);
  }

  /** When it opens next, if within two weeks; the given time if it is open. */
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

  /** The occurrence that begins on that day; empty if none does. */
  Optional<Interval> occurrence(LocalDate day) {
    if (!days.contains(day.getDayOfWeek())) {
      return Optional.empty();
    }
    LocalDate lastDay = endTime.isAfter(startTime) ? day : day.plusDays(1);
    Instant start = ZonedDateTime.of(day, startTime, zone).withEarlierOffsetAtOverlap().toInstant();
    Instant end = ZonedDateTime.of(lastDay, endTime, zone).withLaterOffsetAtOverlap().toInstant();
    return end.isAfter(start) ? Optional.of(Interval.of(start, end)) : Optional.empty();
  }

  /** How long it is open on a day without a change of clocks. */
  public Duration duration() {
    Duration length = Duration.between(startTime, endTime);
    return endTime.isAfter(startTime) ? length : length.plusDays(1);
  }
}
