package io.pearscale.sim;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/** Runs each scenario under {@code src/test/resources/scenarios} with several seeds. */
class ScenarioTest {
  private static final Path FOLDER = Path.of("src/test/resources/scenarios");
  private static final int SEEDS = 3;

  @TestFactory
  Stream<DynamicTest> scenarios() throws IOException {
    List<Path> files;
    try (Stream<Path> found = Files.list(FOLDER)) {
      files = found.filter(p -> p.toString().endsWith(".txt")).sorted().toList();
    }
    assertFalse(files.isEmpty(), "no scenario files found");
    return files.stream()
        .flatMap(
            file ->
                LongStream.rangeClosed(1, SEEDS)
                    .mapToObj(
                        seed ->
                            DynamicTest.dynamicTest(
                                file.getFileName() + " seed " + seed, () -> play(file, seed))));
  }

  private static void play(Path file, long seed) throws IOException {
    String text = Files.readString(file);
    assertTrue(text.contains("expect "), "the scenario contains no expectations");
    List<String> failures = Scenario.play(text, seed);
    assertTrue(failures.isEmpty(), "seed " + seed + ":\n" + String.join("\n", failures));
  }
}
