package io.pearscale.sim;

import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * Generates scenarios in which many machines lose their leases and start new incarnations: network
 * partitions and hangs of about a lease's length, with delayed messages, while more tasks wait than
 * the fleet has capacity for. A wrong conclusion of the leader about an incarnation that it has not
 * seen shows as a task on two machines.
 */
final class LeaseExpiryScenarioGenerator {
  /** With heartbeats every 2 s, the seventh probe of an unreachable machine is sent after 22 s. */
  private static final double SEVENTH_PROBE_SECONDS = 22;

  private static final int END_SECOND = 110;

  private final RandomGenerator random;
  private final ScenarioText text = new ScenarioText();
  private final int machines;
  private final double lease;

  private LeaseExpiryScenarioGenerator(long seed, int machines) {
    this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed * 7433 + machines);
    this.machines = machines;
    // In half of the scenarios a probe is in flight when the leases of unreachable machines expire.
    this.lease =
        random.nextBoolean()
            ? SEVENTH_PROBE_SECONDS - 1.2 + random.nextDouble()
            : 10 + random.nextDouble() * 14;
  }

  /** Returns a scenario on that many machines, the same text for the same seed. */
  static String generate(long seed, int machines) {
    return new LeaseExpiryScenarioGenerator(seed, machines).build();
  }

  private String build() {
    text.statement("nodes 3");
    text.statement("zones a b");
    text.statement("type small cpus=8 mem=64 boot=5");
    text.statement("workers report=2 lease=%.2f cancel=%.2f", lease, lease + 20);
    text.machinesInTwoZones(machines);
    text.clockDrift();
    text.teams(2 * machines);
    appendSubmissions();
    double firstExpiry = 14 + random.nextDouble() * 8;
    appendLeaseExpiry(firstExpiry);
    if (random.nextBoolean()) {
      appendLeaseExpiry(firstExpiry + lease + random.nextDouble() * 8);
    }
    int otherFaults = random.nextInt(3);
    for (int i = 0; i < otherFaults; i++) {
      appendOtherFault(firstExpiry + random.nextDouble() * (lease + 6));
    }
    text.statement("until %d", END_SECOND);
    return text.toString();
  }

  /** Submits more than fits, so that resources considered free are used at once. */
  private void appendSubmissions() {
    int jobs = machines;
    for (int i = 0; i < jobs; i++) {
      boolean service = random.nextInt(10) == 0;
      text.event(
          1 + random.nextDouble() * 50,
          "submit wk-%d %s tasks=%d cpus=%d run=%d%s%s image=i%d",
          i,
          service ? "service" : "batch",
          1 + random.nextInt(6),
          1 + random.nextInt(8),
          random.nextBoolean() ? 400 : 10 + random.nextInt(20),
          random.nextInt(4) == 0 ? " team=u" : "",
          random.nextInt(5) == 0 ? " one-zone" : random.nextInt(5) == 0 ? " spread" : "",
          random.nextInt(5));
    }
  }

  /** Makes a group of machines unreachable for about the length of a lease. */
  private void appendLeaseExpiry(double at) {
    double end = at + lease - 1.5 + random.nextDouble() * 3;
    String hold = random.nextInt(4) > 0 ? " hold" : "";
    switch (random.nextInt(6)) {
      case 0 -> appendFaultOnMachines(at, end, "hang-within-lease", "resume", "");
      case 1 ->
          appendFaultOnMachines(at, end, "cut-controller-to-agent", "heal-controller-to-agent", "");
      case 2 ->
          appendFaultOnMachines(at, end, "cut-agent-to-controller", "heal-agent-to-controller", "");
      default -> appendFaultOnMachines(at, end, "cut", "heal", " all" + hold);
    }
  }

  private void appendOtherFault(double at) {
    String node = random.nextInt(3) > 0 ? "leader-if-any" : "hive-" + random.nextInt(3);
    switch (random.nextInt(8)) {
      case 0 ->
          text.event(
              at, "delay-commands %d %.2f", 1 + random.nextInt(machines), random.nextDouble() * 18);
      case 1 -> text.event(at, "freeze %s %.2f before-send", node, 1 + random.nextDouble() * 20);
      case 2 -> {
        text.event(at, "alias %s ended%.0f", node, at);
        text.event(at, "crash ended%.0f", at);
        text.event(at + random.nextDouble() * 6, "start ended%.0f", at);
      }
      case 3 -> appendFaultOnMachines(at, at, "reboot", "", "");
      case 4 -> appendTemporaryFault(at, "network-latency %.2f".formatted(random.nextDouble()));
      case 5 ->
          appendTemporaryFault(
              at, "lose-heartbeat-responses %.2f".formatted(random.nextDouble() * 0.7));
      case 6 -> appendTemporaryFault(at, "lose-commands %.2f".formatted(random.nextDouble()));
      default -> {
        text.event(at, "alias %s apart%.0f", node, at);
        text.event(at, "cut apart%.0f workers%s", at, random.nextBoolean() ? " hold" : "");
        text.event(at + 2 + random.nextDouble() * 20, "heal apart%.0f workers", at);
      }
    }
  }

  /** Appends a command whose last argument is a number, and resets it to 0 within 20 s. */
  private void appendTemporaryFault(double at, String command) {
    text.temporaryFault(at, at + random.nextDouble() * 20, command);
  }

  /**
   * Appends a fault on consecutive machines, which ends on all of them within two seconds. The
   * group is mostly large: a few unreachable machines would be deleted long before their lease
   * expires.
   */
  private void appendFaultOnMachines(
      double at, double end, String startCommand, String endCommand, String arguments) {
    int firstMachine = random.nextInt(machines);
    int count = 1 + random.nextInt(Math.max(2, machines * 2 / 3));
    double endSpread = random.nextBoolean() ? 0 : random.nextDouble() * 2;
    for (int i = 0; i < count; i++) {
      String name = "m-%06d".formatted((firstMachine + i) % machines);
      text.event(at, "%s %s%s", startCommand, name, arguments);
      if (!endCommand.isEmpty()) {
        double endOfFault = end + endSpread * random.nextDouble();
        text.event(endOfFault, "%s %s%s", endCommand, name, arguments.replace(" hold", ""));
      }
    }
  }
}
