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

/** What operators ask and do before, while and after they replace controllers. */
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
  /** This build must stay out of what is stored. */
  static final int EXIT_MUST_STAY_OUT = 3;

  @Spec CommandSpec spec;

  @Override
  public Integer call() {
    spec.commandLine().usage(spec.commandLine().getErr());
    return Main.EXIT_SETTINGS;
  }

  /** A command on a cluster that is read first. */
  private abstract static class OnCluster extends OperatorCommand {
    abstract int run(KeyValueStoreSession session, UpgradeView view) throws IOException;

    @Override
    int run(KeyValueStoreSession session) throws IOException, SettingsException {
      SupportedLevels build = SupportedLevels.OF_THIS_BUILD.upTo(files.operations().highestLevel());
      return run(session, UpgradeView.read(session, files.settings(), build));
    }

    /** Says what would come of a step, or takes it. */
    int carryOut(
        KeyValueStoreSession session, UpgradeView view, Outcome outcome, Set<String> absent)
        throws IOException {
      if (outcome instanceof UpgradePlan.NoChange nothing) {
        print("nothing to do: " + nothing.reason());
        return 0;
      }
      if (outcome instanceof UpgradePlan.Refusal refusal) {
        return refuse(String.join("; ", refusal.reasons()));
      }
      ObjectNode record = ((UpgradePlan.LevelChange) outcome).next().toNode(view.storedLevel());
      if (!absent.isEmpty()) {
        ArrayNode vouched = record.putArray("absent");
        absent.forEach(vouched::add);
      }
      return reportOutcome(
          session.write(view.preconditions(), List.of(Mutation.put(Keys.LEVEL, record))),
          "done: " + record);
    }
  }

  /**
   * Whether this build may take part in the cluster as it is, who leads it and what comes next. Run
   * with the build that is to be installed, before it is: an upgrade and a rollback are asked about
   * alike.
   */
  @Command(
      name = "status",
      description =
          "Says which level of stored state is in force, who supports what, what is next.",
      mixinStandardHelpOptions = true)
  static final class Status extends OnCluster {
    @Option(names = "--json", description = "print JSON")
    boolean json;

    @Override
    int run(KeyValueStoreSession state, UpgradeView view) {
      print(json ? view.asJson() : view.asTable());
      return view.objection().isEmpty() ? 0 : EXIT_MUST_STAY_OUT;
    }
  }

  /** What finalising would do, and what holds it up. */
  @Command(
      name = "plan",
      description = "Says what finalise would do now, and changes nothing.",
      mixinStandardHelpOptions = true)
  static final class Plan extends OnCluster {
    @Override
    int run(KeyValueStoreSession state, UpgradeView view) {
      if (view.plan().isEmpty()) {
        return printError(view.objection().orElse("the level can't be read"), EXIT_MUST_STAY_OUT);
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

  /** Raises the level, once all controllers support it. */
  @Command(
      name = "finalise",
      description = "Raises the level of stored state by one, once all controllers support it.",
      mixinStandardHelpOptions = true)
  static final class Finalise extends OnCluster {
    @Option(
        names = "--absent",
        paramLabel = "HOST",
        description = "a controller that is away; you vouch that it comes back with a new build")
    Set<String> absent = new LinkedHashSet<>();

    @Override
    int run(KeyValueStoreSession state, UpgradeView view) throws IOException {
      if (view.objection().isPresent()) {
        return printError(view.objection().get(), EXIT_MUST_STAY_OUT);
      }
      UpgradePlan plan = view.plan().orElseThrow();
      return carryOut(state, view, plan.finalise(view.build(), absent), absent);
    }
  }

  /** Takes the last step back. */
  @Command(
      name = "rollback",
      description = "Takes the last raise of the level back.",
      mixinStandardHelpOptions = true)
  static final class Rollback extends OnCluster {
    @Override
    int run(KeyValueStoreSession state, UpgradeView view) throws IOException {
      if (view.objection().isPresent()) {
        return printError(view.objection().get(), EXIT_MUST_STAY_OUT);
      }
      UpgradePlan plan = view.plan().orElseThrow();
      return carryOut(state, view, plan.rollback(view.build()), Set.of());
    }
  }
}
