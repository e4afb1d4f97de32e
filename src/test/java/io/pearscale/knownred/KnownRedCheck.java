package io.pearscale.knownred;

import io.pearscale.knownred.KnownRedResults.Result;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Runs after the tests: prints each test that is known to be red with its result, and fails the
 * build when a listed one is green or was not among the tests that ran.
 */
public final class KnownRedCheck {
  private KnownRedCheck() {}

  /** Checks the list of this project against what its tests have noted. */
  public static void main(String[] arguments) throws IOException {
    check(KnownRedList.FILE, KnownRedResults.FILE, System.out);
  }

  /** Prints what became of the listed tests; an exception says why the list is not true. */
  static void check(Path listFile, Path resultsFile, PrintStream out) throws IOException {
    KnownRedList list = KnownRedList.read(listFile);
    Map<String, Result> results = KnownRedResults.read(resultsFile);
    report(list, results).forEach(out::println);
    List<String> problems = problems(list, results);
    if (!problems.isEmpty()) {
      throw new IllegalStateException(String.join("; ", problems));
    }
  }

  /** A line for each listed test. */
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

  /** Why the list is not true; empty when it is. */
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
