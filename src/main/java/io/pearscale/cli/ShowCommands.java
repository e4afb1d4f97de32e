package io.pearscale.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.cli.KeyValueStoreSession.StoredValue;
import io.pearscale.protocol.MalformedMessageException;
import io.pearscale.storage.Keys;
import io.pearscale.storage.MachineRecordCodec;
import io.pearscale.storage.PlacementRecordCodec;
import io.pearscale.storage.RecordLayout;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.BitSet;
import java.util.Optional;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Commands that print parts of the stored state. */
final class ShowCommands {
  /** A status record that is older than this is reported as stale. */
  private static final Duration STALE_AFTER = Duration.ofSeconds(30);

  private ShowCommands() {}

  /** A command that prints a part of the leader's status record, after the age of the record. */
  private abstract static class StatusCommand extends OperatorCommand {
    @Option(names = "--json", description = "print JSON")
    boolean json;

    abstract int show(KeyValueStoreSession session, JsonNode status) throws IOException;

    @Override
    int run(KeyValueStoreSession session) throws IOException {
      Optional<StoredValue> status = session.read(Keys.STATUS);
      if (status.isEmpty()) {
        return printError(
            "the leader publishes nothing: start the controllers with (drains on)",
            Main.EXIT_FAILURE);
      }
      if (!json) {
        print(describeAge(status.get().value()));
      }
      return show(session, status.get().value());
    }

    private static String describeAge(JsonNode status) {
      Duration age =
          Duration.between(Instant.ofEpochMilli(status.path("atMs").asLong()), Instant.now());
      String stale =
          age.compareTo(STALE_AFTER) > 0 ? ", stale: nobody leads, or it can't write" : "";
      return "as of %d s ago, term %d%s"
          .formatted(Math.max(0, age.toSeconds()), status.path("term").asLong(), stale);
    }
  }

  /** Prints the number of unavailable tasks under each disruption budget, and disrupted tasks. */
  @Command(
      name = "budget",
      description = "Shows what each budget of disruptions has left.",
      mixinStandardHelpOptions = true)
  static final class Budget extends StatusCommand {
    @Parameters(arity = "0..1", paramLabel = "TEAM", description = "budgets of one team")
    Optional<String> team = Optional.empty();

    @Override
    int show(KeyValueStoreSession session, JsonNode status) {
      if (json) {
        print(status.path("budgets").toString());
        return 0;
      }
      for (JsonNode budget : status.path("budgets")) {
        String text = budget.path("budget").asText();
        if (team.isEmpty() || text.startsWith("budget " + team.get() + " ")) {
          print(
              "%-40s %d of %d tasks down"
                  .formatted(text, budget.path("down").asInt(), budget.path("tasks").asInt()));
        }
      }
      status.path("disrupted").forEach(task -> print("disrupted: " + task.asText()));
      return 0;
    }
  }

  /** Prints the current leader and its term. */
  @Command(
      name = "leases",
      description = "Shows who leads, in which term.",
      mixinStandardHelpOptions = true)
  static final class Leases extends OperatorCommand {
    @Option(names = "--json", description = "print JSON")
    boolean json;

    @Override
    int run(KeyValueStoreSession session) throws IOException {
      String leader =
          session
              .read(Keys.LEADER)
              .map(stored -> stored.value().path("node").asText())
              .orElse("nobody");
      long term =
          session.read(Keys.TERM).map(stored -> stored.value().path("term").asLong()).orElse(0L);
      if (json) {
        ObjectNode node = new ObjectMapper().createObjectNode();
        print(node.put("leader", leader).put("term", term).toString());
      } else {
        print("leading, renting, giving back, cleaning up: %s, term %d".formatted(leader, term));
      }
      return leader.equals("nobody") ? Main.EXIT_FAILURE : 0;
    }
  }

