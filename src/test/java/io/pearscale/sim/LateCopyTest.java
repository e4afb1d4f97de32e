package io.pearscale.sim;

import static org.junit.jupiter.api.Assertions.assertAll;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Guards against a start that is executed once more: a table of all that may have become of an
 * attempt when a copy of its start, which the agent had executed and answered, reaches the agent
 * again just after a controller or a machine was back. Each row names the token or the incarnation
 * that has to protect the task.
 */
class LateCopyTest {
  private static final long SEED = Long.getLong("pearscale.firstSeed", 1);

  @TestFactory
  Stream<DynamicTest> copyOfExecutedStartHasNoEffect() {
    return LateCopyCase.all().stream()
        .map(row -> DynamicTest.dynamicTest(row.title(), () -> check(row)));
  }

  private static void check(LateCopyCase row) {
    LateCopyRun.Result result = new LateCopyRun(row, SEED).play();
    assertAll(
        () -> assertEquals(row.requiredGuard(), result.guard(), row.title()),
        () -> assertEquals(List.of(), result.violations(), row.title()));
  }
}
