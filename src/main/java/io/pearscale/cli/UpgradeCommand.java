package io.pearscale.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.storage.Keys;
import io.pearscale.upgrade.LevelGate;
import io.pearscale.upgrade.SupportedLevels;
import java.io.IOException;
import java.io.PrintWriter;
import java.util.Optional;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** What operators ask before and while they replace controllers. */
@Command(
    name = "upgrade",
    description = "Answers questions on replacing controllers by another release.",
    mixinStandardHelpOptions = true,
    synopsisSubcommandLabel = "COMMAND",
    subcommands = UpgradeCommand.Status.class)
final class UpgradeCommand implements Callable<Integer> {
  /** This build must stay out of what is stored. */
  static final int EXIT_MUST_STAY_OUT = 3;

  @Spec CommandSpec spec;

  @Override
  public Integer call() {
    spec.commandLine().usage(spec.commandLine().getErr());
    return Main.EXIT_SETTINGS;
  }

  /**
   * Whether this build may take part in the cluster as it is, and who leads it. Run with the build
   * that is to be installed, before it is: an upgrade and a rollback are asked about alike.
   */
  @Command(
      name = "status",
      description =
          "Says which level of stored state is in force, and whether this build supports it.",
      mixinStandardHelpOptions = true)
  static final class Status implements Callable<Integer> {
    @CommandLine.Mixin Commands.Files files;

    @Option(names = "--json", description = "print JSON")
    boolean json;

    @Spec CommandSpec spec;

    @Override
    public Integer call() {
      try (StateReader state = new StateReader(files.settings())) {
        Report report = Report.read(state, SupportedLevels.OF_THIS_BUILD);
        PrintWriter out = spec.commandLine().getOut();
        out.println(json ? report.asJson() : report.asTable());
        out.flush();
        return report.objection.isEmpty() ? 0 : EXIT_MUST_STAY_OUT;
      } catch (SettingsError e) {
        return fail(e.getMessage(), Main.EXIT_SETTINGS);
      } catch (IOException e) {
        return fail(e.getMessage() + "; nothing is known, ask again", Main.EXIT_FAILURE);
      }
    }

    private int fail(String reason, int code) {
      spec.commandLine().getErr().println("pearscale: " + reason);
      return code;
    }
  }

  /**
   * What the state service says.
   *
   * @param level the stored level as it is, empty if none was ever stored
   * @param objection why this build must stay out, if it must
   * @param leader who leads, as of when it was read
   */
  private record Report(
      Optional<JsonNode> level,
      SupportedLevels supported,
      Optional<String> objection,
      Optional<String> leader,
      long term) {
    static Report read(StateReader state, SupportedLevels supported) throws IOException {
      Optional<JsonNode> level = state.read(Keys.LEVEL);
      LevelGate gate = new LevelGate(supported);
      gate.update(level, 0);
      return new Report(
          level,
          supported,
          gate.objection(),
          state.read(Keys.LEADER).map(value -> value.path("node").asText()),
          state.read(Keys.TERM).map(value -> value.path("term").asLong()).orElse(0L));
    }

    private String levelInForce() {
      return level.map(value -> value.path("level").asText("unreadable")).orElse("0");
    }

    String asTable() {
      return String.join(
          System.lineSeparator(),
          "level in force   " + levelInForce() + (level.isEmpty() ? " (none stored)" : ""),
          "this build       " + supported,
          "takes part       " + objection.map(reason -> "no: " + reason).orElse("yes"),
          "leader           " + leader.orElse("nobody"),
          "term             " + term);
    }

    String asJson() {
      ObjectNode node = new ObjectMapper().createObjectNode();
      node.put("levelInForce", levelInForce());
      node.put("lowestSupported", supported.lowest());
      node.put("highestSupported", supported.highest());
      node.put("takesPart", objection.isEmpty());
      objection.ifPresent(reason -> node.put("reason", reason));
      leader.ifPresent(name -> node.put("leader", name));
      return node.put("term", term).toString();
    }
  }
}
