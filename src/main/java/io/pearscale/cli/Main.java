package io.pearscale.cli;

import io.pearscale.bookkeeping.Tuning;
import io.pearscale.protocol.Settings;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.Callable;
import org.slf4j.LoggerFactory;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;
import picocli.CommandLine.Option;

/** The command line. Each subcommand is one tool; the daemon is {@code serve}. */
@Command(
    name = "pearscale",
    description = "A cluster scheduler.",
    mixinStandardHelpOptions = true,
    versionProvider = Main.Version.class,
    synopsisSubcommandLabel = "COMMAND",
    subcommands = {Main.Serve.class, Main.Check.class, WarmUp.class})
public final class Main {
  /** Settings or arguments are wrong. */
  static final int EXIT_SETTINGS = 2;

  /** Something failed while running. */
  static final int EXIT_FAILURE = 1;

  private Main() {}

  /** Runs a subcommand. */
  public static void main(String[] args) {
    configureLogging();
    int code = new CommandLine(new Main()).execute(args);
    if (code != 0 || args.length == 0 || !"serve".equals(args[0])) {
      System.exit(code);
    }
  }

  /** Logging goes to standard error; the level comes from the environment. */
  private static void configureLogging() {
    String level = Optional.ofNullable(System.getenv("LOG_LEVEL")).orElse("info");
    boolean known = level.equals("error") || level.equals("info") || level.equals("debug");
    System.setProperty("org.jboss.logging.provider", "slf4j");
    String prefix = "org.slf4j.simpleLogger.";
    System.setProperty(prefix + "defaultLogLevel", "warn");
    System.setProperty(prefix + "log.io.pearscale", known ? level : "info");
    System.setProperty(prefix + "showThreadName", "false");
    System.setProperty(prefix + "showShortLogName", "true");
    System.setProperty(prefix + "levelInBrackets", "false");
    if (!known) {
      LoggerFactory.getLogger(Main.class)
          .warn("event=unknown_log_level value={} expected=error|info|debug", level);
    }
  }

  /** Options that all commands with settings share. */
  static final class Files {
    @Option(
        names = "--config",
        required = true,
        paramLabel = "FILE",
        description = "the platform's settings (TOML)")
    Path config;

    @Option(
        names = "--tuning",
        paramLabel = "FILE",
        description = "operators' own settings (S-expressions)")
    Path tuning;

    Settings settings() throws SettingsError {
      return SettingsReader.read(config);
    }

    Tuning tuning() throws SettingsError {
      return TuningReader.read(Optional.ofNullable(tuning));
    }
  }

  @Command(
      name = "serve",
      description = "Runs a controller until it is killed.",
      mixinStandardHelpOptions = true)
  static final class Serve implements Callable<Integer> {
    @CommandLine.Mixin Files files;

    @Override
    public Integer call() {
      try {
        new Server(files.settings(), files.tuning()).start();
        return 0;
      } catch (SettingsError e) {
        System.err.println("pearscale: " + e.getMessage());
        return EXIT_SETTINGS;
      } catch (IOException | RuntimeException e) {
        System.err.println("pearscale: " + e.getMessage());
        return EXIT_FAILURE;
      }
    }
  }

  @Command(
      name = "check",
      description = "Checks the settings without serving.",
      mixinStandardHelpOptions = true)
  static final class Check implements Callable<Integer> {
    @CommandLine.Mixin Files files;

    @Override
    public Integer call() {
      try {
        Settings s = files.settings();
        files.tuning();
        System.out.println("settings of " + s.host() + " are good");
        return 0;
      } catch (SettingsError e) {
        System.err.println("pearscale: " + e.getMessage());
        return EXIT_SETTINGS;
      }
    }
  }

  static final class Version implements IVersionProvider {
    @Override
    public String[] getVersion() {
      String v = Main.class.getPackage().getImplementationVersion();
      return new String[] {"pearscale " + (v == null ? "(not packaged)" : v)};
    }
  }
}
