package io.pearscale.cli;

import java.nio.file.Path;

/** A settings file is missing something or holds what it must not; one line says what and where. */
final class SettingsException extends Exception {
  private static final long serialVersionUID = 1L;

  SettingsException(Path file, String key, String value, String expected) {
    super(
        "%s: %s: found %s, expected %s".formatted(file, key, value, expected), null, false, false);
  }
}
