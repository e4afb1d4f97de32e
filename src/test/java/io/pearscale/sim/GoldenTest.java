package io.pearscale.sim;

import static org.junit.jupiter.api.Assertions.assertAll;

import io.pearscale.golden.GoldenFile;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * All that goes over the wire in each scenario, as it must stay while nothing is to change: by a
 * digest, and an example of each form of message and stored value. Where a digest differs, {@code
 * -Dgolden.transcripts=true} writes what was sent to {@code target/golden}, to be compared with the
 * same from the sources before.
 */
class GoldenTest {
  private static final long SEED = 1;

  /**
   * Jobs of thousands of tasks, whose commands that forget ended tasks come in an order that
   * differs from run to run. Of these the number of messages is compared alone.
   */
  private static final Set<String> UNORDERED_SCENARIOS =
      Set.of("job-too-large-for-its-record.txt", "rollout-then-smaller-limits.txt");

  private static final Path TRANSCRIPTS = Path.of("target/golden");

  @Test
  void wireMessagesMatchGoldenFiles() throws IOException {
    List<Path> files;
    try (Stream<Path> found = Files.list(Path.of("src/test/resources/scenarios"))) {
      files = found.filter(file -> file.toString().endsWith(".txt")).sorted().toList();
    }
    Map<String, String> examples = new LinkedHashMap<>();
    List<String> digests = new ArrayList<>();
    for (Path file : files) {
      Scenario scenario = Scenario.of(Files.readString(file), SEED);
      WireRecorder recorder = new WireRecorder(scenario.cluster(), examples);
      scenario.cluster().wireRecorder = Optional.of(recorder);
      scenario.run();
      String name = file.getFileName().toString();
      digests.add(
          name
              + " "
              + recorder.messageCount()
              + (UNORDERED_SCENARIOS.contains(name) ? "" : " " + recorder.digest()));
      if (!recorder.transcript().isEmpty()) {
        Files.createDirectories(TRANSCRIPTS);
        Files.writeString(TRANSCRIPTS.resolve(file.getFileName()), recorder.transcript());
      }
    }
    List<String> lines = new ArrayList<>();
    new TreeMap<>(examples).forEach((form, example) -> lines.add(form + "\n  " + example));
    assertAll(
        () -> GoldenFile.check("wire-examples.txt", lines),
        () -> GoldenFile.check("wire-digests.txt", digests));
  }
}
