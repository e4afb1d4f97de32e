package io.pearscale.knownred;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.HashMap;
import java.util.Map;

/** How the listed tests came out, handed on from the run of the tests to the check after it. */
final class KnownRedResults {
  /** Where the results of this project's tests lie. */
  static final Path FILE = Path.of("target", "known-red-results.txt");

  /** What became of a listed test. */
  enum Result {
    FAILED,
    PASSED
  }

  private KnownRedResults() {}

  /** Notes the result of one test. */
  static void append(Path file, String test, Result result) throws IOException {
    Files.createDirectories(file.toAbsolutePath().getParent());
    Files.writeString(
        file, result + " " + test + "\n", StandardOpenOption.CREATE, StandardOpenOption.APPEND);
  }

  /** The results by test; empty when no listed test was run. */
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
