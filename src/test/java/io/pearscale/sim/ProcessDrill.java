package io.pearscale.sim;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** A cluster of real controller processes, against which a drill runs CLI commands. */
final class ProcessDrill implements AutoCloseable {
  private static final Duration TIMEOUT = Duration.ofSeconds(60);

  final SimulatedCluster cluster;
  final LoopbackCluster loopback;
  private final Path folder;
  private int submittedJobs;

  /** The exit code and the output of a command. */
  record CommandResult(int code, String text) {}

  ProcessDrill(String scenario, int port, Path folder) throws IOException {
    this.folder = folder;
    this.cluster = Scenario.of(scenario, 1).cluster();
    this.loopback = new LoopbackCluster(cluster, port, folder);
  }

  private static List<String> javaCommand(List<String> arguments) {
    return javaCommand(System.getProperty("java.class.path"), arguments);
  }

  private static List<String> javaCommand(String classPath, List<String> arguments) {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(List.of("-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC"));
    command.addAll(List.of("-cp", classPath));
    command.add("io.pearscale.cli.Main");
    command.addAll(arguments);
    return command;
  }

  private Path operationsFile(int node) {
    return folder.resolve("operations-" + node + ".sexp");
  }

  /** Starts a controller of this build with the content of an operations file. */
  void start(int node, String operations) throws IOException {
    startBuild(System.getProperty("java.class.path"), node, operations);
  }

  /** Starts a controller of the build with the given class path. */
  void startBuild(String classPath, int node, String operations) throws IOException {
    Files.writeString(operationsFile(node), operations);
    String settings = loopback.settingsFile(node).toString();
    loopback.launch(
        node,
        folder,
        javaCommand(
            classPath,
            List.of(
                "serve", "--config", settings, "--operations", operationsFile(node).toString())));
  }

  /** Runs a CLI command with the settings of the second controller. */
  CommandResult runCommand(String... arguments) throws Exception {
    List<String> commandLine = new ArrayList<>(List.of(arguments));
    commandLine.addAll(
        List.of(
            "--config",
            loopback.settingsFile(1).toString(),
            "--operations",
            operationsFile(1).toString()));
    Path output = Files.createTempFile(folder, "said", ".txt");
    Process process =
        new ProcessBuilder(javaCommand(commandLine))
            .redirectErrorStream(true)
            .redirectOutput(output.toFile())
            .start();
    assertTrue(
        process.waitFor(TIMEOUT.toSeconds(), TimeUnit.SECONDS), "the command did not exit in time");
    return new CommandResult(process.exitValue(), Files.readString(output));
  }

  /** Waits until a condition on the simulated cluster is met, and fails after the timeout. */
  void waitUntil(String condition, BooleanSupplier isMet) throws Exception {
    long deadline = System.nanoTime() + TIMEOUT.toNanos();
    while (!loopback.call(isMet::getAsBoolean)) {
      assertTrue(
          System.nanoTime() < deadline,
          () -> "timed out waiting for: " + condition + "\n" + logs() + cluster.violations);
      TimeUnit.MILLISECONDS.sleep(50);
    }
  }

  /** Returns the logs of all controllers. */
  String logs() {
    StringBuilder all = new StringBuilder();
    for (int i = 0; i < LoopbackCluster.NODES; i++) {
      try {
        all.append("hive-" + i + ":\n" + Files.readString(loopback.logFile(i)));
      } catch (IOException e) {
        all.append(e);
      }
    }
    return all.toString();
  }

  /** Submits a job as a simulated user, who polls until it is finished, and returns its ID. */
  String submit(String kind, String... options) {
    return loopback.call(
        () -> {
          String id = "wk-" + ++submittedJobs;
          List<String> submission = new ArrayList<>(List.of("submit", id, kind));
          submission.addAll(List.of(options));
          Scenario.submit(cluster, submission);
          return id;
        });
  }

  @Override
  public void close() {
    loopback.close();
  }
}
