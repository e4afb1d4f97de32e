package io.pearscale.knownred;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.platform.engine.discovery.DiscoverySelectors.selectClass;

import io.pearscale.knownred.KnownRedResults.Result;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;
import org.junit.jupiter.api.io.TempDir;
import org.junit.platform.testkit.engine.EngineExecutionResults;
import org.junit.platform.testkit.engine.EngineTestKit;

/** Tests that listed tests run, that their failures are ignored, and that a pass is reported. */
class KnownRedTest {
  private static final String SAMPLE = Samples.class.getName() + "#";

  @TempDir Path folder;

  /** Sample tests, which only the tests below run. */
  static class Samples {
    @Test
    void red() {
      throw new AssertionError("always");
    }

    @Test
    void green() {}

    @TestFactory
    Stream<DynamicTest> seeds() {
      return Stream.of(1, 2, 3)
          .map(seed -> DynamicTest.dynamicTest("seed " + seed, () -> assertEquals(3, seed)));
    }
  }

  private static String entry(String test) {
    return "test: %s\ncommand: mvn verify\nseen: it fails\nissue: 1\n\n".formatted(test);
  }

  private Path list() throws IOException {
    return folder.resolve("list.txt");
  }

  private Path results() {
    return folder.resolve("results.txt");
  }

  private EngineExecutionResults runSamples(String list) throws IOException {
    Files.writeString(list(), list);
    return EngineTestKit.engine("junit-jupiter")
        .selectors(selectClass(Samples.class))
        .configurationParameter("junit.jupiter.extensions.autodetection.enabled", "true")
        .configurationParameter(KnownRedExtension.LIST, list().toString())
        .configurationParameter(KnownRedExtension.RESULTS, results().toString())
        .execute();
  }

  private String checkOutput() throws IOException {
    ByteArrayOutputStream printed = new ByteArrayOutputStream();
    KnownRedCheck.check(list(), results(), new PrintStream(printed, true, StandardCharsets.UTF_8));
    return printed.toString(StandardCharsets.UTF_8);
  }

  private void assertCheckFails(String problems) {
    IllegalStateException error = assertThrows(IllegalStateException.class, this::checkOutput);
    assertEquals(problems, error.getMessage());
  }

  @Test
  void allFailuresCountWithoutAList() throws IOException {
    runSamples("")
        .testEvents()
        .assertStatistics(count -> count.started(5).failed(3).succeeded(2).aborted(0));
  }

  @Test
  void onlyListedFailuresAreIgnored() throws IOException {
    runSamples(entry(SAMPLE + "red") + entry(SAMPLE + "seeds[seed 2]"))
        .testEvents()
        .assertStatistics(count -> count.started(5).failed(1).succeeded(2).aborted(2));
    assertEquals(
        Map.of(SAMPLE + "red", Result.FAILED, SAMPLE + "seeds[seed 2]", Result.FAILED),
        KnownRedResults.read(results()));
    assertEquals(
        List.of(
            "tests known to be red: 2",
            "known red: FAILED " + SAMPLE + "red (issue 1): it fails",
            "known red: FAILED " + SAMPLE + "seeds[seed 2] (issue 1): it fails"),
        checkOutput().lines().toList());
  }

  @Test
  void listedTestThatPassesIsReported() throws IOException {
    runSamples(entry(SAMPLE + "green"))
        .testEvents()
        .assertStatistics(count -> count.started(5).failed(4).succeeded(1).aborted(0));
    assertCheckFails("green, to be taken off the list: " + SAMPLE + "green");
  }

  @Test
  void listedTestThatDidNotRunIsReported() throws IOException {
    runSamples(entry(SAMPLE + "seeds[seed 9]") + entry(SAMPLE + "seeds"));
    assertCheckFails(
        "no such test has run: %sseeds[seed 9]; no such test has run: %sseeds"
            .formatted(SAMPLE, SAMPLE));
  }

  @Test
  void listThatIsTooLongOrMalformedIsRejected() {
    String three = entry("a.T#a") + entry("a.T#b[x]") + entry("a.T#c");
    assertEquals(3, KnownRedList.parse("# a comment\n\n" + three).entries().size());
    for (String invalid :
        List.of(
            three + entry("a.T#d"),
            entry("a.T#a") + entry("a.T#a"),
            entry("a.T"),
            "test: a.T#a\n",
            entry("a.T#a").replace("it fails", ""),
            entry("a.T#a").replace("command:", "command"))) {
      assertThrows(IllegalArgumentException.class, () -> KnownRedList.parse(invalid), invalid);
    }
  }
}