  /** Prints why a job waits, or the maintenance state of a machine. */
  @Command(
      name = "why",
      description = "Says why a job waits, or whether a machine is in service.",
      mixinStandardHelpOptions = true)
  static final class Why extends StatusCommand {
    @Parameters(paramLabel = "JOB|MACHINE", description = "such as wk-000412 or m-000231")
    String name;

    @Override
    int show(KeyValueStoreSession session, JsonNode status) throws IOException {
      try {
        return name.startsWith("wk-") ? showJob(session, status) : showMachine(session);
      } catch (MalformedMessageException e) {
        return printError("a record can't be read: " + e.getMessage(), Main.EXIT_FAILURE);
      }
    }

    private int showJob(KeyValueStoreSession session, JsonNode status)
        throws IOException, MalformedMessageException {
      Optional<StoredValue> finishedJob = session.read(Keys.finishedJob(name));
      if (finishedJob.isPresent()) {
        print(name + " is over: " + finishedJob.get().value().path("stage").asText());
        return 0;
      }
      Optional<StoredValue> liveJob = session.read(Keys.liveJob(name));
      if (liveJob.isEmpty()) {
        return printError("no job is called " + name, Main.EXIT_INVALID_INPUT);
      }
      int tasks = liveJob.get().value().path("spec").path("pieces").asInt();
      print(
          "%s: %d tasks, %d of them have a machine"
              .formatted(name, tasks, countPlacedTasks(session)));
      JsonNode reason = status.path("waiting").path(name);
      print(
          reason.isTextual()
              ? "the others wait: " + reason.asText()
              : "the leader names no reason to wait");
      return 0;
    }

    /**
     * Counts the tasks that have a machine. If both layouts have a record of a task, the newer one
     * counts.
     */
    private int countPlacedTasks(KeyValueStoreSession session)
        throws IOException, MalformedMessageException {
      BitSet recorded = new BitSet();
      BitSet placed = new BitSet();
      for (RecordLayout layout : StoredMachineRecords.layouts(session)) {
        BitSet recordedInLayout = new BitSet();
        for (StoredValue placementRecord : session.list(layout.placementPrefix()).values()) {
          for (PlacementRecordCodec.PartitionRecord partition :
              PlacementRecordCodec.decode(placementRecord.value())) {
            if (partition.job().equals(name)) {
              addPlacedTasks(partition, recorded, placed);
              recordedInLayout.set(
                  partition.firstTask(), partition.firstTask() + layout.tasksPerPartition());
            }
          }
        }
        recorded.or(recordedInLayout);
      }
      return placed.cardinality();
    }

    private static void addPlacedTasks(
        PlacementRecordCodec.PartitionRecord partition, BitSet recorded, BitSet placed) {
      for (int i = 0; i < partition.machineReferences().length; i++) {
        int task = partition.firstTask() + i;
        if (partition.machineReferences()[i] > 0 && !recorded.get(task)) {
          placed.set(task);
        }
      }
    }

    private int showMachine(KeyValueStoreSession session)
        throws IOException, MalformedMessageException {
      for (MachineRecordCodec.MachineRecord machineRecord : StoredMachineRecords.read(session)) {
        if (machineRecord.machine().equals(name)) {
          print(describe(machineRecord));
          return 0;
        }
      }
      return printError(
          "no record names " + name + ": it is not used, or gone", Main.EXIT_INVALID_INPUT);
    }

    private String describe(MachineRecordCodec.MachineRecord machineRecord) {
      String serviceState =
          switch (machineRecord.maintenance().stage()) {
            case IN_SERVICE -> "in service";
            case CORDONED -> "cordoned for drain " + machineRecord.maintenance().drain();
            case DRAINED -> "out of service for drain " + machineRecord.maintenance().drain();
            case PROBATION -> "back in service on probation";
          };
      return "%s (%s, zone %s): %s"
          .formatted(
              name,
              machineRecord.type(),
              machineRecord.zone(),
              machineRecord.retiring() ? "is given back" : serviceState);
    }
  }
}
