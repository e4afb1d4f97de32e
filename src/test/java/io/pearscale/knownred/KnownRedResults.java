package io.pearscale.knownred;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.HashMap;
import java.util.Map;

/** The results of the listed tests, in a file that the tests write and the later check reads. */
final class KnownRedResults {
  /** The path of the results of this project's tests. */
  static final Path FILE = Path.of("target", "known-red-results.txt");

  /** The result of a listed test. */
  enum Result {
    FAILED,
    PASSED
  }

  private KnownRedResults() {}

  /** Appends the result of one test. */
  static void append(Path file, String test, Result result) throws IOException {
    Files.createDirectories(file.toAbsolutePath().getParent());
    Files.writeString(
        file, result + " " + test + "\n", StandardOpenOption.CREATE, StandardOpenOption.APPEND);
  }

  /** Returns the results by test; empty if no listed test has run. */
  static Map<String, Result> read(Path file) throws IOException {
    Map<String, Result> results = new HashMap<>();
    if (Files.exists(file)) {
      for (String line : Files.readAllLines(file)) {
        String[] fields = line.split(" ", 2);
        results.put(fields[1], Result.valueOf(fields[0]));
      }
    }
    return results;
  }
}
