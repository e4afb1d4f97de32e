package io.pearscale.cli;

import io.pearscale.scheduler.Operations;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

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

  private final Path file;
  private Optional<Duration> announceSupport = Optional.empty();
  private int highestLevel = Integer.MAX_VALUE;

  private OperationsReader(Path file) {
    this.file = file;
  }

  static Operations read(Optional<Path> file) throws SettingsError {
    return file.isEmpty() ? Operations.off() : new OperationsReader(file.get()).read();
  }

  private Operations read() throws SettingsError {
    try {
      for (List<String> entry : Sexp.read(Files.readString(file))) {
        take(entry);
      }
    } catch (IOException e) {
      throw new SettingsError(file, "file", "nothing readable", "a file of S-expressions");
    } catch (Sexp.Bad e) {
      throw new SettingsError(file, "file", e.getMessage(), "S-expressions");
    }
    return new Operations(announceSupport, highestLevel);
  }

  private void take(List<String> entry) throws SettingsError {
    switch (entry.isEmpty() ? "" : entry.get(0)) {
      case ANNOUNCE_SUPPORT -> {
        int seconds = number(entry, SHORTEST_ANNOUNCEMENT, LONGEST_ANNOUNCEMENT);
        announceSupport = Optional.of(Duration.ofSeconds(seconds));
      }
      case HIGHEST_LEVEL -> highestLevel = number(entry, 0, HIGHEST);
      default -> throw error(entry, ANNOUNCE_SUPPORT + " or " + HIGHEST_LEVEL);
    }
  }

  private int number(List<String> entry, int least, int most) throws SettingsError {
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

  private SettingsError error(List<String> entry, String expected) {
    return new SettingsError(file, "entry", "(" + String.join(" ", entry) + ")", expected);
  }
}
