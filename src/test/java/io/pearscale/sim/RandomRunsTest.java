package io.pearscale.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Scenarios with random jobs and injected faults from fixed seeds. {@link SimulatedCluster} checks
 * the invariants after each event. All faults end before the scenario does, so all jobs must be in
 * their expected state at the end.
 */
class RandomRunsTest {
  private static final int RUNS = Integer.getInteger("pearscale.randomRuns", 120);
  private static final long FIRST_SEED = Long.getLong("pearscale.firstSeed", 1);

  /**
   * Seeds on which a write that was prepared before a level change was sent after it, guarded by
   * the revision of the new level.
   */
  private static final List<Long> LEVEL_SWITCH_REGRESSION_SEEDS = List.of(5097L, 5123L, 5447L);

  private static List<Long> seeds(int runs) {
    return SeededScenarios.seeds(FIRST_SEED, runs);
  }

  @TestFactory
  Stream<DynamicTest> rulesHoldAndJobsComplete() {
    return SeededScenarios.expectNoFailures(seeds(RUNS), RandomRunsTest::scenario);
  }

  /**
   * The same scenarios while controllers of two builds run side by side and the schema level is
   * raised: one controller has the older build and does not take part from then on.
   */
  @TestFactory
  Stream<DynamicTest> mixedBuildsServeDuringLevelChange() {
    List<Long> seeds = new ArrayList<>(LEVEL_SWITCH_REGRESSION_SEEDS);
    seeds.addAll(seeds(RUNS / 2));
    return SeededScenarios.expectNoFailures(seeds, seed -> withMixedBuilds(scenario(seed), seed));
  }

  /**
   * The same scenarios while the schema level is raised and rolled back at random times, for every
   * third seed with one controller of the older build. At the end level 0 is in force.
   */
  @TestFactory
  Stream<DynamicTest> levelChangesAndRollbacks() {
    return SeededScenarios.expectNoFailures(
        seeds(RUNS / 2), seed -> withLevelChanges(scenario(seed), seed));
  }

  /**
   * The same scenarios while machines are drained at random times, some held and some deleted, and
   * drains are paused and cancelled. Tasks are also evicted in these scenarios, so only the
   * invariants and the final states of the jobs are checked; {@link DrainRunsTest} checks budgets.
   */
  @TestFactory
  Stream<DynamicTest> drainsInRandomScenarios() {
    return SeededScenarios.expectNoFailures(seeds(RUNS / 2), RandomRunsTest::scenarioWithDrains);
  }

