package io.pearscale.sim;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Runs a scenario in real time against three real controller processes, started with the command of
 * {@code deploy/service.toml}, and prints the CPU time and memory of each. It does not compare the
 * results with limits, because they depend on the machine.
 *
 * <p>Arguments: the directory of the built project, the scenario file, the duration in seconds, and
 * further options for the JVMs. Lines {@code process T kill N} and {@code process T start N} in the
 * file kill and start controller N after T seconds.
 */
final class LoadDriver {
  private static final int PORT = 19300;
  private static final int REPORT_INTERVAL_SECONDS = 5;

  private final Path project;
  private final SimulatedCluster cluster;
  private final LoopbackCluster loopback;
  private final List<String> jvmOptions;
  private final Map<String, double[]> previousCpuSeconds = new HashMap<>();

  private LoadDriver(Path project, String text, List<String> jvmOptions) throws IOException {
    this.project = project;
    this.jvmOptions = jvmOptions;
    this.cluster = Scenario.of(text, 1).cluster();
    this.loopback = new LoopbackCluster(cluster, PORT, Files.createTempDirectory("load"));
  }

  private void launch(int node) throws IOException {
    String command = Files.readString(project.resolve("deploy/service.toml"));
    command = command.substring(command.indexOf("run = \"") + 7, command.lastIndexOf('"'));
    List<String> arguments = new ArrayList<>(List.of(command.split(" ")));
    int jar = arguments.indexOf("-jar");
    for (String option : jvmOptions) {
      arguments.add(jar, option.replace("NODE", "" + node));
    }
    arguments.add(loopback.settingsFile(node).toString());
    loopback.launch(node, project, arguments);
  }

  private void finish() {
    loopback.processes().values().forEach(Process::destroyForcibly);
    System.out.println("broken: " + cluster.violations);
    System.exit(0);
  }

  private void printStatistics(long second) {
    StringBuilder line = new StringBuilder("%4d s".formatted(second));
    loopback
        .processes()
        .forEach(
            (name, process) -> {
              try {
                String stat = Files.readString(Path.of("/proc/" + process.pid() + "/stat"));
                String[] statFields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
                double cpu =
                    (Long.parseLong(statFields[11]) + Long.parseLong(statFields[12])) / 100.0;
                double mb = Long.parseLong(statFields[21]) / 256.0;
                double[] previous =
                    previousCpuSeconds.getOrDefault(process.pid() + "", new double[1]);
                previousCpuSeconds.put(process.pid() + "", new double[] {cpu});
                line.append(
                    "  %s %5.1f%% %3.0f MB (%.2f s)"
                        .formatted(
                            name, (cpu - previous[0]) * 100 / REPORT_INTERVAL_SECONDS, mb, cpu));
              } catch (IOException e) {
                line.append("  " + name + " ended");
              }
            });
    System.out.println(line + "  tasks " + cluster.runningTasks.size());
    loopback.schedule(
        Duration.ofSeconds(REPORT_INTERVAL_SECONDS),
        () -> printStatistics(second + REPORT_INTERVAL_SECONDS));
  }

  private void play(Duration duration) throws IOException {
    for (int i = 0; i < LoopbackCluster.NODES; i++) {
      launch(i);
    }
    loopback.startClock();
    loopback.schedule(Duration.ZERO, () -> printStatistics(0));
    loopback.schedule(duration, this::finish);
  }

  /** Schedules the {@code process} lines of the scenario. */
  private void scheduleProcessEvents(String text) {
    for (String line : text.split("\n")) {
      String[] words = line.strip().split("\\s+");
      if (words.length == 4 && words[0].equals("process")) {
        loopback.schedule(
            Duration.ofSeconds(Long.parseLong(words[1])), () -> applyProcessEvent(words));
      }
    }
  }

  private void applyProcessEvent(String[] words) {
    int node = Integer.parseInt(words[3]);
    System.out.println(String.join(" ", words));
    try {
      if (words[2].equals("kill")) {
        loopback.kill(node);
      } else {
        launch(node);
      }
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Runs a scenario file; the class comment describes the arguments. */
  public static void main(String[] args) throws IOException {
    String text = Files.readString(Path.of(args[1]));
    String scenario = text.replaceAll("(?m)^process.*$", "");
    LoadDriver driver =
        new LoadDriver(Path.of(args[0]), scenario, List.of(args).subList(3, args.length));
    driver.scheduleProcessEvents(text);
    driver.play(Duration.ofSeconds(Long.parseLong(args[2])));
  }
}
