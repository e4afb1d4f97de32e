package io.pearscale.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Checks that the start of a controller loads no class of the command-line library. On a small part
 * of a core each class that is not in the class data archive slows the start noticeably, and the
 * classes of that library can't be archived.
 */
class StartTest {
  @TempDir Path folder;

  @Test
  void serveDoesNotLoadTheCommandLineLibrary() throws Exception {
    Path settings = folder.resolve("settings.toml");
    Files.writeString(
        settings,
        SettingsTest.settings(
            SettingsTest.freePort(),
            SettingsTest.freePort(),
            SettingsTest.freePort(),
            SettingsTest.freePort()));
    Path classLog = folder.resolve("classes.txt");
    Process process =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-Xlog:class+load:file=" + classLog,
                "-cp",
                System.getProperty("java.class.path"),
                "io.pearscale.cli.Main",
                "serve",
                "--config",
                settings.toString())
            .redirectErrorStream(true)
            .redirectOutput(folder.resolve("log.txt").toFile())
            .start();
    try {
      List<String> loadedClasses = List.of();
      for (int i = 0;
          i < 100 && !containsClass(loadedClasses, "io.pearscale.transport.TcpPeerTransport");
          i++) {
        assertTrue(process.isAlive(), "the controller exited");
        TimeUnit.MILLISECONDS.sleep(100);
        loadedClasses = Files.exists(classLog) ? Files.readAllLines(classLog) : loadedClasses;
      }
      assertTrue(
          containsClass(loadedClasses, "io.pearscale.transport.TcpPeerTransport"),
          "the controller did not start in time");
      assertEquals(0, loadedClasses.stream().filter(line -> line.contains(" picocli.")).count());
    } finally {
      process.destroyForcibly().waitFor();
    }
  }

  private static boolean containsClass(List<String> lines, String className) {
    return lines.stream().anyMatch(line -> line.contains(" " + className + " "));
  }
}
