package io.pearscale.cli;

import java.nio.file.Path;

/**
 * A missing or invalid value in a settings file. The message is one line that names the file, the
 * key, the value and what was expected.
 */
final class SettingsException extends Exception {
  private static final long serialVersionUID = 1L;

  SettingsException(Path file, String key, String value, String expected) {
    super(
        "%s: %s: found %s, expected %s".formatted(file, key, value, expected), null, false, false);
  }
}
