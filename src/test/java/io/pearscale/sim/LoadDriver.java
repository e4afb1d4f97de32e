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
 * Plays a scenario in real time against three real processes, started with the command of {@code
 * deploy/service.toml}, and prints the processor time and memory that each takes. It measures and
 * judges nothing: figures depend on the machine.
 *
 * <p>Arguments: the folder of the built project, the scenario's file, seconds to play, and further
 * options for the JVMs. Lines {@code process T kill N} and {@code process T start N} end and start
 * processes.
 */
final class LoadDriver {
  private static final int PORT = 19300;
  private static final int REPORT_EVERY = 5;

  private final Path project;
  private final SimulatedCluster world;
  private final LoopbackCluster loopback;
  private final List<String> jvmOptions;
  private final Map<String, double[]> before = new HashMap<>();

  private LoadDriver(Path project, String text, List<String> jvmOptions) throws IOException {
    this.project = project;
    this.jvmOptions = jvmOptions;
    this.world = Scenario.of(text, 1).cluster();
    this.loopback = new LoopbackCluster(world, PORT, Files.createTempDirectory("load"));
  }

  private void launch(int node) throws IOException {
    String run = Files.readString(project.resolve("deploy/service.toml"));
    run = run.substring(run.indexOf("run = \"") + 7, run.lastIndexOf('"'));
    List<String> command = new ArrayList<>(List.of(run.split(" ")));
    int jar = command.indexOf("-jar");
    for (String option : jvmOptions) {
      command.add(jar, option.replace("NODE", "" + node));
    }
    command.add(loopback.settingsFile(node).toString());
    loopback.launch(node, project, command);
  }

  private void end() {
    loopback.processes().values().forEach(Process::destroyForcibly);
    System.out.println("broken: " + world.violations);
    System.exit(0);
  }

  private void figures(long second) {
    StringBuilder line = new StringBuilder("%4d s".formatted(second));
    loopback
        .processes()
        .forEach(
            (name, process) -> {
              try {
                String stat = Files.readString(Path.of("/proc/" + process.pid() + "/stat"));
                String[] f = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
                double cpu = (Long.parseLong(f[11]) + Long.parseLong(f[12])) / 100.0;
                double mb = Long.parseLong(f[21]) / 256.0;
                double[] last = before.getOrDefault(process.pid() + "", new double[1]);
                before.put(process.pid() + "", new double[] {cpu});
                line.append(
                    "  %s %5.1f%% %3.0f MB (%.2f s)"
                        .formatted(name, (cpu - last[0]) * 100 / REPORT_EVERY, mb, cpu));
              } catch (IOException e) {
                line.append("  " + name + " ended");
              }
            });
    System.out.println(line + "  tasks " + world.runningTasks.size());
    loopback.after(Duration.ofSeconds(REPORT_EVERY), () -> figures(second + REPORT_EVERY));
  }

  private void play(Duration until) throws IOException {
    for (int i = 0; i < LoopbackCluster.NODES; i++) {
      launch(i);
    }
    loopback.play();
    loopback.after(Duration.ZERO, () -> figures(0));
    loopback.after(until, this::end);
  }

  /** Ends and starts processes, as the scenario's text says. */
  private void outages(String text) {
    for (String line : text.split("\n")) {
      String[] w = line.strip().split("\\s+");
      if (w.length == 4 && w[0].equals("process")) {
        loopback.after(Duration.ofSeconds(Long.parseLong(w[1])), () -> outage(w));
      }
    }
  }

  private void outage(String[] words) {
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

  /** Plays a file. */
  public static void main(String[] args) throws IOException {
    String text = Files.readString(Path.of(args[1]));
    String world = text.replaceAll("(?m)^process.*$", "");
    LoadDriver driver =
        new LoadDriver(Path.of(args[0]), world, List.of(args).subList(3, args.length));
    driver.outages(text);
    driver.play(Duration.ofSeconds(Long.parseLong(args[2])));
  }
}
