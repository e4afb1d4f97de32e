package io.pearscale.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

/**
 * Random scenarios with gang jobs, some of them during a rollout, and leader faults at each
 * transaction while gangs form and run.
 */
class GangRunsTest {
  private static final int RUNS = Integer.getInteger("pearscale.gangRuns", 60);
  private static final long FIRST_SEED = Long.getLong("pearscale.firstSeed", 1);
  private static final int TRANSACTIONS = Integer.getInteger("pearscale.gangSteps", 8);

  private static final String SMALL_SCENARIO =
      """
      nodes 3
      announce 10 automatic
      zones a b
      type small cpus=8 mem=64 boot=5
      machines small a ordinary 5
      machines small b ordinary 5
      team t
      at 2 submit wk-0 service tasks=4 cpus=2 spread
      at 3 submit wk-9 batch tasks=12 cpus=1 run=60
      """;

  /** Gangs beside other jobs, with the faults of {@link RandomRunsTest}. */
  @TestFactory
  Stream<DynamicTest> gangsInRandomScenarios() {
    return SeededScenarios.expectNoFailures(
        SeededScenarios.seeds(FIRST_SEED, RUNS), GangRunsTest::scenarioWithGangs);
  }

  /** Returns the random scenario of the seed with gang jobs beside the others. */
  static String scenarioWithGangs(long seed) {
    return withLines(RandomRunsTest.scenario(seed), gangLines(seed));
  }

  /**
   * The same scenarios while all controllers are replaced by a newer build, after which the
   * key-value store lowers its limits.
   */
  @TestFactory
  Stream<DynamicTest> gangsDuringRolloutInRandomScenarios() {
    return SeededScenarios.expectNoFailures(
        SeededScenarios.seeds(FIRST_SEED, RUNS),
        seed -> withLines(RandomRunsTest.scenario(seed), gangLines(seed) + rolloutLines(seed)));
  }

  private static String withLines(String scenario, String lines) {
    return scenario.replaceFirst("nodes 3\n", "nodes 3\nannounce 10 automatic\n" + lines);
  }

