package io.pearscale.cli;

import io.pearscale.transport.DisabledMBeanServerBuilder;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import org.slf4j.LoggerFactory;

/**
 * The entry point of the program. The usual command of a controller, {@code serve --config FILE},
 * is recognized here; {@link Commands} parses all others. The command-line library is compiled for
 * such an old Java version that its classes can't be put into the class data archive: loading,
 * verifying and querying two hundred of them took a third of the processor time of a start, and a
 * controller may have only a few hundredths of a core.
 */
public final class Main {
  /** Exit code for invalid settings or arguments. */
  static final int EXIT_INVALID_INPUT = 2;

  /** Exit code for a failure at run time. */
  static final int EXIT_FAILURE = 1;

  private static final String SERVE = "serve";
  private static final String CONFIG = "--config";

  private Main() {}

  /** Runs the command that the arguments name. A controller keeps running after this returns. */
  public static void main(String[] args) {
    configureLogging();
    DisabledMBeanServerBuilder.install();
    int code =
        isPlainServe(args)
            ? serve(Path.of(args[2]), Optional.empty(), Optional.empty())
            : Commands.execute(args);
    if (code != 0 || args.length == 0 || !SERVE.equals(args[0])) {
      System.exit(code);
    }
  }

  private static boolean isPlainServe(String[] args) {
    return args.length == 3 && SERVE.equals(args[0]) && CONFIG.equals(args[1]);
  }

  /** Starts a controller, which keeps running after this returns 0; else returns an exit code. */
  static int serve(Path config, Optional<Path> tuning, Optional<Path> operations) {
    try {
      new Server(
          SettingsReader.read(config),
          TuningReader.read(tuning),
          OperationsReader.read(operations));
      return 0;
    } catch (SettingsException e) {
      System.err.println("pearscale: " + e.getMessage());
      return EXIT_INVALID_INPUT;
    } catch (IOException | RuntimeException e) {
      System.err.println("pearscale: " + e.getMessage());
      return EXIT_FAILURE;
    }
  }

  /** Logs to standard error, at the level that the environment variable LOG_LEVEL names. */
  private static void configureLogging() {
    String level = Optional.ofNullable(System.getenv("LOG_LEVEL")).orElse("info");
    boolean validLevel = level.equals("error") || level.equals("info") || level.equals("debug");
    System.setProperty("org.jboss.logging.provider", "slf4j");
    String prefix = "org.slf4j.simpleLogger.";
    System.setProperty(prefix + "defaultLogLevel", "warn");
    System.setProperty(prefix + "log.io.pearscale", validLevel ? level : "info");
    System.setProperty(prefix + "showThreadName", "false");
    System.setProperty(prefix + "showShortLogName", "true");
    System.setProperty(prefix + "levelInBrackets", "false");
    if (!validLevel) {
      LoggerFactory.getLogger(Main.class)
          .warn("event=unknown_log_level value={} expected=error|info|debug", level);
    }
  }
}
