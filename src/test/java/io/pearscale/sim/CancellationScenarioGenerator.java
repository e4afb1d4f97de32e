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
  private final StringBuilder text = new StringBuilder();
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
    text.append("nodes 3\nzones a b\ntype small cpus=8 mem=64 boot=5\n")
        .append("machines small a ordinary %d\n".formatted(machines / 2))
        .append("machines small b ordinary %d\n".formatted(machines - machines / 2))
        .append("drift hive-0 1.0005\ndrift hive-1 0.9995\n")
        .append("team t\nteam u cpus_max=%d\n".formatted(2 * machines));
    appendSubmissions();
    appendCancels();
    int faultCount = 2 + random.nextInt(3);
    for (int i = 0; i < faultCount; i++) {
      appendFault(FIRST_CANCEL_SECOND - 4 + random.nextDouble() * 30);
    }
    return text.append("until " + END_SECOND + "\n").toString();
  }

  private void appendSubmissions() {
    for (int i = 0; i < jobs; i++) {
      boolean checkpoints = random.nextInt(3) == 0;
      text.append(
              "at %.2f submit wk-%d %s tasks=%d cpus=%d run=400"
                  .formatted(
                      1 + random.nextDouble() * 8,
                      i,
                      random.nextInt(3) == 0 ? "service" : "batch",
                      1 + random.nextInt(5),
                      1 + random.nextInt(3)))
          .append(checkpoints ? " checkpoint=5 save=%d".formatted(1 + random.nextInt(12)) : "")
          .append(random.nextInt(3) == 0 ? " team=u" : "")
          .append(" image=i%d\n".formatted(random.nextInt(5)));
    }
  }

  /** Most cancels come within a two-second burst, the others within 40 s of its start. */
  private void appendCancels() {
    double burst = FIRST_CANCEL_SECOND + random.nextDouble() * 12;
    for (int i = 0; i < jobs; i++) {
      int kind = random.nextInt(4);
      double at = kind < 2 ? burst + random.nextDouble() * 2 : burst + random.nextDouble() * 40;
      if (kind < 3) {
        text.append("at %.2f cancel wk-%d\n".formatted(at, i));
      }
    }
  }

  private void appendFault(double at) {
    double end = Math.min(LAST_FAULT_END_SECOND, at + 5 + random.nextDouble() * 35);
    String node = random.nextBoolean() ? "leader-if-any" : "hive-" + random.nextInt(3);
    String hold = random.nextBoolean() ? " hold" : "";
    switch (random.nextInt(14)) {
      case 0 ->
          appendTemporaryFault(
              at, "lose-heartbeat-responses %.2f".formatted(random.nextDouble() * 0.7), end);
      case 1 ->
          appendTemporaryFault(
              at, "lose-commands %.2f".formatted(0.3 + random.nextDouble() * 0.7), end);
      case 2 ->
          appendTemporaryFault(
              at, "processing-time all %.4f".formatted(random.nextDouble() * 0.06 / machines), end);
      case 3 ->
          appendTemporaryFault(
              at, "network-latency %.2f".formatted(random.nextDouble() * 2.2), end);
      case 4 ->
          appendTemporaryFault(at, "store-latency %.2f".formatted(random.nextDouble() * 1.4), end);
      case 5 -> appendEvent(at, "delay-commands %d %.2f", machines, 2 + random.nextDouble() * 14);
      case 6 -> appendEvent(at, "freeze %s %.2f before-send", node, 1 + random.nextDouble() * 20);
      case 7 -> appendRestart(node, at, end);
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

  private void appendEvent(double at, String format, Object... values) {
    text.append("at %.2f ".formatted(at)).append(format.formatted(values)).append('\n');
  }

  /** Appends a command whose last argument is a number, and resets that number to 0 at the end. */
  private void appendTemporaryFault(double at, String command, double end) {
    appendEvent(at, "%s", command);
    appendEvent(end, "%s 0", command.substring(0, command.lastIndexOf(' ')));
  }

  private void appendRestart(String node, double at, double end) {
    appendEvent(at, "alias %s restarted%.0f", node, at);
    appendEvent(at, "crash restarted%.0f", at);
    appendEvent(random.nextBoolean() ? at + 0.3 : end, "start restarted%.0f", at);
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
      appendEvent(at, "alias leader-if-any %s", alias);
    }
    appendEvent(
        at, "%s %s", startCommand, leader ? startArguments.replace(host, alias) : startArguments);
    appendEvent(
        end, "%s %s", endCommand, leader ? endArguments.replace(host, alias) : endArguments);
  }

  private void appendFaultOnMachines(
      double at, double end, String startCommand, String endCommand, String arguments) {
    int count = 1 + random.nextInt(Math.max(2, machines / 4));
    for (int i = 0; i < count; i++) {
      String name = "m-%06d".formatted(random.nextInt(machines));
      appendEvent(at, "%s %s%s", startCommand, name, arguments);
      appendEvent(end, "%s %s%s", endCommand, name, arguments.replace(" hold", ""));
    }
  }
}
