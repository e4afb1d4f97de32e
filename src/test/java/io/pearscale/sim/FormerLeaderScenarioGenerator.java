package io.pearscale.sim;

import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * Generates scenarios in which a zone is partitioned together with the leader, which goes on to
 * renew the leases there, while heartbeats of its machines reach the new leader late or lose their
 * responses. The other zones have capacity, so that a task that the new leader wrongly takes for
 * ended starts there at once.
 */
final class FormerLeaderScenarioGenerator {
  private static final String[] ZONES = {"a", "b", "c"};

  /** The part of cancel_s that is neither lease TTL nor renewal authority timeout. */
  private static final double CANCEL_MARGIN_SECONDS = 6;

  /** Longer than an election after the leader has lost the key-value store. */
  private static final double ELECTION_SECONDS = 4;

  private final RandomGenerator random;
  private final ScenarioText text = new ScenarioText();
  private final int machines;
  private final double lease;
  private final double renewalAuthority;
  private final boolean gangs;
  private final String zone;

  private FormerLeaderScenarioGenerator(long seed, int machines) {
    this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed * 9973 + machines);
    this.machines = machines;
    this.lease = 10 + random.nextDouble() * 14;
    this.renewalAuthority = 6 + random.nextDouble() * 14;
    this.gangs = random.nextInt(3) == 0;
    this.zone = ZONES[random.nextInt(ZONES.length)];
  }

  /** Returns a scenario on about that many machines, the same text for the same seed. */
  static String generate(long seed, int machines) {
    return new FormerLeaderScenarioGenerator(seed, machines).build();
  }

  private String build() {
    appendDeployment();
    appendJobs();
    double cutAt = 16 + random.nextDouble() * 6;
    if (random.nextBoolean()) {
      text.event(cutAt - 1, "down cloud");
    }
    double healAt = cutAt + ELECTION_SECONDS + lease + random.nextDouble() * renewalAuthority * 2;
    if (random.nextInt(3) > 0) {
      appendLateCopies(cutAt);
    } else {
      appendLostResponses(cutAt, healAt);
    }
    text.event(healAt, "rejoin-zone");
    int otherFaults = random.nextInt(4);
    for (int i = 0; i < otherFaults; i++) {
      appendOtherFault(cutAt + random.nextDouble() * (lease + renewalAuthority));
    }
    text.statement("until %.0f", healAt + 30);
    return text.toString();
  }

  private void appendDeployment() {
    text.statement("nodes 3");
    if (gangs) {
      text.statement("announce 5 automatic");
    }
    text.statement("zones a b c");
    text.statement("type small cpus=8 mem=64 boot=5");
    text.statement(
        "workers report=2 lease=%.2f cancel=%.2f",
        lease, lease + renewalAuthority + CANCEL_MARGIN_SECONDS);
    for (String each : ZONES) {
      text.statement("machines small %s ordinary %d", each, machines / ZONES.length);
    }
    text.clockDrift();
    text.teams(machines);
  }

  /** Submits jobs that take about half of the fleet's capacity and outlast the partition. */
  private void appendJobs() {
    for (int i = 0; i < machines / 2; i++) {
      boolean gang = gangs && random.nextInt(3) == 0;
      String type = gang ? "gang" : random.nextInt(3) == 0 ? "service" : "batch";
      double at = (gang ? 9 : 2) + random.nextDouble() * 4;
      text.event(
          at,
          "submit wk-%d %s tasks=%d cpus=%d run=400%s%s image=i%d",
          i,
          type,
          1 + random.nextInt(6),
          1 + random.nextInt(3),
          random.nextInt(3) == 0 ? " team=u" : "",
          placementConstraint(),
          random.nextInt(3));
      if (random.nextInt(6) == 0) {
        text.event(16 + random.nextDouble() * 40, "cancel wk-%d", i);
      }
    }
  }

  private String placementConstraint() {
    return switch (random.nextInt(5)) {
      case 0 -> " one-zone";
      case 1 -> " spread";
      default -> "";
    };
  }

  /**
   * Copies of heartbeats that were sent before the partition arrive after the election. In some
   * scenarios the key-value store is slow meanwhile, so that the new leader recovers late.
   */
  private void appendLateCopies(double cutAt) {
    boolean slowStore = random.nextInt(3) == 0;
    double delay = random.nextDouble() * (slowStore ? 3 : renewalAuthority + 2);
    if (slowStore) {
      text.temporaryFault(
          cutAt + 0.5,
          cutAt + 5 + random.nextDouble() * 5,
          "store-latency %.2f".formatted(0.5 + random.nextDouble() * 2));
    }
    text.event(cutAt - 3, "copy-heartbeats-for-next-leader %s %.2f", zone, delay);
    text.event(
        cutAt, "isolate-zone %s leader-if-any%s", zone, random.nextInt(3) == 0 ? " hold" : "");
  }

  /**
   * The leader loses the key-value store and its peers. Heartbeats reach the new leader, their
   * responses and all direct commands are lost, and then the zone is partitioned.
   */
  private void appendLostResponses(double cutAt, double healAt) {
    text.event(cutAt - 4, "alias follower peer1");
    text.event(cutAt - 4, "alias follower2 peer2");
    text.event(cutAt - 4, "alias leader old");
    for (String other : new String[] {"peer1", "peer2", "state"}) {
      text.event(cutAt - 4, "cut old %s", other);
      text.event(healAt, "heal old %s", other);
    }
    double partitionAt = cutAt + random.nextDouble() * ELECTION_SECONDS;
    text.temporaryFault(
        cutAt - 2,
        partitionAt,
        "lose-heartbeat-responses %.2f".formatted(0.5 + random.nextDouble() / 2));
    text.temporaryFault(cutAt - 4, partitionAt, "leave-commands-unsent 1000");
    text.event(partitionAt, "isolate-zone %s old", zone);
  }

  private void appendOtherFault(double at) {
    double end = at + 1 + random.nextDouble() * 15;
    switch (random.nextInt(9)) {
      case 0 -> text.restart(at, end, "leader-if-any");
      case 1 -> text.restart(at, at + 0.3, "hive-" + random.nextInt(3));
      case 2 ->
          text.temporaryFault(at, end, "store-latency %.2f".formatted(random.nextDouble() * 1.5));
      case 3 -> text.temporaryFault(at, end, "network-latency %.2f".formatted(random.nextDouble()));
      case 4 -> text.temporaryFault(at, end, "lose-commands %.2f".formatted(random.nextDouble()));
      case 5 ->
          text.event(
              at, "delay-commands %d %.2f", 1 + random.nextInt(8), 2 + random.nextDouble() * 14);
      case 6 ->
          text.event(at, "freeze leader-if-any %.2f before-send", 1 + random.nextDouble() * 12);
      case 7 ->
          text.event(
              at, "delay-commits %d %.2f", 1 + random.nextInt(4), 1 + random.nextDouble() * 15);
      default -> appendHang(at, end);
    }
  }

  private void appendHang(double at, double end) {
    String machine = "m-%06d".formatted(random.nextInt(machines));
    text.event(at, "hang-within-lease %s", machine);
    text.event(end, "resume %s", machine);
  }
}
