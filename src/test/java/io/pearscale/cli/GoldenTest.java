package io.pearscale.cli;

import io.pearscale.golden.GoldenFile;
import io.pearscale.protocol.Settings;
import io.pearscale.scheduler.OperatorSettings;
import io.pearscale.scheduler.model.Tuning;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Compares parsed settings, errors for invalid ones and command output with golden files. */
class GoldenTest {
  @TempDir Path folder;
  private final List<String> lines = new ArrayList<>();

  /** Platform settings in which every key is present. */
  private static final String COMPLETE_SETTINGS =
      SettingsTest.settings(1, 2, 3, 4)
          .replace("cancel_s = 40.0", "cancel_s = 40.0\ngang_wait_s = 41.5\ngang_peer_s = 6")
          .replace("fd_limit = 1000", "fd_limit = 900\ncpu_share = 0.25")
          .replace("txn_ops = 40", "txn_ops = 40\n[facts.state.next]\nrps = 30\nvalue_kb = 8.0");

  private static String dump(Settings settings) {
    StringBuilder text = new StringBuilder();
    text.append(
        settings.controllerName()
            + " "
            + settings.zone()
            + ' '
            + settings.clientListen()
            + ' '
            + settings.peerListen());
    text.append(
        " peers "
            + settings.peers()
            + " cloud "
            + settings.cloudAddress()
            + " state "
            + settings.storeAddress());
    settings
        .teams()
        .forEach(
            team ->
                text.append(
                        " team "
                            + team.name()
                            + ' '
                            + team.guaranteedCpus()
                            + ' '
                            + team.cpuLimit())
                    .append(" " + team.guaranteedGpus() + ' ' + team.gpuLimit()));
    settings
        .serviceLevelObjectives()
        .forEach(
            objective ->
                text.append(
                    " aim "
                        + objective.kind()
                        + ' '
                        + objective.jobClass()
                        + ' '
                        + objective.target()));
    Settings.AgentSettings agents = settings.agents();
    text.append(
        " workers "
            + agents.heartbeatInterval()
            + ' '
            + agents.leaseTtl()
            + ' '
            + agents.cancellationTimeout());
    agents
        .gangs()
        .ifPresent(
            gangs ->
                text.append(" gangs " + gangs.formationTimeout() + ' ' + gangs.peerLossTimeout()));
    Settings.StoreLimits storeLimits = settings.storeLimits();
    text.append(
        " limits "
            + storeLimits.requestsPerSecond()
            + ' '
            + storeLimits.writesPerSecond()
            + ' '
            + storeLimits.maxValueBytes()
            + ' ');
    text.append(
        storeLimits.maxTransactionOperations()
            + " cloud "
            + settings.cloudLimits().requestsPerSecond()
            + ' ');
    text.append(
        settings.cloudLimits().listLag()
            + " "
            + settings.maxConnections()
            + ' '
            + settings.cpuShare());
    text.append(
        " hold "
            + settings.renewalAuthorityTimeout()
            + ' '
            + settings.leaderLeaseTtl()
            + ' '
            + settings.relayTimeout());
    return text.toString();
  }

  private static String dump(Tuning tuning) {
    return String.join(
        " ",
        tuning.sampleSize() + " " + tuning.strandedWeight() + " " + tuning.sameMachineWeight(),
        tuning.packingWeight() + " " + tuning.sameZoneWeight() + " " + tuning.zoneBalanceWeight(),
        tuning.cachedImageWeight()
            + " "
            + tuning.onDemandWeight()
            + " "
            + tuning.scaleInAfterIdle(),
        tuning.reserveShare() + " " + tuning.headroomShare() + " " + tuning.spotRiskFactor());
  }

