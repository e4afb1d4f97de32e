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

/** A cluster of real processes for drills, and the operators' own commands run against it. */
final class ProcessDrill implements AutoCloseable {
  private static final Duration TIMEOUT = Duration.ofSeconds(60);

  final SimulatedCluster cluster;
  final LoopbackCluster loopback;
  private final Path folder;
  private int submittedJobs;

  /** What a command has ended with, and what it said. */
  record CommandResult(int code, String text) {}

  ProcessDrill(String scenario, int port, Path folder) throws IOException {
    this.folder = folder;
    this.cluster = Scenario.of(scenario, 1).world();
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

  /** Starts a controller with that operations file. */
  void start(int node, String operations) throws IOException {
    startBuild(System.getProperty("java.class.path"), node, operations);
  }

  /** Starts a controller of the build that has this class path. */
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

  /** Runs a command with the settings of the second controller. */
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
    assertTrue(process.waitFor(TIMEOUT.toSeconds(), TimeUnit.SECONDS), "the command hangs");
    return new CommandResult(process.exitValue(), Files.readString(output));
  }

  /** Waits until it holds in the world. */
  void waitUntil(String condition, BooleanSupplier isMet) throws Exception {
    long deadline = System.nanoTime() + TIMEOUT.toNanos();
    while (!loopback.call(isMet::getAsBoolean)) {
      assertTrue(
          System.nanoTime() < deadline,
          () -> "not met: " + condition + "\n" + logs() + cluster.violations);
      TimeUnit.MILLISECONDS.sleep(50);
    }
  }

  /** What all controllers have logged. */
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

  /** A user submits a job of that kind, and asks for it until it is over. */
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
