package io.pearscale.drain;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.DayOfWeek;
import java.time.Duration;
import java.time.Instant;
import java.time.LocalDate;
import java.time.LocalTime;
import java.time.ZoneId;
import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests windows across midnight, on selected days, and on days with a clock change. */
class MaintenanceWindowTest {
  private static final ZoneId BERLIN = ZoneId.of("Europe/Berlin");
  private static final LocalDate SPRING = LocalDate.of(2026, 3, 29);
  private static final LocalDate AUTUMN = LocalDate.of(2026, 10, 25);

  private static MaintenanceWindow window(
      String zone, Set<DayOfWeek> days, String from, String to) {
    return new MaintenanceWindow(
        "w", ZoneId.of(zone), days, LocalTime.parse(from), LocalTime.parse(to));
  }

  private static MaintenanceWindow daily(String from, String to) {
    return window(BERLIN.getId(), EnumSet.allOf(DayOfWeek.class), from, to);
  }

  private static Instant utc(String text) {
    return Instant.parse(text);
  }

  @Test
  void windowAcrossMidnightBelongsToItsStartDay() {
    MaintenanceWindow night =
        window("America/Costa_Rica", EnumSet.of(DayOfWeek.FRIDAY), "22:00", "04:00");
    assertFalse(night.isOpen(utc("2026-12-05T03:59:59Z")));
    assertTrue(night.isOpen(utc("2026-12-05T04:00:00Z")), "Friday 22:00");
    assertTrue(night.isOpen(utc("2026-12-05T09:59:59Z")), "Saturday 03:59");
    assertFalse(night.isOpen(utc("2026-12-05T10:00:00Z")));
    assertFalse(night.isOpen(utc("2026-12-06T05:00:00Z")), "Saturday night");
    assertEquals(
        Optional.of(utc("2026-12-12T04:00:00Z")), night.nextOpening(utc("2026-12-05T10:00:00Z")));
    assertEquals(Duration.ofHours(6), night.duration());
  }

  @Test
  void skippedHourShortensOrRemovesAWindow() {
    assertEquals(
        Duration.ofHours(1), daily("01:30", "03:30").occurrence(SPRING).orElseThrow().toDuration());
    assertEquals(Optional.empty(), daily("02:00", "03:00").occurrence(SPRING));
    assertEquals(
        Optional.of(utc("2026-03-30T00:00:00Z")),
        daily("02:00", "03:00").nextOpening(utc("2026-03-28T23:30:00Z")));
  }

  @Test
  void windowIsOpenInBothRepeatedHours() {
    MaintenanceWindow window = daily("02:00", "02:30");
    assertEquals(Duration.ofMinutes(90), window.occurrence(AUTUMN).orElseThrow().toDuration());
    assertTrue(window.isOpen(utc("2026-10-25T00:10:00Z")));
    assertTrue(window.isOpen(utc("2026-10-25T01:10:00Z")));
    assertFalse(window.isOpen(utc("2026-10-25T01:30:00Z")));
  }
}