  private static String dump(OperatorSettings operations) {
    StringBuilder text = new StringBuilder();
    text.append(
        operations.supportRecordTtl()
            + " "
            + operations.highestLevel()
            + ' '
            + operations.automaticLevel());
    operations
        .drains()
        .ifPresent(
            drains -> {
              drains
                  .budgets()
                  .forEach(
                      budget ->
                          text.append(" budget " + budget.team() + ' ' + budget.jobClass() + ' ')
                              .append(budget.kind().ordinal() + " " + budget.amount()));
              new TreeMap<>(drains.windows())
                  .values()
                  .forEach(
                      window ->
                          text.append(
                                  " window "
                                      + window.name()
                                      + ' '
                                      + window.zone()
                                      + ' '
                                      + window.days())
                              .append(" " + window.startTime() + ' ' + window.endTime()));
            });
    return text.toString();
  }

  /** Runs the {@code check} command, and records its exit code and output. */
  private void recordCheckCommand(String name, String toml, String tuning, String operations)
      throws IOException {
    Path config = Files.writeString(folder.resolve("s.toml"), toml);
    Path tuningFile = Files.writeString(folder.resolve("t.sexp"), tuning);
    Path operationsFile = Files.writeString(folder.resolve("o.sexp"), operations);
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    PrintStream out = System.out;
    PrintStream err = System.err;
    int code;
    try (PrintStream to = new PrintStream(output, true, StandardCharsets.UTF_8)) {
      System.setOut(to);
      System.setErr(to);
      code =
          Commands.execute(
              new String[] {
                "check",
                "--config",
                config.toString(),
                "--tuning",
                tuningFile.toString(),
                "--operations",
                operationsFile.toString()
              });
    } finally {
      System.setOut(out);
      System.setErr(err);
    }
    String text = output.toString(StandardCharsets.UTF_8).replace(folder.toString(), "DIR");
    lines.add(name + ": exit " + code + ": " + text.strip().replace("\n", " | "));
  }

  private void recordSettings(String from, String to) throws IOException {
    Path file = Files.writeString(folder.resolve("s.toml"), COMPLETE_SETTINGS.replace(from, to));
    lines.add((to.isEmpty() ? "without " + from : to).replace('\n', ' '));
    try {
      lines.add("read: " + dump(SettingsReader.read(file)));
    } catch (SettingsException e) {
      lines.add("refused: " + e.getMessage().replace(folder.toString(), "DIR"));
    }
  }

  @Test
  void platformSettings() throws IOException {
    lines.addAll(COMPLETE_SETTINGS.lines().toList());
    recordCheckCommand("good", COMPLETE_SETTINGS, "", "");
    recordCheckCommand("bad", COMPLETE_SETTINGS.replace("= 3.0", "= \"x\""), "", "");
    recordCheckCommand("bad tuning", COMPLETE_SETTINGS, "(sample 0)", "");
    recordCheckCommand("bad operations", COMPLETE_SETTINGS, "", "(drains off)");
    recordSettings("new_field", "newer_field");
    for (String line : COMPLETE_SETTINGS.lines().toList()) {
      recordSettings(line + "\n", "");
      int equals = line.indexOf('=');
      if (equals > 0) {
        String key = line.substring(0, equals);
        recordSettings(line, key + "= -1");
        recordSettings(line, key + "= \"x\"");
        recordSettings(line, key + "= \"\"");
        recordSettings(line, key + "= 0.1");
        recordSettings(line, key + "= true");
        recordSettings(line, key + "= []");
        recordSettings(line, key + "= \"10.0.0.300:70000\"");
      }
    }
    recordSettings("= 3.0", "= =");
    GoldenFile.check("platform-settings.txt", lines);
  }

  private void recordTuning(String text) throws IOException {
    Path file = Files.writeString(folder.resolve("t.sexp"), text);
    lines.add(text.replace('\n', ' '));
    try {
      lines.add("read: " + dump(TuningReader.read(Optional.of(file))));
    } catch (SettingsException e) {
      lines.add("refused: " + e.getMessage().replace(folder.toString(), "DIR"));
    }
  }

