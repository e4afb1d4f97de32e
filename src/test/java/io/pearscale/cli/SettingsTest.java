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

/** Settings files, good and bad. */
class SettingsTest {
  @TempDir Path folder;

  /** A port of the loopback interface that nobody listens on. */
  static int freePort() throws IOException {
    try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return s.getLocalPort();
    }
  }

  private OperatorSettings operations(String text) throws Exception {
    return OperationsReader.read(Optional.of(Files.writeString(folder.resolve("o.sexp"), text)));
  }

  @Test
  void whatIsSwitchedOnIsSpeltRight() throws Exception {
    OperatorSettings on = operations("; comment\n(announce-support-s 30) (highest-level 0)");
    assertEquals(Optional.of(Duration.ofSeconds(30)), on.supportRecordTtl());
    assertEquals(0, on.highestLevel());
    OperatorSettings drains =
        operations(
            "(drains on)(budget * * most-down 1)(budget t c least-up 3)"
                + "(window night America/Costa_Rica mon,FRI 22:00 04:00)");
    assertEquals(2, drains.drains().orElseThrow().budgets().size());
    assertEquals(2, drains.drains().get().windows().get("night").days().size());
    assertEquals(OperatorSettings.defaults(), operations(""));
    for (String bad :
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
      SettingsException error = assertThrows(SettingsException.class, () -> operations(bad), bad);
      assertTrue(error.getMessage().contains("o.sexp"), error.getMessage());
    }
  }

  static String settings(int client, int back, int peer, int services) {
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
        .formatted(client, back, peer, services, services);
  }

  private Path write(String text) throws IOException {
    Path file = folder.resolve("settings.toml");
    Files.writeString(file, text);
    return file;
  }

  private String refusal(String from, String to) throws IOException {
    Path file = write(settings(1, 2, 3, 4).replace(from, to));
    return assertThrows(SettingsException.class, () -> SettingsReader.read(file)).getMessage();
  }

  @Test
  void readsWhatItKnowsAndPassesOverTheRest() throws Exception {
    Settings settings = SettingsReader.read(write(settings(1, 2, 3, 4)));
    assertEquals("hive-0", settings.controllerName());
    assertEquals(12.0, settings.teams().get(0).cpuLimit());
    assertEquals(Duration.ofMillis(1500), settings.serviceLevelObjectives().get(0).target());
    assertEquals(2048, settings.storeLimits().maxValueBytes());
    assertEquals(Duration.ofSeconds(14), settings.renewalAuthorityTimeout());
    assertTrue(settings.peers().containsKey("hive-1"));
  }

  @Test
  void refusalsNameFileKeyValueAndExpectation() throws Exception {
    assertTrue(refusal("lease_s = 20.0", "").contains("facts.workers.lease_s: found nothing"));
    assertTrue(refusal("lease_s = 20.0", "lease_s = -1").contains("found -1, expected a number"));
    assertTrue(refusal("127.0.0.1:1\"", "somewhere:80\"").contains("client_listen"));
    assertTrue(refusal("host_name = \"hive-0\"", "host_name = 3").contains("expected a text"));
    assertTrue(refusal("[facts.state]", "[facts.other]").contains("facts.state"));
    assertTrue(refusal("domain", "= =").contains("expected TOML"));
    assertTrue(refusal("fd_limit = 1000", "fd_limit = 3").contains("facts.limits.fd_limit"));
    assertTrue(refusal("fd_limit = 1000", "fd_limit = \"all\"").contains("facts.limits.fd_limit"));
    assertTrue(refusal("fd_limit = 1000", "cpu_share = 0").contains("facts.limits.cpu_share"));
    Path none = folder.resolve("none.toml");
    assertThrows(SettingsException.class, () -> SettingsReader.read(none));
  }

  @Test
  void readsOperatorsSettings() throws Exception {
    Path file = folder.resolve("tuning.sexp");
    Files.writeString(
        file, "; fewer\n(sample 4) (spare-share 0.5)\n(idle-release-s 90)\n(newer 1)");
    Tuning t = TuningReader.read(Optional.of(file));
    assertEquals(4, t.sampleSize());
    assertEquals(0.5, t.reserveShare());
    assertEquals(Duration.ofSeconds(90), t.scaleInAfterIdle());
    assertEquals(Tuning.defaults().cachedImageWeight(), t.cachedImageWeight());
    assertEquals(Tuning.defaults(), TuningReader.read(Optional.empty()));
  }

  @Test
  void refusesBadOperatorsSettings() throws Exception {
    Path file = folder.resolve("tuning.sexp");
    for (String bad :
        new String[] {
          "(sample 0)", "(sample many)", "(sample", "sample 8", "(sample 8 9)", "((a 1))"
        }) {
      Files.writeString(file, bad);
      assertThrows(SettingsException.class, () -> TuningReader.read(Optional.of(file)), bad);
    }
  }
}
