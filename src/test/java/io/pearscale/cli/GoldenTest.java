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

/** What is read from settings files, and what is said of bad ones, as it must stay. */
class GoldenTest {
  @TempDir Path folder;
  private final List<String> lines = new ArrayList<>();

  /** Platform settings in which everything is named. */
  private static final String WHOLE =
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
            tuning ->
                text.append(
                        " team "
                            + tuning.name()
                            + ' '
                            + tuning.guaranteedCpus()
                            + ' '
                            + tuning.cpuLimit())
                    .append(" " + tuning.guaranteedGpus() + ' ' + tuning.gpuLimit()));
    settings
        .serviceLevelObjectives()
        .forEach(
            operations ->
                text.append(
                    " aim "
                        + operations.kind()
                        + ' '
                        + operations.jobClass()
                        + ' '
                        + operations.target()));
    Settings.AgentSettings w = settings.agents();
    text.append(
        " workers " + w.heartbeatInterval() + ' ' + w.leaseTtl() + ' ' + w.cancellationTimeout());
    w.gangs()
        .ifPresent(g -> text.append(" gangs " + g.formationTimeout() + ' ' + g.peerLossTimeout()));
    Settings.StoreLimits l = settings.storeLimits();
    text.append(
        " limits "
            + l.requestsPerSecond()
            + ' '
            + l.writesPerSecond()
            + ' '
            + l.maxValueBytes()
            + ' ');
    text.append(
        l.maxTransactionOperations()
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
                      b ->
                          text.append(" budget " + b.team() + ' ' + b.jobClass() + ' ')
                              .append(b.kind().ordinal() + " " + b.amount()));
              new TreeMap<>(drains.windows())
                  .values()
                  .forEach(
                      w ->
                          text.append(" window " + w.name() + ' ' + w.zone() + ' ' + w.days())
                              .append(" " + w.startTime() + ' ' + w.endTime()));
            });
    return text.toString();
  }

  /** Runs {@code check}, as an operator would, and notes all that it says. */
  private void check(String name, String toml, String tuning, String operations)
      throws IOException {
    Path config = Files.writeString(folder.resolve("s.toml"), toml);
    Path own = Files.writeString(folder.resolve("t.sexp"), tuning);
    Path switches = Files.writeString(folder.resolve("o.sexp"), operations);
    ByteArrayOutputStream said = new ByteArrayOutputStream();
    PrintStream out = System.out;
    PrintStream err = System.err;
    int code;
    try (PrintStream to = new PrintStream(said, true, StandardCharsets.UTF_8)) {
      System.setOut(to);
      System.setErr(to);
      code =
          Commands.execute(
              new String[] {
                "check",
                "--config",
                config.toString(),
                "--tuning",
                own.toString(),
                "--operations",
                switches.toString()
              });
    } finally {
      System.setOut(out);
      System.setErr(err);
    }
    String text = said.toString(StandardCharsets.UTF_8).replace(folder.toString(), "DIR");
    lines.add(name + ": exit " + code + ": " + text.strip().replace("\n", " | "));
  }

  private void settings(String from, String to) throws IOException {
    Path file = Files.writeString(folder.resolve("s.toml"), WHOLE.replace(from, to));
    lines.add((to.isEmpty() ? "without " + from : to).replace('\n', ' '));
    try {
      lines.add("read: " + dump(SettingsReader.read(file)));
    } catch (SettingsException e) {
      lines.add("refused: " + e.getMessage().replace(folder.toString(), "DIR"));
    }
  }

  @Test
  void platformSettings() throws IOException {
    lines.addAll(WHOLE.lines().toList());
    check("good", WHOLE, "", "");
    check("bad", WHOLE.replace("= 3.0", "= \"x\""), "", "");
    check("bad tuning", WHOLE, "(sample 0)", "");
    check("bad operations", WHOLE, "", "(drains off)");
    settings("new_field", "newer_field");
    for (String line : WHOLE.lines().toList()) {
      settings(line + "\n", "");
      int equals = line.indexOf('=');
      if (equals > 0) {
        String key = line.substring(0, equals);
        settings(line, key + "= -1");
        settings(line, key + "= \"x\"");
        settings(line, key + "= \"\"");
        settings(line, key + "= 0.1");
        settings(line, key + "= true");
        settings(line, key + "= []");
        settings(line, key + "= \"10.0.0.300:70000\"");
      }
    }
    settings("= 3.0", "= =");
    GoldenFile.check("platform-settings.txt", lines);
  }

  private void tuning(String text) throws IOException {
    Path file = Files.writeString(folder.resolve("t.sexp"), text);
    lines.add(text.replace('\n', ' '));
    try {
      lines.add("read: " + dump(TuningReader.read(Optional.of(file))));
    } catch (SettingsException e) {
      lines.add("refused: " + e.getMessage().replace(folder.toString(), "DIR"));
    }
  }

  private void operations(String text) throws IOException {
    Path file = Files.writeString(folder.resolve("o.sexp"), text);
    lines.add(text.replace('\n', ' '));
    try {
      lines.add("read: " + dump(OperationsReader.read(Optional.of(file))));
    } catch (SettingsException e) {
      lines.add("refused: " + e.getMessage().replace(folder.toString(), "DIR"));
    }
  }

  @Test
  void operatorsSettings() throws IOException {
    tuning("");
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
      tuning("; note\n(" + name + " 7.5) (" + name + " 2)");
      tuning("(" + name + " -1)");
      tuning("(" + name + " 1000000)");
      tuning("(" + name + " many)");
      tuning("(" + name + ")");
    }
    for (String bad : List.of("(sample", "sample 8", "(sample 8 9)", "((a 1))", "\n\n(a 1) x")) {
      tuning(bad);
      operations(bad);
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
      operations(text);
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
      ByteArrayOutputStream said = new ByteArrayOutputStream();
      PrintStream out = System.out;
      PrintStream err = System.err;
      int code;
      try (PrintStream to = new PrintStream(said, true, StandardCharsets.UTF_8)) {
        System.setOut(to);
        System.setErr(to);
        code = Commands.execute(command.isEmpty() ? new String[0] : command.split(" "));
      } finally {
        System.setOut(out);
        System.setErr(err);
      }
      lines.add("$ pearscale " + command + " (exit " + code + ")");
      lines.addAll(said.toString(StandardCharsets.UTF_8).lines().toList());
    }
    GoldenFile.check("command-line.txt", lines);
  }
}
