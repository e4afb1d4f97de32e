package io.pearscale.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Compares test output with a file under {@code src/test/resources/golden}, byte by byte; a missing
 * file is a failure. The files are written only on request, with {@code -Dgolden.write=true}, and
 * the test that writes one fails, so that no build passes while writing.
 */
public final class GoldenFile {
  private static final Path FOLDER = Path.of("src/test/resources/golden");
  private static final String WRITE = "golden.write";

  private GoldenFile() {}

  /** Fails unless the file consists of these lines. */
  public static void check(String name, List<String> lines) {
    Path file = FOLDER.resolve(name);
    String actual = String.join("\n", lines) + "\n";
    try {
      if (Boolean.getBoolean(WRITE)) {
        Files.createDirectories(FOLDER);
        Files.writeString(file, actual);
        fail(file + " was written; run without -D" + WRITE);
      }
      assertTrue(Files.exists(file), file + " is missing");
      assertEquals(Files.readString(file), actual, file.toString());
    } catch (IOException e) {
      fail(file + " can't be read or written", e);
    }
  }
}
