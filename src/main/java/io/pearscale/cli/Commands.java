package io.pearscale.cli;

import io.pearscale.protocol.ConnectionLimits;
import io.pearscale.protocol.Settings;
import io.pearscale.scheduler.OperatorSettings;
import io.pearscale.scheduler.model.Tuning;
import io.pearscale.upgrade.Release;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;
import picocli.CommandLine.Option;

/** The top-level command. {@code serve} runs a controller; the other subcommands run and exit. */
@Command(
    name = "pearscale",
    description = "A cluster scheduler.",
    mixinStandardHelpOptions = true,
    versionProvider = Commands.Version.class,
    synopsisSubcommandLabel = "COMMAND",
    subcommands = {
      Commands.Serve.class,
      Commands.Check.class,
      UpgradeCommand.class,
      DrainCommand.class,
      ShowCommands.Budget.class,
      ShowCommands.Leases.class,
      ShowCommands.Why.class,
      WarmUp.class
    })
final class Commands {
  private Commands() {}

  /** Runs the subcommand that the arguments name, and returns its exit code. */
  static int execute(String[] args) {
    return new CommandLine(new Commands()).execute(args);
  }

  /** Options for the settings files, shared by all commands that read them. */
  static final class SettingsFiles {
    @Option(
        names = "--config",
        required = true,
        paramLabel = "FILE",
        description = "the platform's settings (TOML)")
    Path configFile;

    @Option(
        names = "--tuning",
        paramLabel = "FILE",
        description = "operators' own settings (S-expressions)")
    Path tuningFile;

    @Option(
        names = "--operations",
        paramLabel = "FILE",
        description = "what is switched on beside scheduling (S-expressions)")
    Path operationsFile;

    Settings readSettings() throws SettingsException {
      return SettingsReader.read(configFile);
    }

    Tuning readTuning() throws SettingsException {
      return TuningReader.read(Optional.ofNullable(tuningFile));
    }

    OperatorSettings readOperations() throws SettingsException {
      return OperationsReader.read(Optional.ofNullable(operationsFile));
    }
  }

  @Command(
      name = "serve",
      description = "Runs a controller until it is killed.",
      mixinStandardHelpOptions = true)
  static final class Serve implements Callable<Integer> {
    @CommandLine.Mixin SettingsFiles files;

    @Override
    public Integer call() {
      return Main.serve(
          files.configFile,
          Optional.ofNullable(files.tuningFile),
          Optional.ofNullable(files.operationsFile));
    }
  }

  @Command(
      name = "check",
      description = "Checks the settings without serving.",
      mixinStandardHelpOptions = true)
  static final class Check implements Callable<Integer> {
    @CommandLine.Mixin SettingsFiles files;

    @Override
    public Integer call() {
      try {
        Settings settings = files.readSettings();
        files.readTuning();
        files.readOperations();
        System.out.println("settings of " + settings.controllerName() + " are good");
        System.out.println(
            describeConnectionLimits(settings.maxConnections(), settings.connectionLimits()));
        return 0;
      } catch (SettingsException e) {
        System.err.println("pearscale: " + e.getMessage());
        return Main.EXIT_INVALID_INPUT;
      }
    }
  }

  /** Describes the connection limits that follow from the limit on file descriptors. */
  static String describeConnectionLimits(int fdLimit, ConnectionLimits limits) {
    return "fd_limit %d: up to %d workers keep their connections, more share them by turns; %d calls at a time; %d reports wait for an election"
        .formatted(
            fdLimit, limits.maxKeptAlive(), limits.outbound(), limits.maxWaitingHeartbeats());
  }

  static final class Version implements IVersionProvider {
    @Override
    public String[] getVersion() {
      return new String[] {"pearscale " + Release.name()};
    }
  }
}
