package io.pearscale.cli;

import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** A command that uses the key-value store and exits. Provides settings, output and exit codes. */
abstract class OperatorCommand implements Callable<Integer> {
  /** Exit code for a request that is not allowed; nothing was changed. */
  static final int EXIT_REFUSED = 4;

  @CommandLine.Mixin Commands.SettingsFiles files;

  @Spec CommandSpec spec;

  /** Runs the command and returns its exit code; an exception means that the result is unknown. */
  abstract int run(KeyValueStoreSession session) throws IOException, SettingsException;

  @Override
  public Integer call() {
    try (KeyValueStoreSession session = new KeyValueStoreSession(files.readSettings())) {
      return run(session);
    } catch (SettingsException e) {
      return printError(e.getMessage(), Main.EXIT_INVALID_INPUT);
    } catch (IOException e) {
      return printError(e.getMessage() + "; nothing is known, ask again", Main.EXIT_FAILURE);
    }
  }

  /** Prints the reason to standard error, and returns the exit code. */
  int printError(String reason, int exitCode) {
    spec.commandLine().getErr().println("pearscale: " + reason);
    return exitCode;
  }

  /** Prints why the request is not allowed, and returns {@link #EXIT_REFUSED}. */
  int refuse(String reason) {
    return printError("refused: " + reason, EXIT_REFUSED);
  }

  /** Prints a line to standard output. */
  void print(String text) {
    spec.commandLine().getOut().println(text);
    spec.commandLine().getOut().flush();
  }

  /** Prints the outcome of a write, and returns the exit code for it. */
  int reportOutcome(KeyValueStoreSession.WriteOutcome outcome, String successMessage) {
    return switch (outcome) {
      case APPLIED -> {
        print(successMessage);
        yield 0;
      }
      case CONFLICT ->
          printError(
              "what it rests on changed meanwhile; nothing was written, ask for the status",
              Main.EXIT_FAILURE);
      case UNKNOWN ->
          printError(
              "no answer: it may have been done or may yet be, ask for the status",
              Main.EXIT_FAILURE);
    };
  }
}
