package io.pearscale.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pearscale.upgrade.ClusterLevel;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * An upgrade and its rollback with real processes and the operators' own commands, with an older
 * build among the controllers: it is away when the level is raised, rejoins, and takes part again
 * after the rollback. Users submit jobs all the time, and each gets one final answer.
 */
class UpgradeDrillTest {
  private static final int ROUNDS = Integer.getInteger("pearscale.upgradeRounds", 2);
  private static final int PORT = 19500;
  private static final Duration PATIENCE = Duration.ofSeconds(40);
  private static final int EXIT_REFUSED = 4;
  private static final String SCENARIO =
      """
      nodes 3
      workers report=1 lease=16 cancel=36
      zones a b
      type small cpus=8 mem=64 boot=2
      machines small a ordinary 3
      machines small b ordinary 3
      team t
      """;

  @TempDir Path folder;
  private LoopbackWorld loopback;
  private World world;
  private int jobs;

  private static List<String> java(String... arguments) {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(List.of("-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC"));
    command.addAll(List.of("-cp", System.getProperty("java.class.path")));
    command.add("io.pearscale.cli.Main");
    command.addAll(List.of(arguments));
    return command;
  }

  private void start(int node, String operations) throws IOException {
    Path file = folder.resolve("operations-" + node + ".sexp");
    Files.writeString(file, operations);
    loopback.launch(
        node,
        folder,
        java(
            "serve",
            "--config",
            loopback.settingsFile(node).toString(),
            "--operations",
            file.toString()));
  }

  /** Runs {@code pearscale upgrade} with a host's settings; its exit code and what it said. */
  private record Said(int code, String text) {}

  private Said upgrade(String... words) throws Exception {
    List<String> arguments = new ArrayList<>(List.of("upgrade"));
    arguments.addAll(List.of(words));
    arguments.addAll(List.of("--config", loopback.settingsFile(1).toString()));
    Path said = Files.createTempFile(folder, "said", ".txt");
    Process process =
        new ProcessBuilder(java(arguments.toArray(String[]::new)))
            .redirectErrorStream(true)
            .redirectOutput(said.toFile())
            .start();
    assertTrue(process.waitFor(PATIENCE.toSeconds(), TimeUnit.SECONDS), "the command hangs");
    return new Said(process.exitValue(), Files.readString(said));
  }

  private void until(String what, BooleanSupplier holds) throws Exception {
    long end = System.nanoTime() + PATIENCE.toNanos();
    while (!loopback.ask(holds::getAsBoolean)) {
      assertTrue(
          System.nanoTime() < end, () -> "not met: " + what + "\n" + logs() + "\n" + world.broken);
      TimeUnit.MILLISECONDS.sleep(50);
    }
  }

  private String logs() {
    StringBuilder all = new StringBuilder();
    for (int i = 0; i < LoopbackWorld.NODES; i++) {
      try {
        all.append("hive-" + i + ":\n" + Files.readString(loopback.logFile(i)));
      } catch (IOException e) {
        all.append(e);
      }
    }
    return all.toString();
  }

  private void submit(String kind) {
    loopback.ask(
        () -> {
          String id = "wk-" + ++jobs;
          Scenario.submit(world, List.of("submit", id, kind, "tasks=3", "cpus=1", "run=4"));
          return id;
        });
  }

  private boolean levelIs(int level) {
    return world.state.level().equals(new ClusterLevel(level, level, true));
  }

  private int announced() {
    return world.state.under("c/member/").size();
  }

  private boolean logHas(int node, String text) throws IOException {
    return Files.readString(loopback.logFile(node)).contains(text);
  }

  @Test
  void raiseRejoinAndRollBackWithAnOlderBuild() throws Exception {
    world = Scenario.of(SCENARIO, 1).world();
    String newBuild = "(announce-support-s 5)";
    String oldBuild = "(announce-support-s 5)\n(highest-level 0)";
    try (LoopbackWorld started = new LoopbackWorld(world, PORT, folder)) {
      loopback = started;
      start(0, oldBuild);
      start(1, newBuild);
      start(2, newBuild);
      loopback.play();
      submit("service");
      until("all announce", () -> announced() == LoopbackWorld.NODES);
      for (int round = 0; round < ROUNDS; round++) {
        round(oldBuild);
      }
      until("all jobs end", () -> world.users.values().stream().allMatch(this::hasItsEnd));
      assertEquals(List.of(), loopback.ask(() -> List.copyOf(world.broken)));
    }
  }

  private boolean hasItsEnd(SimUser user) {
    return user.spec.service()
        ? user.stage.equals("running") && world.starts.get(user.spec.id()) == user.spec.tasks()
        : user.stage.equals("done");
  }

  /** One of the two raises the level, and neither raises it twice. */
  private void twoOperatorsAtOnce() throws Exception {
    CompletableFuture<Said> other =
        CompletableFuture.supplyAsync(
            () -> {
              try {
                return upgrade("finalise", "--absent", "hive-0");
              } catch (Exception e) {
                throw new IllegalStateException(e);
              }
            });
    Said one = upgrade("finalise", "--absent", "hive-0");
    String both = one + "\n" + other.join();
    assertTrue(one.text.contains("done:") ^ other.join().text.contains("done:"), both);
    assertEquals(1, loopback.ask(() -> world.state.level().level()), both);
  }

  private void round(String oldBuild) throws Exception {
    submit("batch");
    Said refused = upgrade("finalise");
    assertEquals(EXIT_REFUSED, refused.code, refused.text);
    assertTrue(refused.text.contains("hive-0 supports 0, not level 1"), refused.text);

    loopback.kill(0);
    until("its word ends with the old build", () -> announced() == 2);
    Said unseen = upgrade("finalise");
    assertEquals(EXIT_REFUSED, unseen.code, unseen.text);
    assertTrue(unseen.text.contains("hive-0 was not seen"), unseen.text);
    submit("batch");
    twoOperatorsAtOnce();
    until("level 1 with all records", () -> levelIs(1));

    start(0, oldBuild);
    submit("batch");
    for (int i = 0; i < 100 && !logHas(0, "event=stays_out"); i++) {
      TimeUnit.MILLISECONDS.sleep(100);
    }
    assertTrue(logHas(0, "event=stays_out"), () -> "the old build took part:\n" + logs());
    assertEquals(2, loopback.ask(this::announced));

    Said back = upgrade("rollback");
    assertEquals(0, back.code, back.text);
    submit("batch");
    until("level 0 with all records", () -> levelIs(0));
    until("the old build takes part", () -> announced() == LoopbackWorld.NODES);
    Said status = upgrade("status");
    assertEquals(0, status.code, status.text);
    assertTrue(status.text.contains("level in force   0"), status.text);
    Files.writeString(loopback.logFile(0), "");
  }
}
