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
  private static final Duration PATIENCE = Duration.ofSeconds(60);

  final SimulatedCluster world;
  final LoopbackCluster loopback;
  private final Path folder;
  private int jobs;

  /** What a command has ended with, and what it said. */
  record CommandResult(int code, String text) {}

  ProcessDrill(String scenario, int port, Path folder) throws IOException {
    this.folder = folder;
    this.world = Scenario.of(scenario, 1).cluster();
    this.loopback = new LoopbackCluster(world, port, folder);
  }

  private static List<String> java(List<String> arguments) {
    return java(System.getProperty("java.class.path"), arguments);
  }

  private static List<String> java(String classPath, List<String> arguments) {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(List.of("-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC"));
    command.addAll(List.of("-cp", classPath));
    command.add("io.pearscale.cli.Main");
    command.addAll(arguments);
    return command;
  }

  private Path operations(int node) {
    return folder.resolve("operations-" + node + ".sexp");
  }

  /** Starts a controller with that operations file. */
  void start(int node, String operations) throws IOException {
    startOf(System.getProperty("java.class.path"), node, operations);
  }

  /** Starts a controller of the build that has this class path. */
  void startOf(String classPath, int node, String operations) throws IOException {
    Files.writeString(operations(node), operations);
    String settings = loopback.settingsFile(node).toString();
    loopback.launch(
        node,
        folder,
        java(
            classPath,
            List.of("serve", "--config", settings, "--operations", operations(node).toString())));
  }

  /** Runs a command with the settings of the second controller. */
  CommandResult run(String... words) throws Exception {
    List<String> arguments = new ArrayList<>(List.of(words));
    arguments.addAll(
        List.of(
            "--config",
            loopback.settingsFile(1).toString(),
            "--operations",
            operations(1).toString()));
    Path said = Files.createTempFile(folder, "said", ".txt");
    Process process =
        new ProcessBuilder(java(arguments))
            .redirectErrorStream(true)
            .redirectOutput(said.toFile())
            .start();
    assertTrue(process.waitFor(PATIENCE.toSeconds(), TimeUnit.SECONDS), "the command hangs");
    return new CommandResult(process.exitValue(), Files.readString(said));
  }

  /** Waits until it holds in the world. */
  void until(String what, BooleanSupplier holds) throws Exception {
    long end = System.nanoTime() + PATIENCE.toNanos();
    while (!loopback.ask(holds::getAsBoolean)) {
      assertTrue(
          System.nanoTime() < end, () -> "not met: " + what + "\n" + logs() + world.violations);
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
  String submit(String kind, String... words) {
    return loopback.ask(
        () -> {
          String id = "wk-" + ++jobs;
          List<String> line = new ArrayList<>(List.of("submit", id, kind));
          line.addAll(List.of(words));
          Scenario.submit(world, line);
          return id;
        });
  }

  @Override
  public void close() {
    loopback.close();
  }
}
