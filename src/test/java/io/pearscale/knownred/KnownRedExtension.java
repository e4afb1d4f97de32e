package io.pearscale.knownred;

import io.pearscale.knownred.KnownRedResults.Result;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.reflect.Method;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.extension.DynamicTestInvocationContext;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.extension.InvocationInterceptor;
import org.junit.jupiter.api.extension.ReflectiveInvocationContext;
import org.opentest4j.TestAbortedException;

/**
 * Runs the tests that are listed as known to fail like all others, and reports their failure as
 * aborted. A listed test that passes is reported as failed, since its entry is stale. The service
 * loader registers this extension for all tests.
 */
public final class KnownRedExtension implements InvocationInterceptor {
  static final String LIST = "pearscale.knownRed.list";
  static final String RESULTS = "pearscale.knownRed.results";

  static {
    // Results of an earlier run must not be taken for results of this one.
    try {
      Files.deleteIfExists(KnownRedResults.FILE);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public void interceptTestMethod(
      Invocation<Void> invocation,
      ReflectiveInvocationContext<Method> method,
      ExtensionContext context)
      throws Throwable {
    run(invocation, idOfMethod(context), context);
  }

  @Override
  public void interceptDynamicTest(
      Invocation<Void> invocation, DynamicTestInvocationContext test, ExtensionContext context)
      throws Throwable {
    String id = idOfMethod(context) + "[" + context.getDisplayName() + "]";
    run(invocation, id, context);
  }

  private static String idOfMethod(ExtensionContext context) {
    ExtensionContext methodContext = context;
    while (methodContext.getTestMethod().isEmpty()) {
      methodContext = methodContext.getParent().orElseThrow();
    }
    return methodContext.getRequiredTestClass().getName()
        + "#"
        + methodContext.getRequiredTestMethod().getName();
  }

  private static void run(Invocation<Void> invocation, String id, ExtensionContext context)
      throws Throwable {
    KnownRedList list =
        KnownRedList.read(
            context.getConfigurationParameter(LIST).map(Path::of).orElse(KnownRedList.FILE));
    if (!list.contains(id)) {
      invocation.proceed();
      return;
    }
    Path results =
        context.getConfigurationParameter(RESULTS).map(Path::of).orElse(KnownRedResults.FILE);
    try {
      invocation.proceed();
    } catch (Exception | AssertionError e) {
      KnownRedResults.append(results, id, Result.FAILED);
      throw new TestAbortedException("known to be red: " + id, e);
    }
    KnownRedResults.append(results, id, Result.PASSED);
    throw new AssertionError("green, but listed in KNOWN-RED.txt: " + id);
  }
}