  private void recordOperations(String text) throws IOException {
    Path file = Files.writeString(folder.resolve("o.sexp"), text);
    lines.add(text.replace('\n', ' '));
    try {
      lines.add("read: " + dump(OperationsReader.read(Optional.of(file))));
    } catch (SettingsException e) {
      lines.add("refused: " + e.getMessage().replace(folder.toString(), "DIR"));
    }
  }

  @Test
  void operatorSettings() throws IOException {
    recordTuning("");
    for (String name :
        List.of(
            "sample",
            "stranded-weight",
            "same-machine-weight",
            "together-weight",
            "same-zone-weight",
            "zone-balance-weight",
            "image-weight",
            "ordinary-weight",
            "idle-release-s",
            "spare-share",
            "headroom-share",
            "spot-risk",
            "newer")) {
      recordTuning("; note\n(" + name + " 7.5) (" + name + " 2)");
      recordTuning("(" + name + " -1)");
      recordTuning("(" + name + " 1000000)");
      recordTuning("(" + name + " many)");
      recordTuning("(" + name + ")");
    }
    for (String invalid :
        List.of("(sample", "sample 8", "(sample 8 9)", "((a 1))", "\n\n(a 1) x")) {
      recordTuning(invalid);
      recordOperations(invalid);
    }
    for (String text :
        List.of(
            "",
            "; comment\n(announce-support-s 30) (highest-level 1)(automatic-level off)",
            "(drains on)(budget * * most-down 1)(budget t c least-up 3)"
                + "(budget t * most-down-share 0.25)(budget u d most-lost-s 90)"
                + "(window night America/Costa_Rica mon,FRI 22:00 04:00)"
                + "(window any UTC daily 00:00 12:30)",
            "(drains)",
            "(drains off)",
            "(automatic-level on)",
            "(budget t * most-down)",
            "(budget t * most-down -1)",
            "(budget t * most-down x)",
            "(budget t * most-down 1000001)",
            "(budget t * most-down-share 1.5)",
            "(budget t * most-up 1)",
            "(window w Mars/Olympus daily 22:00 04:00)",
            "(window w UTC someday 22:00 04:00)",
            "(window w UTC daily 22:00 22:00)",
            "(window w UTC daily 22:00 25:00)",
            "(window w UTC daily 22:00)",
            "(window w UTC daily 01:00 02:00)(window w UTC daily 01:00 02:00)",
            "(announce-suport-s 30)",
            "(announce-support-s 1)",
            "(announce-support-s 601)",
            "(announce-support-s)",
            "(highest-level x)",
            "(highest-level 1001)",
            "()")) {
      recordOperations(text);
    }
    GoldenFile.check("operators-settings.txt", lines);
  }

  @Test
  void commandLine() throws IOException {
    for (String command :
        List.of(
            "--help",
            "serve --help",
            "check --help",
            "upgrade --help",
            "drain --help",
            "drain start --help",
            "drain show --help",
            "drain pause --help",
            "drain resume --help",
            "drain cancel --help",
            "drain forget --help",
            "budget --help",
            "leases --help",
            "why --help",
            "",
            "nothing",
            "check",
            "drain",
            "upgrade",
            "check --config none.toml")) {
      ByteArrayOutputStream output = new ByteArrayOutputStream();
      PrintStream out = System.out;
      PrintStream err = System.err;
      int code;
      try (PrintStream to = new PrintStream(output, true, StandardCharsets.UTF_8)) {
        System.setOut(to);
        System.setErr(to);
        code = Commands.execute(command.isEmpty() ? new String[0] : command.split(" "));
      } finally {
        System.setOut(out);
        System.setErr(err);
      }
      lines.add("$ pearscale " + command + " (exit " + code + ")");
      lines.addAll(output.toString(StandardCharsets.UTF_8).lines().toList());
    }
    GoldenFile.check("command-line.txt", lines);
  }
}
