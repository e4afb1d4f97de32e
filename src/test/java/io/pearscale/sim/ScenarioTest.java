package io.pearscale.sim;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/** Plays each scenario under {@code src/test/resources/scenarios} with a few seeds. */
class ScenarioTest {
  private static final Path FOLDER = Path.of("src/test/resources/scenarios");

  @TestFactory
  Stream<DynamicTest> scenarios() throws IOException {
    List<Path> files;
    try (Stream<Path> found = Files.list(FOLDER)) {
      files = found.filter(p -> p.toString().endsWith(".txt")).sorted().toList();
    }
    assertFalse(files.isEmpty(), "no scenarios found");
    return files.stream()
        .map(p -> DynamicTest.dynamicTest(p.getFileName().toString(), () -> play(p)));
  }

  private static void play(Path file) throws IOException {
    String text = Files.readString(file);
    assertTrue(text.contains("expect "), "a scenario without expectations");
    for (long seed = 1; seed <= 3; seed++) {
      List<String> failures = Scenario.play(text, seed);
      assertTrue(failures.isEmpty(), "seed " + seed + ":\n" + String.join("\n", failures));
    }
  }
}