  private static String gangLines(long seed) {
    RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed * 86028121);
    StringBuilder lines = new StringBuilder();
    for (int i = 0; i < 3 + random.nextInt(4); i++) {
      String id = "wk-g" + i;
      double at = 12 + random.nextDouble() * 70;
      lines
          .append("at %.2f submit %s gang tasks=%d".formatted(at, id, 1 + random.nextInt(6)))
          .append(" cpus=%d run=%d".formatted(1 + random.nextInt(3), 4 + random.nextInt(30)))
          .append(random.nextInt(2) == 0 ? " one-zone" : random.nextInt(4) == 0 ? " spread" : "")
          .append(
              random.nextInt(2) == 0
                  ? " checkpoint=5 save=%d".formatted(1 + random.nextInt(4))
                  : "")
          .append(random.nextInt(3) == 0 ? " spot" : "")
          .append(random.nextInt(4) == 0 ? " priority=high" : "")
          .append(" image=g%d\n".formatted(random.nextInt(3)));
      if (random.nextInt(4) == 0) {
        lines.append("at %.2f cancel %s\nexpect %s present 0\n".formatted(at + 63, id, id));
      } else {
        lines.append("expect %s stage done\n".formatted(id));
      }
    }
    return lines.toString();
  }

  /** Restarts the controllers one after the other with the newer build, then lowers the limits. */
  private static String rolloutLines(long seed) {
    RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed * 49979687);
    StringBuilder lines = new StringBuilder("next-limits value=2048 txn=8 writes=21\n");
    double at = 6 + random.nextDouble() * 10;
    for (int i = 0; i < 3; i++) {
      lines.append("build hive-%d 0 1\nat %.2f build hive-%d 0 2\n".formatted(i, at, i));
      lines.append("at %.2f crash hive-%d\nat %.2f start hive-%d\n".formatted(at, i, at + 3, i));
      at += 4 + random.nextDouble() * 8;
    }
    return lines
        .append("at %.2f limits value=2048 txn=8 writes=21\n".formatted(at + 12))
        .toString();
  }

  /** Injects each fault at each transaction of the leader while one gang forms and one runs. */
  @TestFactory
  Stream<DynamicTest> leaderFaultAtEachTransaction() {
    return CommitFaultScenarios.testPerFault(
        TRANSACTIONS,
        (fault, number) ->
            SMALL_SCENARIO
                + """
                at 12 submit wk-1 gang tasks=5 cpus=2 one-zone run=30 checkpoint=5 save=1
                at 20.001 at-commit %d %s
                at 20.01 submit wk-2 gang tasks=4 cpus=2 one-zone run=20 checkpoint=5 save=1
                at 20.3 submit wk-3 batch tasks=3 cpus=6 priority=high run=5
                at 21 kill-machine m-000001
                until 200
                expect wk-0 present 4
                expect wk-1 stage done
                expect wk-2 stage done
                expect wk-3 stage done
                expect wk-9 stage done
                """
                    .formatted(number, fault));
  }

  /**
   * Injects each fault at each transaction of the leader from the last restart of a rollout on:
   * while the schema level rises, records are copied and the first gangs run. Then one controller
   * runs the older build for a while.
   */
  @TestFactory
  Stream<DynamicTest> leaderFaultAtEachTransactionOfRollout() {
    return CommitFaultScenarios.testPerFault(
        TRANSACTIONS,
        (fault, number) ->
            SMALL_SCENARIO
                + """
                build hive-0 0 1
                build hive-1 0 1
                build hive-2 0 1
                at 12 build hive-0 0 2
                at 12 crash hive-0
                at 15 start hive-0
                at 18 build hive-1 0 2
                at 18 crash hive-1
                at 21 start hive-1
                at 24 build hive-2 0 2
                at 24 crash hive-2
                at 26.5 at-commit %d %s
                at 27 start hive-2
                at 28 submit wk-1 gang tasks=5 cpus=2 one-zone run=40 checkpoint=5 save=1
                at 30 submit wk-2 gang tasks=4 cpus=2 run=10
                at 31 submit wk-3 batch tasks=30 cpus=1 run=10
                at 52 build hive-0 0 1
                at 52 crash hive-0
                at 55 start hive-0
                at 80 build hive-0 0 2
                at 80 crash hive-0
                at 83 start hive-0
                until 220
                expect level 2
                expect wk-0 present 4
                expect wk-1 stage done
                expect wk-2 stage done
                expect wk-3 stage done
                expect wk-9 stage done
                """
                    .formatted(number, fault));
  }

  /** The same faults while a machine of the gang is partitioned from all other hosts. */
  @TestFactory
  Stream<DynamicTest> leaderFaultDuringMachinePartition() {
    return CommitFaultScenarios.testPerFault(
        TRANSACTIONS,
        (fault, number) ->
            SMALL_SCENARIO
                + """
                at 12 submit wk-1 gang tasks=5 cpus=2 one-zone run=30 checkpoint=5 save=1
                at 20 cut host:wk-1/2 all hold
                at 20.001 at-commit %d %s
                at 20.01 submit wk-2 gang tasks=4 cpus=2 run=20
                at 30 heal m-000000 all
                at 30 heal m-000001 all
                at 30 heal m-000002 all
                at 30 heal m-000003 all
                at 30 heal m-000004 all
                at 41 heal m-000005 all
                at 41 heal m-000006 all
                at 41 heal m-000007 all
                at 41 heal m-000008 all
                at 41 heal m-000009 all
                until 200
                expect wk-1 stage done
                expect wk-2 stage done
                """
                    .formatted(number, fault));
  }

  /** {@link SimGangRendezvous} reports a job of which two attempts run. */
  @Test
  void detectsTwoRunningAttempts() {
    SimulatedCluster cluster = new SimulatedCluster(1);
    Scenario.submit(cluster, List.of("submit", "wk-1", "gang", "tasks=1"));
    SimGangRendezvous.Member member =
        new SimGangRendezvous.Member() {
          @Override
          public void start() {}

          @Override
          public void exit(String cause, boolean saved) {}

          @Override
          public boolean isUnresponsive() {
            return false;
          }
        };
    cluster.gangs.join(SimUser.parseTask("wk-1/0"), 1, member);
    assertEquals(List.of(), cluster.violations);
    cluster.gangs.join(SimUser.parseTask("wk-1/0"), 2, member);
    assertTrue(
        cluster.violations.stream().anyMatch(violation -> violation.startsWith("gang_twice")));
  }
}