  /** Returns the random scenario of the seed while machines are drained. */
  static String scenarioWithDrains(long seed) {
    RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed * 32452843);
    StringBuilder drains =
        new StringBuilder("nodes 3\nunchecked-budget * * most-down 2\nat 8 level 1\n");
    for (int i = 0; i < 2 + random.nextInt(2); i++) {
      double at = 12 + random.nextDouble() * 60;
      int machine = random.nextInt(4);
      drains.append(
          "at %.2f drain d%d machines=m-00000%d,m-00000%d at-once=2 for=150%s\n"
              .formatted(at, i, machine, (machine + 1) % 4, random.nextBoolean() ? " hold" : ""));
      if (random.nextInt(3) == 0) {
        drains.append("at %.2f drain-desired-state d%d PAUSE\n".formatted(at + 2, i));
      }
      drains.append(
          "at %.2f drain-desired-state d%d CANCEL\n"
              .formatted(at + 20 + random.nextDouble() * 90, i));
    }
    return scenario(seed).replaceFirst("nodes 3\n", drains.toString());
  }

  private static String withLevelChanges(String scenario, long seed) {
    RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed * 15485863);
    StringBuilder levelChanges = new StringBuilder("nodes 3\nvalue-bytes 1024\n");
    if (seed % 3 == 0) {
      levelChanges.append("build hive-%d 0 0\n".formatted(random.nextInt(3)));
    }
    double at = 8;
    for (int i = 0; i < 1 + random.nextInt(3); i++) {
      at += random.nextDouble() * 25;
      levelChanges.append("at %.2f level 1\n".formatted(at));
      at += random.nextDouble() * 25;
      levelChanges.append("at %.2f roll-back-level\n".formatted(at));
    }
    return scenario.replaceFirst("nodes 3\n", levelChanges.toString()) + "expect level 0\n";
  }

  private static String withMixedBuilds(String scenario, long seed) {
    RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed * 104729);
    int olderBuildHost = random.nextInt(3);
    StringBuilder builds = new StringBuilder("nodes 3\n");
    for (int i = 0; i < 3; i++) {
      builds.append("build hive-%d 0 %d\n".formatted(i, i == olderBuildHost ? 0 : 1));
    }
    builds.append("at %.2f level 1\n".formatted(10 + random.nextDouble() * 70));
    return scenario.replaceFirst("nodes 3\n", builds.toString());
  }

  static String scenario(long seed) {
    RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed * 7919);
    StringBuilder text = new StringBuilder();
    boolean limitTeam = random.nextInt(4) == 0;
    text.append(
            "nodes 3\nzones a b\ntype small cpus=8 mem=64 boot=5\ntype big cpus=16 mem=64 boot=8")
        .append(" price=1.8 spot=0.8\n")
        .append("capacity small a ordinary 5\ncapacity small b ordinary 5\n")
        .append("capacity small a spot 3\ncapacity big b ordinary 2\ncapacity big b spot 2\n")
        .append("machines small a ordinary 2\nmachines small b ordinary 2\n")
        .append("drift hive-0 1.0005\ndrift hive-1 0.9995\n")
        .append("team t")
        .append(limitTeam ? " cpus_max=24\n" : "\n")
        .append("team u\n")
        .append("class web wait 1\n");
    StringBuilder expectations = new StringBuilder();
    boolean refuseLeader = random.nextInt(3) == 0;
    int jobs = 6 + random.nextInt(8);
    for (int i = 0; i < jobs; i++) {
      String id = "wk-" + i;
      boolean service = random.nextInt(3) == 0;
      int tasks = 1 + random.nextInt(service ? 4 : 12);
      text.append(
              "at %.2f submit %s %s tasks=%d cpus=%d"
                  .formatted(
                      1 + random.nextDouble() * 70,
                      id,
                      service ? "service" : "batch",
                      tasks,
                      1 + random.nextInt(3)))
          .append(service ? " class=web" : "")
          .append((limitTeam && service) || random.nextInt(4) == 0 ? " team=u" : "")
          .append(random.nextInt(3) == 0 ? " spread" : random.nextInt(6) == 0 ? " one-zone" : "")
          .append(!service && random.nextInt(2) == 0 ? " spot" : "")
          .append(random.nextInt(3) == 0 && !service ? " priority=idle checkpoint=3 save=1" : "")
          .append(" image=i" + random.nextInt(3))
          .append(" run=" + (2 + random.nextInt(14)) + "\n");
      if (random.nextInt(4) == 0) {
        double cancelWindow = refuseLeader ? 2 : 20;
        text.append("at %.2f cancel %s\n".formatted(72 + random.nextDouble() * cancelWindow, id));
        expectations.append("expect " + id + " present 0\n");
      } else if (service) {
        expectations.append("expect " + id + " present " + tasks + "\n");
      } else {
        expectations.append("expect " + id + " stage done\n");
      }
    }
    int faultCount = 2 + random.nextInt(6);
    for (int i = 0; i < faultCount; i++) {
      appendFault(random, text, i);
    }
    if (refuseLeader) {
      appendRefusalThenOutage(random, text);
    }
    // Draws its random numbers last, so that earlier draws stay the same for each seed.
    appendAdditionalFaults(random, text, jobs);
    return text.append("until 330\n").append(expectations).toString();
  }

  /**
   * The key-value store refuses the leader at about the time at which users cancel jobs, a
   * controller may restart, and then the store is down for all clients for 30 to 55 s. The cancel
   * timeout is 36 s.
   */
  private static void appendRefusalThenOutage(RandomGenerator random, StringBuilder text) {
    double at = 72 + random.nextDouble();
    text.append(
        "at %.2f alias leader-if-any refused\nat %.2f refuse-store-client refused\n"
            .formatted(at, at));
    if (random.nextBoolean()) {
      String node = "hive-" + random.nextInt(3);
      double crashAt = at + random.nextDouble() * 2;
      text.append("at %.2f crash %s\n".formatted(crashAt, node))
          .append("at %.2f start %s\n".formatted(crashAt + 0.1 + random.nextDouble(), node));
    }
    double outageAt = at + 0.5 + random.nextDouble() * 3;
    text.append(
            "at %.2f down state\nat %.2f up state\n"
                .formatted(outageAt, outageAt + 30 + random.nextDouble() * 25))
        .append(
            "at %.2f accept-store-client refused\n".formatted(at + 5 + random.nextDouble() * 60));
  }

  /** Appends repeated submissions, a cancel at a job's end, late commands and slow processors. */
  private static void appendAdditionalFaults(RandomGenerator random, StringBuilder text, int jobs) {
    for (int i = 0; i < 3; i++) {
      text.append(
          "at %.2f resubmit wk-%d\n"
              .formatted(75 + random.nextDouble() * 40, random.nextInt(jobs)));
    }
    if (random.nextInt(3) == 0) {
      text.append(
              "at %.2f submit wk-end batch tasks=3 run=5\n"
                  .formatted(20 + random.nextDouble() * 40))
          .append("at 70 cancel-at-end wk-end\nat 1 cancel-at-end wk-end\n");
    }
    if (random.nextInt(3) == 0) {
      text.append(
          "at %.2f delay-commands %d %.2f\n"
              .formatted(
                  5 + random.nextDouble() * 70,
                  1 + random.nextInt(12),
                  2 + random.nextDouble() * 14));
    }
    if (random.nextInt(4) == 0) {
      double at = random.nextDouble() * 60;
      String target = random.nextBoolean() ? "all" : "hive-" + random.nextInt(3);
      text.append(
              "at %.2f processing-time %s %.4f\n"
                  .formatted(at, target, 0.001 + random.nextDouble() * 0.006))
          .append(
              "at %.2f processing-time %s 0\n"
                  .formatted(at + 10 + random.nextDouble() * 60, target));
    }
  }

  private static void appendFault(RandomGenerator random, StringBuilder text, int number) {
    double at = 6 + random.nextDouble() * 70;
    double end = at + 1 + random.nextDouble() * 40;
    String node = "hive-" + random.nextInt(3);
    String machine = "m-00000" + random.nextInt(6);
    String hold = random.nextBoolean() ? " hold" : "";
    switch (random.nextInt(24)) {
      case 0 -> text.append("at %.2f crash %s\nat %.2f start %s\n".formatted(at, node, end, node));
      case 1 -> text.append("at %.2f crash all\nat %.2f start all\n".formatted(at, at + 3));
      case 2 ->
          text.append(
              "at %.2f cut %s all%s\nat %.2f heal %s all\n".formatted(at, node, hold, end, node));
      case 3 ->
          text.append(
              "at %.2f cut %s workers%s\nat %.2f heal %s workers\n"
                  .formatted(at, node, hold, end, node));
      case 4 ->
          text.append(
              "at %.2f cut %s state%s\nat %.2f heal %s state\n"
                  .formatted(at, node, hold, end, node));
      case 5 ->
          text.append(
              "at %.2f cut %s all%s\nat %.2f heal %s all\n"
                  .formatted(at, machine, hold, end, machine));
      case 6 -> text.append("at %.2f down state\nat %.2f up state\n".formatted(at, at + 15));
      case 7 ->
          text.append(
              "at %.2f delay-commits %d %.2f\n"
                  .formatted(at, 1 + random.nextInt(4), 1 + random.nextDouble() * 20));
      case 9 ->
          text.append(
              "at %.2f cut-controller-to-agent %s\nat %.2f heal-controller-to-agent %s\n"
                  .formatted(at, machine, end, machine));
      case 10 ->
          text.append(
              "at %.2f duplicate-heartbeats %s %d %.2f\n"
                  .formatted(at, machine, 1 + random.nextInt(8), 1 + random.nextDouble() * 50));
      case 11 ->
          text.append(
              "at %.2f peer-connections refused\nat %.2f peer-connections accepted\n"
                  .formatted(at, end));
      case 12 -> {
        for (String other : new String[] {"state", "hive-0", "hive-1", "hive-2"}) {
          if (!other.equals(node)) {
            text.append(
                "at %.2f cut %s %s%s\nat %.2f heal %s %s\n"
                    .formatted(at, node, other, hold, end, node, other));
          }
        }
      }
      case 13 -> {
        for (int k = 0; k < 3; k++) {
          text.append(
              "at %.2f crash hive-%d\nat %.2f start hive-%d\n"
                  .formatted(at + 0.3 * k, k, at + 0.3 * k + 0.1 + random.nextDouble() * 0.3, k));
        }
      }
      case 14 -> text.append("at %.2f reboot %s\n".formatted(at, machine));
      case 16, 17 ->
          text.append(
              "at %.2f freeze %s %.2f%s\n"
                  .formatted(
                      at,
                      node,
                      1 + random.nextDouble() * 35,
                      random.nextBoolean() ? " before-send" : ""));
      case 18, 19 ->
          text.append(
              "at %.2f cut-agent-to-controller %s\nat %.2f heal-agent-to-controller %s\n"
                  .formatted(at, machine, end, machine));
      case 20 ->
          text.append(
              "at %.2f store-latency %.2f\nat %.2f store-latency 0\n"
                  .formatted(at, random.nextDouble(), end));
      case 21 ->
          text.append(
              "at %.2f network-latency %.2f\nat %.2f network-latency 0\n"
                  .formatted(at, random.nextDouble() * 0.4, end));
      case 22 -> {
        // Two controllers have crashed and the key-value store refuses the third.
        text.append("at %.2f refuse-store-client %s\n".formatted(at, node));
        for (int k = 0; k < 3; k++) {
          if (!node.equals("hive-" + k)) {
            text.append("at %.2f crash hive-%d\nat %.2f start hive-%d\n".formatted(at, k, end, k));
          }
        }
        text.append("at %.2f accept-store-client %s\n".formatted(end, node));
      }
      case 8 ->
          text.append(
              "at %.2f refuse-store-client %s\nat %.2f accept-store-client %s\n"
                  .formatted(at, node, end, node));
      default ->
          text.append(
              "at %.2f crash %s\nat %.2f start %s\n"
                  .formatted(at, node, at + 0.2 + number * 0.1, node));
    }
  }
}
