package io.pearscale.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.cli.KeyValueStoreSession.StoredValue;
import io.pearscale.drain.DrainRequest;
import io.pearscale.drain.DrainRequest.CompletionAction;
import io.pearscale.drain.DrainRequest.DesiredState;
import io.pearscale.drain.DrainStatus;
import io.pearscale.drain.MachineSelector;
import io.pearscale.drain.MachineSelector.MachineAttributes;
import io.pearscale.protocol.MalformedMessageException;
import io.pearscale.storage.KeyValueStoreClient.Mutation;
import io.pearscale.storage.KeyValueStoreClient.Precondition;
import io.pearscale.storage.Keys;
import io.pearscale.storage.MachineRecordCodec;
import io.pearscale.upgrade.Feature;
import io.pearscale.upgrade.SchemaLevel;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.Callable;
import java.util.regex.Pattern;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Asks for drains, and shows what comes of them. */
@Command(
    name = "drain",
    description = "Empties machines for maintenance, within the teams' budgets.",
    mixinStandardHelpOptions = true,
    synopsisSubcommandLabel = "COMMAND",
    subcommands = {
      DrainCommand.Start.class,
      DrainCommand.Show.class,
      DrainCommand.Pause.class,
      DrainCommand.Resume.class,
      DrainCommand.Cancel.class,
      DrainCommand.Forget.class
    })
final class DrainCommand implements Callable<Integer> {
  @Spec CommandSpec spec;

  @Override
  public Integer call() {
    spec.commandLine().usage(spec.commandLine().getErr());
    return Main.EXIT_SETTINGS;
  }

  /** Which machines are meant; one of these. */
  static final class Selection {
    @Option(names = "--machines", split = ",", paramLabel = "NAME", description = "these machines")
    Set<String> machines;

    @Option(names = "--zone", description = "all machines of a zone")
    String zone;

    @Option(names = "--type", description = "all machines of a type")
    String type;

    @Option(names = "--network", paramLabel = "CIDR", description = "all in an IP network")
    String network;

    @Option(names = "--all", description = "all machines")
    boolean all;

    MachineSelector selector() throws MalformedMessageException {
      if (machines != null) {
        return new MachineSelector.Names(machines);
      }
      if (zone != null) {
        return new MachineSelector.Zone(zone);
      }
      if (type != null) {
        return new MachineSelector.Type(type);
      }
      return network != null ? MachineSelector.Network.parse(network) : new MachineSelector.All();
    }
  }

  /** Asks for a drain. */
  @Command(
      name = "start",
      description = "Asks for a drain of machines that are known now.",
      mixinStandardHelpOptions = true)
  static final class Start extends OperatorCommand {
    private static final Pattern AT_ONCE = Pattern.compile("[1-9][0-9]{0,5}|([1-9][0-9]?|100)%");
    private static final int MOST_HOURS = 24 * 365;

    @Parameters(paramLabel = "ID", description = "a short name of the drain")
    String id;

    @ArgGroup(multiplicity = "1")
    Selection selection;

    @Option(
        names = "--at-once",
        defaultValue = "1",
        paramLabel = "N|P%",
        description = "so many machines are emptied at a time (default: ${DEFAULT-VALUE})")
    String atOnce;

    @Option(
        names = "--hold",
        description = "keep the empty machines out of service; else they are given back")
    boolean hold;

    @Option(
        names = "--hours",
        defaultValue = "24",
        description = "after so many hours what is not empty is in service again")
    double hours;

    @Option(names = "--window", description = "a maintenance window of the operations file")
    Optional<String> window = Optional.empty();

    @Option(names = "--dry-run", description = "say which machines are meant, and change nothing")
    boolean dryRun;

    @Override
    int run(KeyValueStoreSession state) throws IOException, SettingsException {
      Optional<String> bad = badArgument();
      if (bad.isPresent()) {
        return printError(bad.get(), Main.EXIT_SETTINGS);
      }
      try {
        MachineSelector selector = selection.selector();
        List<String> machines = new ArrayList<>();
        Set<String> drained = new TreeSet<>();
        for (MachineRecordCodec.MachineRecord entry : StoredMachineRecords.read(state)) {
          if (!entry.retiring() && selector.matches(facts(entry))) {
            machines.add(entry.machine());
            if (!entry.maintenance().isInService()) {
              drained.add(entry.machine() + " (" + entry.maintenance().drain() + ")");
            }
          }
        }
        return start(state, selector, machines, drained);
      } catch (MalformedMessageException e) {
        return printError(e.getMessage(), Main.EXIT_SETTINGS);
      }
    }

