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

  @CommandLine.Mixin Commands.Files files;

  @Spec CommandSpec spec;

  /** Does its work; what is thrown says that nothing is known. */
  abstract int run(StateSession state) throws IOException, SettingsException;

  @Override
  public Integer call() {
    try (StateSession state = new StateSession(files.settings())) {
      return run(state);
    } catch (SettingsException e) {
      return fail(e.getMessage(), Main.EXIT_SETTINGS);
    } catch (IOException e) {
      return fail(e.getMessage() + "; nothing is known, ask again", Main.EXIT_FAILURE);
    }
  }

  /** Says why there is no result. */
  int fail(String reason, int code) {
    spec.commandLine().getErr().println("pearscale: " + reason);
    return code;
  }

  /** Says that something must not be done. */
  int refuse(String reason) {
    return fail("refused: " + reason, EXIT_REFUSED);
  }

  /** Says a line of the result. */
  void say(String text) {
    spec.commandLine().getOut().println(text);
    spec.commandLine().getOut().flush();
  }

  /** The exit code for what came of a write, said where it was not carried out. */
  int conclude(StateSession.Written written, String done) {
    return switch (written) {
      case DONE -> {
        say(done);
        yield 0;
      }
      case CHANGED_MEANWHILE ->
          fail(
              "what it rests on changed meanwhile; nothing was written, ask for the status",
              Main.EXIT_FAILURE);
      case UNKNOWN ->
          fail(
              "no answer: it may have been done or may yet be, ask for the status",
              Main.EXIT_FAILURE);
    };
  }
}
