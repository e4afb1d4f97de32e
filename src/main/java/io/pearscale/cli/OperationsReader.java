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
 * Reads what operators have switched on: an optional file of S-expressions such as {@code
 * (announce-support-s 60)}. Unlike the tuning it has no unknown entries: one that is misspelt would
 * switch nothing on, and nobody would know.
 */
final class OperationsReader {
  private static final String ANNOUNCE_SUPPORT = "announce-support-s";
  private static final String HIGHEST_LEVEL = "highest-level";
  private static final int SHORTEST_ANNOUNCEMENT = 5;
  private static final int LONGEST_ANNOUNCEMENT = 600;
  private static final int HIGHEST = 1000;
  private static final String AUTOMATIC_LEVEL = "automatic-level";
  private static final String DRAINS = "drains";
  private static final String BUDGET = "budget";
  private static final String WINDOW = "window";
  private static final double MOST_OF_A_BUDGET = 1_000_000;
  private static final int LETTERS_OF_A_DAY = 3;

  private final Path file;
  private final List<DisruptionBudget> budgets = new ArrayList<>();
  private final Map<String, MaintenanceWindow> windows = new LinkedHashMap<>();
  private boolean drains;
  private Optional<Duration> announceSupport = OperatorSettings.defaults().supportRecordTtl();
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
        take(entry);
      }
    } catch (IOException e) {
      throw new SettingsException(file, "file", "nothing readable", "a file of S-expressions");
    } catch (SExpressionReader.SExpressionException e) {
      throw new SettingsException(file, "file", e.getMessage(), "S-expressions");
    }
    return new OperatorSettings(
        announceSupport,
        highestLevel,
        automaticLevel,
        drains ? Optional.of(new DrainSettings(budgets, windows)) : Optional.empty());
  }

  private void take(List<String> entry) throws SettingsException {
    switch (entry.isEmpty() ? "" : entry.get(0)) {
      case ANNOUNCE_SUPPORT -> {
        int seconds = number(entry, SHORTEST_ANNOUNCEMENT, LONGEST_ANNOUNCEMENT);
        announceSupport = Optional.of(Duration.ofSeconds(seconds));
      }
      case HIGHEST_LEVEL -> highestLevel = number(entry, 0, HIGHEST);
      case AUTOMATIC_LEVEL -> {
        if (!entry.equals(List.of(AUTOMATIC_LEVEL, "off"))) {
          throw error(entry, "(automatic-level off)");
        }
        automaticLevel = false;
      }
      case DRAINS -> {
        if (!entry.equals(List.of(DRAINS, "on"))) {
          throw error(entry, "(drains on)");
        }
        drains = true;
      }
      case BUDGET -> budgets.add(budget(entry));
      case WINDOW -> window(entry);
      default ->
          throw error(
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

  private DisruptionBudget budget(List<String> entry) throws SettingsException {
    String expected = "(budget TEAM|* CLASS|* most-down|most-down-share|least-up|most-lost-s N)";
    Optional<Kind> kind = entry.size() == 5 ? Kind.parse(entry.get(3)) : Optional.empty();
    if (kind.isEmpty()) {
      throw error(entry, expected);
    }
    double most = kind.get() == Kind.MAX_UNAVAILABLE_SHARE ? 1 : MOST_OF_A_BUDGET;
    try {
      double amount = Double.parseDouble(entry.get(4));
      if (!(amount >= 0 && amount <= most)) {
        throw error(entry, expected + " with a number from 0 to " + most);
      }
      Optional<String> jobClass = Optional.of(entry.get(2)).filter(c -> !c.equals("*"));
      return new DisruptionBudget(entry.get(1), jobClass, kind.get(), amount);
    } catch (NumberFormatException e) {
      throw error(entry, expected);
    }
  }

  private void window(List<String> entry) throws SettingsException {
    String expected =
        "(window NAME ZONE DAYS FROM TO) such as (window night America/Costa_Rica mon,tue 22:00 04:00)";
    if (entry.size() != 6 || windows.containsKey(entry.get(1))) {
      throw error(entry, expected + ", each name once");
    }
    try {
      MaintenanceWindow window =
          new MaintenanceWindow(
              entry.get(1),
              ZoneId.of(entry.get(2)),
              days(entry.get(3)),
              LocalTime.parse(entry.get(4)),
              LocalTime.parse(entry.get(5)));
      if (window.startTime().equals(window.endTime())) {
        throw error(entry, expected + ", with another end than its begin");
      }
      windows.put(window.name(), window);
    } catch (DateTimeException | IllegalArgumentException e) {
      throw error(entry, expected);
    }
  }

  /** Days such as {@code mon,tue}, or {@code daily}. */
  private static Set<DayOfWeek> days(String text) {
    if (text.equals("daily")) {
      return EnumSet.allOf(DayOfWeek.class);
    }
    Set<DayOfWeek> days = EnumSet.noneOf(DayOfWeek.class);
    for (String word : text.split(",")) {
      DayOfWeek found = null;
      for (DayOfWeek day : DayOfWeek.values()) {
        boolean named = day.name().substring(0, LETTERS_OF_A_DAY).equalsIgnoreCase(word);
        found = named ? day : found;
      }
      if (found == null) {
        throw new IllegalArgumentException(word);
      }
      days.add(found);
    }
    return days;
  }

  private int number(List<String> entry, int least, int most) throws SettingsException {
    String expected = "(%s N) with a number from %d to %d".formatted(entry.get(0), least, most);
    if (entry.size() != 2) {
      throw error(entry, expected);
    }
    try {
      int value = Integer.parseInt(entry.get(1));
      if (value < least || value > most) {
        throw error(entry, expected);
      }
      return value;
    } catch (NumberFormatException e) {
      throw error(entry, expected);
    }
  }

  private SettingsException error(List<String> entry, String expected) {
    return new SettingsException(file, "entry", "(" + String.join(" ", entry) + ")", expected);
  }
}