    private Optional<String> badArgument() throws SettingsException {
      if (!DrainRequest.isId(id)) {
        return Optional.of("ID " + id + ": expected up to 12 of a-z, 0-9 and -");
      }
      if (!AT_ONCE.matcher(atOnce).matches()) {
        return Optional.of("--at-once " + atOnce + ": expected a number from 1, or 1% to 100%");
      }
      if (!(hours > 0 && hours <= MOST_HOURS)) {
        return Optional.of(
            "--hours " + hours + ": expected more than 0, " + MOST_HOURS + " at most");
      }
      if (window.isPresent()
          && files
              .operations()
              .drains()
              .map(set -> !set.windows().containsKey(window.get()))
              .orElse(true)) {
        return Optional.of("--window " + window.get() + ": no such window in --operations");
      }
      return Optional.empty();
    }

    /** A share of the machines is rounded up, so that it is never none. */
    private int machinesAtOnce(int machines) {
      if (!atOnce.endsWith("%")) {
        return Integer.parseInt(atOnce);
      }
      int percent = Integer.parseInt(atOnce.substring(0, atOnce.length() - 1));
      return (machines * percent + 99) / 100;
    }

    private static MachineAttributes facts(MachineRecordCodec.MachineRecord entry) {
      return new MachineAttributes(entry.machine(), entry.zone(), entry.type(), entry.address());
    }

    private int start(
        KeyValueStoreSession state,
        MachineSelector selector,
        List<String> machines,
        Set<String> drained)
        throws IOException, SettingsException, MalformedMessageException {
      Optional<StoredValue> level = state.read(Keys.LEVEL);
      SchemaLevel inForce = SchemaLevel.fromStored(level.map(StoredValue::value));
      if (!Feature.MACHINE_MAINTENANCE.isEnabledAt(inForce)) {
        return refuse("level 1 of the stored state is needed: pearscale upgrade finalise");
      }
      if (machines.isEmpty()) {
        return refuse("no machine is known for " + selector);
      }
      if (selector instanceof MachineSelector.Names names && !machines.containsAll(names.names())) {
        Set<String> unknown = new TreeSet<>(names.names());
        machines.forEach(unknown::remove);
        return refuse("no such machine: " + String.join(", ", unknown));
      }
      if (!drained.isEmpty()) {
        return refuse("in another drain's hands: " + String.join(", ", drained));
      }
      Instant now = Instant.now();
      Duration time = Duration.ofMillis((long) (hours * Duration.ofHours(1).toMillis()));
      DrainRequest request =
          new DrainRequest(
              id,
              selector.toString(),
              machinesAtOnce(machines.size()),
              hold ? CompletionAction.HOLD : CompletionAction.TERMINATE,
              DesiredState.RUN,
              now,
              now.plus(time),
              window);
      if (dryRun) {
        print(
            "would drain %d machines, %d at a time: "
                    .formatted(machines.size(), request.maxConcurrentMachines())
                + String.join(" ", machines));
        return 0;
      }
      List<Precondition> absent = List.of(new Precondition(Keys.drain(id), 0));
      int largest = files.settings().storeLimits().maxValueBytes();
      return reportOutcome(
          state.write(absent, request.toMutations(machines, largest)),
          "asked for drain %s of %d machines".formatted(id, machines.size()));
    }
  }

  /** Shows drains. */
  @Command(
      name = "show",
      aliases = "list",
      description = "Shows all drains, or one, and what holds them up.",
      mixinStandardHelpOptions = true)
  static final class Show extends OperatorCommand {
    @Parameters(arity = "0..1", paramLabel = "ID", description = "one drain")
    Optional<String> id = Optional.empty();

    @Option(names = "--json", description = "print JSON")
    boolean json;

    @Override
    int run(KeyValueStoreSession state) throws IOException {
      ArrayNode all = new ObjectMapper().createArrayNode();
      for (Map.Entry<String, StoredValue> request : state.list(Keys.DRAINS).entrySet()) {
        String name = Keys.lastSegment(request.getKey());
        if (id.isEmpty() || id.get().equals(name)) {
          all.add(describe(state, name, request.getValue().value()));
        }
      }
      if (id.isPresent() && all.isEmpty()) {
        return printError("no drain is called " + id.get(), Main.EXIT_SETTINGS);
      }
      if (json) {
        print(all.toString());
      } else {
        all.forEach(this::sayTable);
      }
      return 0;
    }

    private static ObjectNode describe(KeyValueStoreSession state, String name, JsonNode request)
        throws IOException {
      ObjectNode node = new ObjectMapper().createObjectNode();
      node.put("drain", name);
      node.put("selector", request.path("selector").asText());
      node.put("wish", request.path("wish").asText());
      Optional<StoredValue> status = state.read(Keys.drainStatus(name));
      node.set(
          "status",
          status.map(StoredValue::value).orElseGet(() -> new ObjectMapper().createObjectNode()));
      return node;
    }

