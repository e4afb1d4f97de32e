package io.pearscale.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pearscale.protocol.Settings;
import io.pearscale.scheduler.OperatorSettings;
import io.pearscale.scheduler.model.Tuning;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the readers of the settings files with valid and invalid files. */
class SettingsTest {
  @TempDir Path folder;

  /** Returns a free port of the loopback interface. */
  static int freePort() throws IOException {
    try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return s.getLocalPort();
    }
  }

  private OperatorSettings readOperations(String text) throws Exception {
    return OperationsReader.read(Optional.of(Files.writeString(folder.resolve("o.sexp"), text)));
  }

  @Test
  void readsOperationsFileAndRejectsInvalidEntries() throws Exception {
    OperatorSettings levelSettings =
        readOperations("; comment\n(announce-support-s 30) (highest-level 0)");
    assertEquals(Optional.of(Duration.ofSeconds(30)), levelSettings.supportRecordTtl());
    assertEquals(0, levelSettings.highestLevel());
    OperatorSettings drainSettings =
        readOperations(
            "(drains on)(budget * * most-down 1)(budget t c least-up 3)"
                + "(window night America/Costa_Rica mon,FRI 22:00 04:00)");
    assertEquals(2, drainSettings.drains().orElseThrow().budgets().size());
    assertEquals(2, drainSettings.drains().get().windows().get("night").days().size());
    assertEquals(OperatorSettings.defaults(), readOperations(""));
    for (String invalid :
        new String[] {
          "(drains)",
          "(budget t * most-down)",
          "(budget t * most-down -1)",
          "(budget t * most-down-share 1.5)",
          "(budget t * most-up 1)",
          "(window w Mars/Olympus daily 22:00 04:00)",
          "(window w UTC someday 22:00 04:00)",
          "(window w UTC daily 22:00 22:00)",
          "(window w UTC daily 22:00 25:00)",
          "(announce-suport-s 30)",
          "(announce-support-s 1)",
          "(highest-level x)",
          "()",
          "(",
          "x"
        }) {
      SettingsException error =
          assertThrows(SettingsException.class, () -> readOperations(invalid), invalid);
      assertTrue(error.getMessage().contains("o.sexp"), error.getMessage());
    }
  }

  static String settings(int clientPort, int peerPort, int otherPeerPort, int servicePort) {
    return """
        host_name = "hive-0"
        domain = "a"
        client_listen = "127.0.0.1:%d"
        back = "127.0.0.1:%d"
        new_field = 7
        [[peers]]
        host_name = "hive-1"
        domain = "b"
        address = "127.0.0.1:%d"
        [endpoints]
        cloud = "127.0.0.1:%d"
        state = "127.0.0.1:%d"
        [[facts.teams]]
        name = "t"
        cpus = 0.0
        cpus_max = 12.0
        gpus = 0.0
        gpus_max = 0.0
        [[facts.objectives]]
        kind = "wait"
        class = "c"
        within_s = 1.5
        [facts.workers]
        report_s = 3.0
        lease_s = 20.0
        cancel_s = 40.0
        [facts.state]
        rps = 100.0
        write_rps = 50.0
        value_kb = 2.0
        txn_ops = 40
        [facts.cloud]
        rps = 2.0
        list_lag_s = 10.0
        [facts.limits]
        fd_limit = 1000
        """
        .formatted(clientPort, peerPort, otherPeerPort, servicePort, servicePort);
  }

  private Path writeSettings(String text) throws IOException {
    Path file = folder.resolve("settings.toml");
    Files.writeString(file, text);
    return file;
  }

  private String settingsError(String from, String to) throws IOException {
    Path file = writeSettings(settings(1, 2, 3, 4).replace(from, to));
    return assertThrows(SettingsException.class, () -> SettingsReader.read(file)).getMessage();
  }

  @Test
  void readsKnownKeysAndIgnoresOthers() throws Exception {
    Settings settings = SettingsReader.read(writeSettings(settings(1, 2, 3, 4)));
    assertEquals("hive-0", settings.controllerName());
    assertEquals(12.0, settings.teams().get(0).cpuLimit());
    assertEquals(Duration.ofMillis(1500), settings.serviceLevelObjectives().get(0).target());
    assertEquals(2048, settings.storeLimits().maxValueBytes());
    assertEquals(Duration.ofSeconds(14), settings.renewalAuthorityTimeout());
    assertTrue(settings.peers().containsKey("hive-1"));
  }

  @Test
  void errorsNameKeyValueAndExpectation() throws Exception {
    assertTrue(
        settingsError("lease_s = 20.0", "").contains("facts.workers.lease_s: found nothing"));
    assertTrue(
        settingsError("lease_s = 20.0", "lease_s = -1").contains("found -1, expected a number"));
    assertTrue(settingsError("127.0.0.1:1\"", "somewhere:80\"").contains("client_listen"));
    assertTrue(
        settingsError("host_name = \"hive-0\"", "host_name = 3").contains("expected a text"));
    assertTrue(settingsError("[facts.state]", "[facts.other]").contains("facts.state"));
    assertTrue(settingsError("domain", "= =").contains("expected TOML"));
    assertTrue(settingsError("fd_limit = 1000", "fd_limit = 3").contains("facts.limits.fd_limit"));
    assertTrue(
        settingsError("fd_limit = 1000", "fd_limit = \"all\"").contains("facts.limits.fd_limit"));
    assertTrue(
        settingsError("fd_limit = 1000", "cpu_share = 0").contains("facts.limits.cpu_share"));
    Path missingFile = folder.resolve("none.toml");
    assertThrows(SettingsException.class, () -> SettingsReader.read(missingFile));
  }

  @Test
  void readsTuningFile() throws Exception {
    Path file = folder.resolve("tuning.sexp");
    Files.writeString(
        file, "; fewer\n(sample 4) (spare-share 0.5)\n(idle-release-s 90)\n(newer 1)");
    Tuning tuning = TuningReader.read(Optional.of(file));
    assertEquals(4, tuning.sampleSize());
    assertEquals(0.5, tuning.reserveShare());
    assertEquals(Duration.ofSeconds(90), tuning.scaleInAfterIdle());
    assertEquals(Tuning.defaults().cachedImageWeight(), tuning.cachedImageWeight());
    assertEquals(Tuning.defaults(), TuningReader.read(Optional.empty()));
  }

  @Test
  void rejectsInvalidTuningFiles() throws Exception {
    Path file = folder.resolve("tuning.sexp");
    for (String invalid :
        new String[] {
          "(sample 0)", "(sample many)", "(sample", "sample 8", "(sample 8 9)", "((a 1))"
        }) {
      Files.writeString(file, invalid);
      assertThrows(SettingsException.class, () -> TuningReader.read(Optional.of(file)), invalid);
    }
  }
}
