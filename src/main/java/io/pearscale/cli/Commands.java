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

/** The command line. Each subcommand is one tool; the daemon is {@code serve}. */
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

  /** Runs what the arguments name, and returns the exit code. */
  static int execute(String[] args) {
    return new CommandLine(new Commands()).execute(args);
  }

  /** Options that all commands with settings share. */
  static final class SettingsFiles {
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

    @Option(
        names = "--operations",
        paramLabel = "FILE",
        description = "what is switched on beside scheduling (S-expressions)")
    Path operations;

    Settings settings() throws SettingsException {
      return SettingsReader.read(config);
    }

    Tuning tuning() throws SettingsException {
      return TuningReader.read(Optional.ofNullable(tuning));
    }

    OperatorSettings operations() throws SettingsException {
      return OperationsReader.read(Optional.ofNullable(operations));
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
          files.config, Optional.ofNullable(files.tuning), Optional.ofNullable(files.operations));
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
        Settings settings = files.settings();
        files.tuning();
        files.operations();
        System.out.println("settings of " + settings.controllerName() + " are good");
        System.out.println(describeSockets(settings.maxConnections(), settings.connectionLimits()));
        return 0;
      } catch (SettingsException e) {
        System.err.println("pearscale: " + e.getMessage());
        return Main.EXIT_SETTINGS;
      }
    }
  }

  /** What the sockets of the settings suffice for. */
  static String describeSockets(int fdLimit, ConnectionLimits shares) {
    return "fd_limit %d: up to %d workers keep their connections, more share them by turns; %d calls at a time; %d reports wait for an election"
        .formatted(
            fdLimit, shares.maxKeptAlive(), shares.outbound(), shares.maxWaitingHeartbeats());
  }

  static final class Version implements IVersionProvider {
    @Override
    public String[] getVersion() {
      return new String[] {"pearscale " + Release.name()};
    }
  }
}
