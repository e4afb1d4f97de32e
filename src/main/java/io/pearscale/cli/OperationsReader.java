package io.pearscale.cli;

import io.pearscale.drain.DisruptionBudget;
import io.pearscale.drain.DisruptionBudget.Kind;
import io.pearscale.drain.DrainSettings;
import io.pearscale.drain.MaintenanceWindow;
import io.pearscale.scheduler.OperatorSettings;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.DateTimeException;
import java.time.DayOfWeek;
import java.time.Duration;
import java.time.LocalTime;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Reads the features that operators have enabled from an optional file of S-expressions such as
 * {@code (announce-support-s 60)}. Unlike in the tuning file, an unknown entry is an error: a
 * misspelt entry would enable nothing, and nobody would notice.
 */
final class OperationsReader {
  private static final String ANNOUNCE_SUPPORT = "announce-support-s";
  private static final String HIGHEST_LEVEL = "highest-level";
  private static final int MIN_SUPPORT_TTL_SECONDS = 5;
  private static final int MAX_SUPPORT_TTL_SECONDS = 600;
  private static final int MAX_HIGHEST_LEVEL = 1000;
  private static final String AUTOMATIC_LEVEL = "automatic-level";
  private static final String DRAINS = "drains";
  private static final String BUDGET = "budget";
  private static final String WINDOW = "window";
  private static final double MAX_BUDGET_AMOUNT = 1_000_000;
  private static final int DAY_ABBREVIATION_LENGTH = 3;

  private final Path file;
  private final List<DisruptionBudget> budgets = new ArrayList<>();
  private final Map<String, MaintenanceWindow> windows = new LinkedHashMap<>();
  private boolean drainsEnabled;
  private Optional<Duration> supportRecordTtl = OperatorSettings.defaults().supportRecordTtl();
  private boolean automaticLevel = true;
  private int highestLevel = Integer.MAX_VALUE;

  private OperationsReader(Path file) {
    this.file = file;
  }

  static OperatorSettings read(Optional<Path> file) throws SettingsException {
    return file.isEmpty() ? OperatorSettings.defaults() : new OperationsReader(file.get()).read();
  }

  private OperatorSettings read() throws SettingsException {
    try {
      for (List<String> entry : SExpressionReader.read(Files.readString(file))) {
        applyEntry(entry);
      }
    } catch (IOException e) {
      throw new SettingsException(file, "file", "nothing readable", "a file of S-expressions");
    } catch (SExpressionReader.SExpressionException e) {
      throw new SettingsException(file, "file", e.getMessage(), "S-expressions");
    }
    return new OperatorSettings(
        supportRecordTtl,
        highestLevel,
        automaticLevel,
        drainsEnabled ? Optional.of(new DrainSettings(budgets, windows)) : Optional.empty());
  }

  private void applyEntry(List<String> entry) throws SettingsException {
    switch (entry.isEmpty() ? "" : entry.get(0)) {
      case ANNOUNCE_SUPPORT -> {
        int seconds = parseInteger(entry, MIN_SUPPORT_TTL_SECONDS, MAX_SUPPORT_TTL_SECONDS);
        supportRecordTtl = Optional.of(Duration.ofSeconds(seconds));
      }
      case HIGHEST_LEVEL -> highestLevel = parseInteger(entry, 0, MAX_HIGHEST_LEVEL);
      case AUTOMATIC_LEVEL -> {
        if (!entry.equals(List.of(AUTOMATIC_LEVEL, "off"))) {
          throw invalidEntry(entry, "(automatic-level off)");
        }
        automaticLevel = false;
      }
      case DRAINS -> {
        if (!entry.equals(List.of(DRAINS, "on"))) {
          throw invalidEntry(entry, "(drains on)");
        }
        drainsEnabled = true;
      }
      case BUDGET -> budgets.add(parseBudget(entry));
      case WINDOW -> parseWindow(entry);
      default ->
          throw invalidEntry(
              entry,
              String.join(
                  ", ",
                  ANNOUNCE_SUPPORT,
                  HIGHEST_LEVEL,
                  AUTOMATIC_LEVEL,
                  DRAINS,
                  BUDGET,
                  "or " + WINDOW));
    }
  }

  private DisruptionBudget parseBudget(List<String> entry) throws SettingsException {
    String expected = "(budget TEAM|* CLASS|* most-down|most-down-share|least-up|most-lost-s N)";
    Optional<Kind> kind = entry.size() == 5 ? Kind.parse(entry.get(3)) : Optional.empty();
    if (kind.isEmpty()) {
      throw invalidEntry(entry, expected);
    }
    double maxAmount = kind.get() == Kind.MAX_UNAVAILABLE_SHARE ? 1 : MAX_BUDGET_AMOUNT;
    try {
      double amount = Double.parseDouble(entry.get(4));
      if (!(amount >= 0 && amount <= maxAmount)) {
        throw invalidEntry(entry, expected + " with a number from 0 to " + maxAmount);
      }
      Optional<String> jobClass = Optional.of(entry.get(2)).filter(c -> !c.equals("*"));
      return new DisruptionBudget(entry.get(1), jobClass, kind.get(), amount);
    } catch (NumberFormatException e) {
      throw invalidEntry(entry, expected);
    }
  }

  private void parseWindow(List<String> entry) throws SettingsException {
    String expected =
        "(window NAME ZONE DAYS FROM TO) such as (window night America/Costa_Rica mon,tue 22:00 04:00)";
    if (entry.size() != 6 || windows.containsKey(entry.get(1))) {
      throw invalidEntry(entry, expected + ", each name once");
    }
    try {
      MaintenanceWindow window =
          new MaintenanceWindow(
              entry.get(1),
              ZoneId.of(entry.get(2)),
              parseDays(entry.get(3)),
              LocalTime.parse(entry.get(4)),
              LocalTime.parse(entry.get(5)));
      if (window.startTime().equals(window.endTime())) {
        throw invalidEntry(entry, expected + ", with another end than its begin");
      }
      windows.put(window.name(), window);
    } catch (DateTimeException | IllegalArgumentException e) {
      throw invalidEntry(entry, expected);
    }
  }

  /** Parses a list of days such as {@code mon,tue}, or {@code daily} for all days. */
  private static Set<DayOfWeek> parseDays(String text) {
    if (text.equals("daily")) {
      return EnumSet.allOf(DayOfWeek.class);
    }
    Set<DayOfWeek> days = EnumSet.noneOf(DayOfWeek.class);
    for (String abbreviation : text.split(",")) {
      DayOfWeek match = null;
      for (DayOfWeek day : DayOfWeek.values()) {
        boolean matches =
            day.name().substring(0, DAY_ABBREVIATION_LENGTH).equalsIgnoreCase(abbreviation);
        match = matches ? day : match;
      }
      if (match == null) {
        throw new IllegalArgumentException(abbreviation);
      }
      days.add(match);
    }
    return days;
  }

  private int parseInteger(List<String> entry, int min, int max) throws SettingsException {
    String expected = "(%s N) with a number from %d to %d".formatted(entry.get(0), min, max);
    if (entry.size() != 2) {
      throw invalidEntry(entry, expected);
    }
    try {
      int value = Integer.parseInt(entry.get(1));
      if (value < min || value > max) {
        throw invalidEntry(entry, expected);
      }
      return value;
    } catch (NumberFormatException e) {
      throw invalidEntry(entry, expected);
    }
  }

  private SettingsException invalidEntry(List<String> entry, String expected) {
    return new SettingsException(file, "entry", "(" + String.join(" ", entry) + ")", expected);
  }
}
