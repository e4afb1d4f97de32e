package io.pearscale.sim;

import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * Generates scenarios in which users cancel many jobs at once while messages are lost and several
 * faults overlap. All tasks run for longer than the scenario, so a task that a cancel fails to stop
 * keeps running until the checker of {@link SimulatedCluster} reports it.
 */
final class CancellationScenarioGenerator {
  private static final int FIRST_CANCEL_SECOND = 24;
  private static final int LAST_FAULT_END_SECOND = 80;
  private static final int END_SECOND = 150;

  private final RandomGenerator random;
  private final ScenarioText text = new ScenarioText();
  private final int machines;
  private final int jobs;

  private CancellationScenarioGenerator(long seed, int machines) {
    this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed * 6007 + machines);
    this.machines = machines;
    this.jobs = machines / 2;
  }

  /** Returns a scenario on that many machines, the same text for the same seed. */
  static String generate(long seed, int machines) {
    return new CancellationScenarioGenerator(seed, machines).build();
  }

  private String build() {
    text.statement("nodes 3");
    text.statement("zones a b");
    text.statement("type small cpus=8 mem=64 boot=5");
    text.machinesInTwoZones(machines);
    text.clockDrift();
    text.teams(2 * machines);
    appendSubmissions();
    appendCancels();
    int faultCount = 2 + random.nextInt(3);
    for (int i = 0; i < faultCount; i++) {
      appendFault(FIRST_CANCEL_SECOND - 4 + random.nextDouble() * 30);
    }
    text.statement("until %d", END_SECOND);
    return text.toString();
  }

  private void appendSubmissions() {
    for (int i = 0; i < jobs; i++) {
      boolean checkpoints = random.nextInt(3) == 0;
      text.event(
          1 + random.nextDouble() * 8,
          "submit wk-%d %s tasks=%d cpus=%d run=400%s%s image=i%d",
          i,
          random.nextInt(3) == 0 ? "service" : "batch",
          1 + random.nextInt(5),
          1 + random.nextInt(3),
          checkpoints ? " checkpoint=5 save=%d".formatted(1 + random.nextInt(12)) : "",
          random.nextInt(3) == 0 ? " team=u" : "",
          random.nextInt(5));
    }
  }

  /** Most cancels come within a two-second burst, the others within 40 s of its start. */
  private void appendCancels() {
    double burst = FIRST_CANCEL_SECOND + random.nextDouble() * 12;
    for (int i = 0; i < jobs; i++) {
      int kind = random.nextInt(4);
      double at = kind < 2 ? burst + random.nextDouble() * 2 : burst + random.nextDouble() * 40;
      if (kind < 3) {
        text.event(at, "cancel wk-%d", i);
      }
    }
  }

  private void appendFault(double at) {
    double end = Math.min(LAST_FAULT_END_SECOND, at + 5 + random.nextDouble() * 35);
    String node = random.nextBoolean() ? "leader-if-any" : "hive-" + random.nextInt(3);
    String hold = random.nextBoolean() ? " hold" : "";
    switch (random.nextInt(14)) {
      case 0 ->
          text.temporaryFault(
              at, end, "lose-heartbeat-responses %.2f".formatted(random.nextDouble() * 0.7));
      case 1 ->
          text.temporaryFault(
              at, end, "lose-commands %.2f".formatted(0.3 + random.nextDouble() * 0.7));
      case 2 ->
          text.temporaryFault(
              at, end, "processing-time all %.4f".formatted(random.nextDouble() * 0.06 / machines));
      case 3 ->
          text.temporaryFault(at, end, "network-latency %.2f".formatted(random.nextDouble() * 2.2));
      case 4 ->
          text.temporaryFault(at, end, "store-latency %.2f".formatted(random.nextDouble() * 1.4));
      case 5 -> text.event(at, "delay-commands %d %.2f", machines, 2 + random.nextDouble() * 14);
      case 6 -> text.event(at, "freeze %s %.2f before-send", node, 1 + random.nextDouble() * 20);
      case 7 -> text.restart(at, random.nextBoolean() ? at + 0.3 : end, node);
      case 8 -> appendFaultOnHost(at, end, "cut", "heal", node + " state" + hold, node + " state");
      case 9 ->
          appendFaultOnHost(at, end, "cut", "heal", node + " workers" + hold, node + " workers");
      case 10 ->
          appendFaultOnHost(at, end, "refuse-store-client", "accept-store-client", node, node);
      case 11 -> appendFaultOnHost(at, end, "down", "up", "state", "state");
      case 12 -> appendFaultOnMachines(at, end, "hang-within-lease", "resume", "");
      default -> {
        appendFaultOnMachines(at, end, "cut", "heal", " all" + hold);
        appendFaultOnMachines(at, end, "cut-controller-to-agent", "heal-controller-to-agent", "");
      }
    }
  }

  private void appendFaultOnHost(
      double at,
      double end,
      String startCommand,
      String endCommand,
      String startArguments,
      String endArguments) {
    String host = startArguments.split(" ")[0];
    String alias = "host%.0f".formatted(at * 100);
    boolean leader = host.equals("leader-if-any");
    if (leader) {
      text.event(at, "alias leader-if-any %s", alias);
    }
    text.event(
        at, "%s %s", startCommand, leader ? startArguments.replace(host, alias) : startArguments);
    text.event(end, "%s %s", endCommand, leader ? endArguments.replace(host, alias) : endArguments);
  }

  private void appendFaultOnMachines(
      double at, double end, String startCommand, String endCommand, String arguments) {
    int count = 1 + random.nextInt(Math.max(2, machines / 4));
    for (int i = 0; i < count; i++) {
      String name = "m-%06d".formatted(random.nextInt(machines));
      text.event(at, "%s %s%s", startCommand, name, arguments);
      text.event(end, "%s %s%s", endCommand, name, arguments.replace(" hold", ""));
    }
  }
}
