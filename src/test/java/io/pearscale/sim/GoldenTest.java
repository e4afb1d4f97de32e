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
 * Detects unintended changes of wire messages and stored values. For each scenario it compares a
 * digest of all messages with a golden file, and it compares one example of each message and value
 * format. If a digest differs, run with {@code -Dgolden.transcripts=true} before and after the
 * change, and compare the transcripts in {@code target/golden}.
 */
class GoldenTest {
  private static final long SEED = 1;

  /**
   * Scenarios with jobs of thousands of tasks, for which the order of the commands that clear ended
   * tasks differs between runs. Only their number of messages is compared.
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
