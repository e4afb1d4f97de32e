package io.pearscale.cli;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.storage.KeyValueStoreClient.Mutation;
import io.pearscale.storage.Keys;
import io.pearscale.upgrade.SupportedLevels;
import io.pearscale.upgrade.UpgradePlan;
import io.pearscale.upgrade.UpgradePlan.Outcome;
import java.io.IOException;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Commands for upgrades to another release: they show the schema level, and change it. */
@Command(
    name = "upgrade",
    description = "Answers questions on replacing controllers by another release, and takes steps.",
    mixinStandardHelpOptions = true,
    synopsisSubcommandLabel = "COMMAND",
    subcommands = {
      UpgradeCommand.Status.class,
      UpgradeCommand.Plan.class,
      UpgradeCommand.Finalise.class,
      UpgradeCommand.Rollback.class
    })
final class UpgradeCommand implements Callable<Integer> {
  /** Exit code when this build does not support the stored state and must not use it. */
  static final int EXIT_INCOMPATIBLE_BUILD = 3;

  @Spec CommandSpec spec;

  @Override
  public Integer call() {
    spec.commandLine().usage(spec.commandLine().getErr());
    return Main.EXIT_INVALID_INPUT;
  }

  /** A command that reads the upgrade state of the cluster before it runs. */
  private abstract static class ClusterCommand extends OperatorCommand {
    abstract int run(KeyValueStoreSession session, UpgradeView view) throws IOException;

    @Override
    int run(KeyValueStoreSession session) throws IOException, SettingsException {
      SupportedLevels build =
          SupportedLevels.OF_THIS_BUILD.upTo(files.readOperations().highestLevel());
      return run(session, UpgradeView.read(session, files.readSettings(), build));
    }

    /** Stores the change of the level, or prints why there is none. */
    int applyOutcome(
        KeyValueStoreSession session,
        UpgradeView view,
        Outcome outcome,
        Set<String> confirmedAbsent)
        throws IOException {
      if (outcome instanceof UpgradePlan.NoChange noChange) {
        print("nothing to do: " + noChange.reason());
        return 0;
      }
      if (outcome instanceof UpgradePlan.Refusal refusal) {
        return refuse(String.join("; ", refusal.reasons()));
      }
      ObjectNode record = ((UpgradePlan.LevelChange) outcome).next().toNode(view.storedLevel());
      if (!confirmedAbsent.isEmpty()) {
        ArrayNode absentNode = record.putArray("absent");
        confirmedAbsent.forEach(absentNode::add);
      }
      return reportOutcome(
          session.write(view.preconditions(), List.of(Mutation.put(Keys.LEVEL, record))),
          "done: " + record);
    }
  }

  /**
   * Prints whether this build may participate in the cluster, which controller leads it, and what
   * the next step is. Operators run it with the build that they are about to install, for an
   * upgrade and for a rollback alike.
   */
  @Command(
      name = "status",
      description =
          "Says which level of stored state is in force, who supports what, what is next.",
      mixinStandardHelpOptions = true)
  static final class Status extends ClusterCommand {
    @Option(names = "--json", description = "print JSON")
    boolean json;

    @Override
    int run(KeyValueStoreSession session, UpgradeView view) {
      print(json ? view.asJson() : view.asTable());
      return view.incompatibility().isEmpty() ? 0 : EXIT_INCOMPATIBLE_BUILD;
    }
  }

  /** Prints what {@code finalise} would do, or what blocks it. */
  @Command(
      name = "plan",
      description = "Says what finalise would do now, and changes nothing.",
      mixinStandardHelpOptions = true)
  static final class Plan extends ClusterCommand {
    @Override
    int run(KeyValueStoreSession session, UpgradeView view) {
      if (view.plan().isEmpty()) {
        return printError(
            view.incompatibility().orElse("the level can't be read"), EXIT_INCOMPATIBLE_BUILD);
      }
      Outcome outcome = view.plan().get().finalise(view.build(), Set.of());
      if (outcome instanceof UpgradePlan.Refusal refusal) {
        refusal.reasons().forEach(reason -> print("holds it up: " + reason));
        return OperatorCommand.EXIT_REFUSED;
      }
      print(
          outcome instanceof UpgradePlan.LevelChange change
              ? "finalise would raise level %d to %d"
                  .formatted(view.plan().get().currentLevel().level(), change.next().level())
              : "nothing to do: " + ((UpgradePlan.NoChange) outcome).reason());
      return 0;
    }
  }

  /** Raises the level by one, once all controllers support the next one. */
  @Command(
      name = "finalise",
      description = "Raises the level of stored state by one, once all controllers support it.",
      mixinStandardHelpOptions = true)
  static final class Finalise extends ClusterCommand {
    @Option(
        names = "--absent",
        paramLabel = "HOST",
        description = "a controller that is away; you vouch that it comes back with a new build")
    Set<String> confirmedAbsent = new LinkedHashSet<>();

    @Override
    int run(KeyValueStoreSession session, UpgradeView view) throws IOException {
      if (view.incompatibility().isPresent()) {
        return printError(view.incompatibility().get(), EXIT_INCOMPATIBLE_BUILD);
      }
      UpgradePlan plan = view.plan().orElseThrow();
      return applyOutcome(
          session, view, plan.finalise(view.build(), confirmedAbsent), confirmedAbsent);
    }
  }

  /** Reverts the last raise of the level. */
  @Command(
      name = "rollback",
      description = "Takes the last raise of the level back.",
      mixinStandardHelpOptions = true)
  static final class Rollback extends ClusterCommand {
    @Override
    int run(KeyValueStoreSession session, UpgradeView view) throws IOException {
      if (view.incompatibility().isPresent()) {
        return printError(view.incompatibility().get(), EXIT_INCOMPATIBLE_BUILD);
      }
      UpgradePlan plan = view.plan().orElseThrow();
      return applyOutcome(session, view, plan.rollback(view.build()), Set.of());
    }
  }
}