    private void sayTable(JsonNode drain) {
      JsonNode status = drain.path("status");
      print(
          "%-12s %-10s %s (wish: %s)"
              .formatted(
                  drain.path("drain").asText(),
                  status.path("state").asText("not taken up yet"),
                  drain.path("selector").asText(),
                  drain.path("wish").asText()));
      print(
          "             waiting %d, cordoned %d with %d tasks, drained %d, gone %d"
              .formatted(
                  status.path("waiting").asInt(),
                  status.path("cordoned").asInt(),
                  status.path("tasksLeft").asInt(),
                  status.path("drained").asInt(),
                  status.path("gone").asInt()));
      DrainStatus.reasonsOf(status).forEach(reason -> print("             " + reason));
    }
  }

  /** Changes what is wished of a drain. */
  private abstract static class ChangeWish extends OperatorCommand {
    @Parameters(paramLabel = "ID", description = "the drain")
    String id;

    abstract DesiredState wish();

    @Override
    int run(KeyValueStoreSession state) throws IOException {
      state.read(Keys.LEVEL);
      Optional<StoredValue> stored = state.read(Keys.drain(id));
      if (stored.isEmpty()) {
        return printError("no drain is called " + id, Main.EXIT_SETTINGS);
      }
      Mutation change =
          Mutation.put(Keys.drain(id), DrainRequest.withDesiredState(stored.get().value(), wish()));
      List<Precondition> guards =
          List.of(new Precondition(Keys.drain(id), stored.get().revision()));
      return reportOutcome(state.write(guards, List.of(change)), id + ": " + wish());
    }
  }

  /** Holds a drain. */
  @Command(
      name = "pause",
      description = "Stops nothing more; what is cordoned stays so.",
      mixinStandardHelpOptions = true)
  static final class Pause extends ChangeWish {
    @Override
    DesiredState wish() {
      return DesiredState.PAUSE;
    }
  }

  /** Lets a drain go on. */
  @Command(name = "resume", description = "Goes on with a drain.", mixinStandardHelpOptions = true)
  static final class Resume extends ChangeWish {
    @Override
    DesiredState wish() {
      return DesiredState.RUN;
    }
  }

  /** Ends a drain. */
  @Command(
      name = "cancel",
      aliases = "end",
      description = "Puts the machines back into service, those that were empty on probation.",
      mixinStandardHelpOptions = true)
  static final class Cancel extends ChangeWish {
    @Override
    DesiredState wish() {
      return DesiredState.CANCEL;
    }
  }

  /** Removes what is stored of a drain. */
  @Command(
      name = "forget",
      description = "Removes what is stored of a drain that is over.",
      mixinStandardHelpOptions = true)
  static final class Forget extends OperatorCommand {
    @Parameters(paramLabel = "ID", description = "the drain")
    String id;

    @Override
    int run(KeyValueStoreSession state) throws IOException {
      state.read(Keys.LEVEL);
      Optional<StoredValue> stored = state.read(Keys.drain(id));
      if (stored.isEmpty()) {
        return printError("no drain is called " + id, Main.EXIT_SETTINGS);
      }
      Optional<StoredValue> status = state.read(Keys.drainStatus(id));
      if (!status.map(s -> DrainStatus.isFinal(s.value())).orElse(false)) {
        return refuse("it is not over: cancel it, and wait until the leader has taken that up");
      }
      List<String> held = new ArrayList<>();
      try {
        StoredMachineRecords.read(state).stream()
            .filter(entry -> !entry.maintenance().isSchedulable())
            .filter(entry -> entry.maintenance().drain().equals(id))
            .forEach(entry -> held.add(entry.machine()));
      } catch (MalformedMessageException e) {
        return printError("a record can't be read: " + e.getMessage(), Main.EXIT_FAILURE);
      }
      if (!held.isEmpty()) {
        return refuse("it holds machines: " + String.join(", ", held));
      }
      List<Mutation> changes = new ArrayList<>();
      changes.add(Mutation.delete(Keys.drain(id)));
      changes.add(Mutation.delete(Keys.drainStatus(id)));
      state.list(Keys.drainMachines(id)).keySet().forEach(key -> changes.add(Mutation.delete(key)));
      List<Precondition> guards =
          List.of(new Precondition(Keys.drain(id), stored.get().revision()));
      return reportOutcome(state.write(guards, changes), "forgot drain " + id);
    }
  }
}
