package io.pearscale.knownred;

import io.pearscale.knownred.KnownRedResults.Result;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Runs after the tests: prints each test that is listed as known to fail with its result, and fails
 * the build when a listed test passed or was not among the tests that ran.
 */
public final class KnownRedCheck {
  private KnownRedCheck() {}

  /** Checks this project's list against the results that its tests have recorded. */
  public static void main(String[] arguments) throws IOException {
    check(KnownRedList.FILE, KnownRedResults.FILE, System.out);
  }

  /** Prints the results of the listed tests; throws an exception if the list is out of date. */
  static void check(Path listFile, Path resultsFile, PrintStream out) throws IOException {
    KnownRedList list = KnownRedList.read(listFile);
    Map<String, Result> results = KnownRedResults.read(resultsFile);
    report(list, results).forEach(out::println);
    List<String> problems = problems(list, results);
    if (!problems.isEmpty()) {
      throw new IllegalStateException(String.join("; ", problems));
    }
  }

  /** Returns the number of listed tests, and a line for each. */
  private static List<String> report(KnownRedList list, Map<String, Result> results) {
    List<String> lines = new ArrayList<>();
    lines.add("tests known to be red: " + list.entries().size());
    for (KnownRedList.Entry entry : list.entries()) {
      String result = results.containsKey(entry.test()) ? results.get(entry.test()).name() : "NONE";
      lines.add(
          "known red: %s %s (issue %s): %s"
              .formatted(result, entry.test(), entry.issue(), entry.seen()));
    }
    return lines;
  }

  /** Returns what is out of date in the list; empty if nothing is. */
  private static List<String> problems(KnownRedList list, Map<String, Result> results) {
    List<String> problems = new ArrayList<>();
    for (KnownRedList.Entry entry : list.entries()) {
      Result result = results.get(entry.test());
      if (result == null) {
        problems.add("no such test has run: " + entry.test());
      } else if (result == Result.PASSED) {
        problems.add("green, to be taken off the list: " + entry.test());
      }
    }
    return problems;
  }
}
