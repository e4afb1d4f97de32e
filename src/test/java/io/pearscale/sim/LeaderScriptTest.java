package io.pearscale.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/** Runs each script under {@code src/test/resources/leader}. */
class LeaderScriptTest {
  @TestFactory
  Stream<DynamicTest> scripts() throws IOException {
    List<Path> files;
    try (Stream<Path> found = Files.list(Path.of("src/test/resources/leader"))) {
      files = found.sorted().toList();
    }
    assertTrue(files.size() > 5, "expected more than 5 leader scripts");
    return files.stream()
        .map(
            p ->
                DynamicTest.dynamicTest(
                    p.getFileName().toString(),
                    () -> assertEquals(Optional.empty(), LeaderScript.play(Files.readString(p)))));
  }
}
