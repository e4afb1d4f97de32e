package io.pearscale.cli;

import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** A command that talks to the state service and ends: its files, its output and its exit codes. */
abstract class OperatorCommand implements Callable<Integer> {
  /** What was asked for must not be done; nothing was changed. */
  static final int EXIT_REFUSED = 4;

  @CommandLine.Mixin Commands.SettingsFiles files;

  @Spec CommandSpec spec;

  /** Does its work; what is thrown says that nothing is known. */
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

  /** Says why there is no result. */
  int printError(String reason, int exitCode) {
    spec.commandLine().getErr().println("pearscale: " + reason);
    return exitCode;
  }

  /** Says that something must not be done. */
  int refuse(String reason) {
    return printError("refused: " + reason, EXIT_REFUSED);
  }

  /** Says a line of the result. */
  void print(String text) {
    spec.commandLine().getOut().println(text);
    spec.commandLine().getOut().flush();
  }

  /** The exit code for what came of a write, said where it was not carried out. */
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
