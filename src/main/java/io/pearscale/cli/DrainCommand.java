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

/** Commands that store drain requests, and show their progress. */
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
    return Main.EXIT_INVALID_INPUT;
  }

  /** Options that select machines; exactly one of them is given. */
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

  /** Stores a new drain request for the machines that are selected now. */
  @Command(
      name = "start",
      description = "Asks for a drain of machines that are known now.",
      mixinStandardHelpOptions = true)
  static final class Start extends OperatorCommand {
    private static final Pattern CONCURRENCY_PATTERN =
        Pattern.compile("[1-9][0-9]{0,5}|([1-9][0-9]?|100)%");
    private static final int MAX_HOURS = 24 * 365;

    @Parameters(paramLabel = "ID", description = "a short name of the drain")
    String id;

    @ArgGroup(multiplicity = "1")
    Selection selection;

    @Option(
        names = "--at-once",
        defaultValue = "1",
        paramLabel = "N|P%",
        description = "so many machines are emptied at a time (default: ${DEFAULT-VALUE})")
    String concurrency;

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
    int run(KeyValueStoreSession session) throws IOException, SettingsException {
      Optional<String> invalidArgument = findInvalidArgument();
      if (invalidArgument.isPresent()) {
        return printError(invalidArgument.get(), Main.EXIT_INVALID_INPUT);
      }
      try {
        MachineSelector selector = selection.selector();
        List<String> machines = new ArrayList<>();
        Set<String> inOtherDrains = new TreeSet<>();
        for (MachineRecordCodec.MachineRecord machineRecord : StoredMachineRecords.read(session)) {
          if (!machineRecord.retiring() && selector.matches(attributesOf(machineRecord))) {
            machines.add(machineRecord.machine());
            if (!machineRecord.maintenance().isInService()) {
              inOtherDrains.add(
                  machineRecord.machine() + " (" + machineRecord.maintenance().drain() + ")");
            }
          }
        }
        return requestDrain(session, selector, machines, inOtherDrains);
      } catch (MalformedMessageException e) {
        return printError(e.getMessage(), Main.EXIT_INVALID_INPUT);
      }
    }

    private Optional<String> findInvalidArgument() throws SettingsException {
      if (!DrainRequest.isValidId(id)) {
        return Optional.of("ID " + id + ": expected up to 12 of a-z, 0-9 and -");
      }
      if (!CONCURRENCY_PATTERN.matcher(concurrency).matches()) {
        return Optional.of(
            "--at-once " + concurrency + ": expected a number from 1, or 1% to 100%");
      }
      if (!(hours > 0 && hours <= MAX_HOURS)) {
        return Optional.of(
            "--hours " + hours + ": expected more than 0, " + MAX_HOURS + " at most");
      }
      if (window.isPresent()
          && files
              .readOperations()
              .drains()
              .map(drainSettings -> !drainSettings.windows().containsKey(window.get()))
              .orElse(true)) {
        return Optional.of("--window " + window.get() + ": no such window in --operations");
      }
      return Optional.empty();
    }

    /**
     * Resolves {@code --at-once}. A percentage is rounded up, so that it is at least one machine.
     */
    private int maxConcurrentMachines(int machineCount) {
      if (!concurrency.endsWith("%")) {
        return Integer.parseInt(concurrency);
      }
      int percent = Integer.parseInt(concurrency.substring(0, concurrency.length() - 1));
      return (machineCount * percent + 99) / 100;
    }

    private static MachineAttributes attributesOf(MachineRecordCodec.MachineRecord machineRecord) {
      return new MachineAttributes(
          machineRecord.machine(),
          machineRecord.zone(),
          machineRecord.type(),
          machineRecord.address());
    }

    private int requestDrain(
        KeyValueStoreSession session,
        MachineSelector selector,
        List<String> machines,
        Set<String> inOtherDrains)
        throws IOException, SettingsException, MalformedMessageException {
      Optional<StoredValue> storedLevel = session.read(Keys.LEVEL);
      SchemaLevel schemaLevel = SchemaLevel.fromStored(storedLevel.map(StoredValue::value));
      if (!Feature.MACHINE_MAINTENANCE.isEnabledAt(schemaLevel)) {
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
      if (!inOtherDrains.isEmpty()) {
        return refuse("in another drain's hands: " + String.join(", ", inOtherDrains));
      }
      Instant now = Instant.now();
      Duration timeLimit = Duration.ofMillis((long) (hours * Duration.ofHours(1).toMillis()));
      DrainRequest request =
          new DrainRequest(
              id,
              selector.toString(),
              maxConcurrentMachines(machines.size()),
              hold ? CompletionAction.HOLD : CompletionAction.TERMINATE,
              DesiredState.RUN,
              now,
              now.plus(timeLimit),
              window);
      if (dryRun) {
        print(
            "would drain %d machines, %d at a time: "
                    .formatted(machines.size(), request.maxConcurrentMachines())
                + String.join(" ", machines));
        return 0;
      }
      List<Precondition> preconditions = List.of(new Precondition(Keys.drain(id), 0));
      int maxValueBytes = files.readSettings().storeLimits().maxValueBytes();
      return reportOutcome(
          session.write(preconditions, request.toMutations(machines, maxValueBytes)),
          "asked for drain %s of %d machines".formatted(id, machines.size()));
    }
  }

  /** Prints the stored drain requests with the progress that the leader has published. */
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
    int run(KeyValueStoreSession session) throws IOException {
      ArrayNode drains = new ObjectMapper().createArrayNode();
      for (Map.Entry<String, StoredValue> request : session.list(Keys.DRAINS).entrySet()) {
        String drainId = Keys.lastSegment(request.getKey());
        if (id.isEmpty() || id.get().equals(drainId)) {
          drains.add(describe(session, drainId, request.getValue().value()));
        }
      }
      if (id.isPresent() && drains.isEmpty()) {
        return printError("no drain is called " + id.get(), Main.EXIT_INVALID_INPUT);
      }
      if (json) {
        print(drains.toString());
      } else {
        drains.forEach(this::printTable);
      }
      return 0;
    }

    private static ObjectNode describe(
        KeyValueStoreSession session, String drainId, JsonNode request) throws IOException {
      ObjectNode node = new ObjectMapper().createObjectNode();
      node.put("drain", drainId);
      node.put("selector", request.path("selector").asText());
      node.put("wish", request.path("wish").asText());
      Optional<StoredValue> status = session.read(Keys.drainStatus(drainId));
      node.set(
          "status",
          status.map(StoredValue::value).orElseGet(() -> new ObjectMapper().createObjectNode()));
      return node;
    }

    private void printTable(JsonNode drain) {
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

  /** A command that changes the desired state of a stored drain request. */
  private abstract static class DesiredStateCommand extends OperatorCommand {
    @Parameters(paramLabel = "ID", description = "the drain")
    String id;

    abstract DesiredState desiredState();

    @Override
    int run(KeyValueStoreSession session) throws IOException {
      session.read(Keys.LEVEL);
      Optional<StoredValue> stored = session.read(Keys.drain(id));
      if (stored.isEmpty()) {
        return printError("no drain is called " + id, Main.EXIT_INVALID_INPUT);
      }
      Mutation mutation =
          Mutation.put(
              Keys.drain(id), DrainRequest.withDesiredState(stored.get().value(), desiredState()));
      List<Precondition> preconditions =
          List.of(new Precondition(Keys.drain(id), stored.get().revision()));
      return reportOutcome(
          session.write(preconditions, List.of(mutation)), id + ": " + desiredState());
    }
  }

  @Command(
      name = "pause",
      description = "Stops nothing more; what is cordoned stays so.",
      mixinStandardHelpOptions = true)
  static final class Pause extends DesiredStateCommand {
    @Override
    DesiredState desiredState() {
      return DesiredState.PAUSE;
    }
  }

  @Command(name = "resume", description = "Goes on with a drain.", mixinStandardHelpOptions = true)
  static final class Resume extends DesiredStateCommand {
    @Override
    DesiredState desiredState() {
      return DesiredState.RUN;
    }
  }

  @Command(
      name = "cancel",
      aliases = "end",
      description = "Puts the machines back into service, those that were empty on probation.",
      mixinStandardHelpOptions = true)
  static final class Cancel extends DesiredStateCommand {
    @Override
    DesiredState desiredState() {
      return DesiredState.CANCEL;
    }
  }

  /** Deletes the records of a finished drain that holds no machines. */
  @Command(
      name = "forget",
      description = "Removes what is stored of a drain that is over.",
      mixinStandardHelpOptions = true)
  static final class Forget extends OperatorCommand {
    @Parameters(paramLabel = "ID", description = "the drain")
    String id;

    @Override
    int run(KeyValueStoreSession session) throws IOException {
      session.read(Keys.LEVEL);
      Optional<StoredValue> stored = session.read(Keys.drain(id));
      if (stored.isEmpty()) {
        return printError("no drain is called " + id, Main.EXIT_INVALID_INPUT);
      }
      Optional<StoredValue> status = session.read(Keys.drainStatus(id));
      if (!status.map(s -> DrainStatus.isFinal(s.value())).orElse(false)) {
        return refuse("it is not over: cancel it, and wait until the leader has taken that up");
      }
      List<String> heldMachines = new ArrayList<>();
      try {
        StoredMachineRecords.read(session).stream()
            .filter(machineRecord -> !machineRecord.maintenance().isSchedulable())
            .filter(machineRecord -> machineRecord.maintenance().drain().equals(id))
            .forEach(machineRecord -> heldMachines.add(machineRecord.machine()));
      } catch (MalformedMessageException e) {
        return printError("a record can't be read: " + e.getMessage(), Main.EXIT_FAILURE);
      }
      if (!heldMachines.isEmpty()) {
        return refuse("it holds machines: " + String.join(", ", heldMachines));
      }
      List<Mutation> mutations = new ArrayList<>();
      mutations.add(Mutation.delete(Keys.drain(id)));
      mutations.add(Mutation.delete(Keys.drainStatus(id)));
      session
          .list(Keys.drainMachines(id))
          .keySet()
          .forEach(key -> mutations.add(Mutation.delete(key)));
      List<Precondition> preconditions =
          List.of(new Precondition(Keys.drain(id), stored.get().revision()));
      return reportOutcome(session.write(preconditions, mutations), "forgot drain " + id);
    }
  }
}
