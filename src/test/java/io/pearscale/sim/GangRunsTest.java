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
 * Random days with gang jobs, with a rollout amid them, and troubles at each step of an attempt.
 */
class GangRunsTest {
  private static final int RUNS = Integer.getInteger("pearscale.gangRuns", 60);
  private static final long FIRST = Long.getLong("pearscale.firstSeed", 1);
  private static final int TRANSACTIONS = Integer.getInteger("pearscale.gangSteps", 8);

  private static final String SMALL =
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

  /** Gangs among other work, in the troubles of any day. */
  @TestFactory
  Stream<DynamicTest> gangsOnRandomDays() {
    return SeededScenarios.expectNoFailures(
        SeededScenarios.seeds(FIRST, RUNS), seed -> with(RandomRunsTest.day(seed), gangs(seed)));
  }

  /** The same while all controllers are replaced, and the state service then lowers its limits. */
  @TestFactory
  Stream<DynamicTest> gangsAfterARolloutOnRandomDays() {
    return SeededScenarios.expectNoFailures(
        SeededScenarios.seeds(FIRST, RUNS),
        seed -> with(RandomRunsTest.day(seed), gangs(seed) + rollout(seed)));
  }

  private static String with(String day, String more) {
    return day.replaceFirst("nodes 3\n", "nodes 3\nannounce 10 automatic\n" + more);
  }

  private static String gangs(long seed) {
    RandomGenerator r = RandomGeneratorFactory.of("L64X128MixRandom").create(seed * 86028121);
    StringBuilder gangs = new StringBuilder();
    for (int i = 0; i < 3 + r.nextInt(4); i++) {
      String id = "wk-g" + i;
      double at = 12 + r.nextDouble() * 70;
      gangs
          .append("at %.2f submit %s gang tasks=%d".formatted(at, id, 1 + r.nextInt(6)))
          .append(" cpus=%d run=%d".formatted(1 + r.nextInt(3), 4 + r.nextInt(30)))
          .append(r.nextInt(2) == 0 ? " one-zone" : r.nextInt(4) == 0 ? " spread" : "")
          .append(r.nextInt(2) == 0 ? " checkpoint=5 save=%d".formatted(1 + r.nextInt(4)) : "")
          .append(r.nextInt(3) == 0 ? " spot" : "")
          .append(r.nextInt(4) == 0 ? " priority=high" : "")
          .append(" image=g%d\n".formatted(r.nextInt(3)));
      if (r.nextInt(4) == 0) {
        gangs.append("at %.2f cancel %s\nexpect %s present 0\n".formatted(at + 63, id, id));
      } else {
        gangs.append("expect %s stage done\n".formatted(id));
      }
    }
    return gangs.toString();
  }

  /** The builds are installed before the first restart and start at different times. */
  private static String rollout(long seed) {
    RandomGenerator r = RandomGeneratorFactory.of("L64X128MixRandom").create(seed * 49979687);
    StringBuilder steps = new StringBuilder("next-limits value=2048 txn=8 writes=21\n");
    double at = 6 + r.nextDouble() * 10;
    for (int i = 0; i < 3; i++) {
      steps.append("build hive-%d 0 1\nat %.2f build hive-%d 0 2\n".formatted(i, at, i));
      steps.append("at %.2f crash hive-%d\nat %.2f start hive-%d\n".formatted(at, i, at + 3, i));
      at += 4 + r.nextDouble() * 8;
    }
    return steps
        .append("at %.2f limits value=2048 txn=8 writes=21\n".formatted(at + 12))
        .toString();
  }

  /**
   * The leader meets each trouble at each transaction while one gang forms and another one runs.
   */
  @TestFactory
  Stream<DynamicTest> theLeaderMeetsATroubleAtEachStep() {
    return CommitFaultScenarios.testPerFault(
        TRANSACTIONS,
        (trouble, number) ->
            SMALL
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
                    .formatted(number, trouble));
  }

  /**
   * The leader meets each trouble at each transaction from the last restart of a rollout on, over
   * the rise of the level, the copies and the first gangs; then an old build comes back for a
   * while.
   */
  @TestFactory
  Stream<DynamicTest> theLeaderMeetsATroubleAtEachStepOfARollout() {
    return CommitFaultScenarios.testPerFault(
        TRANSACTIONS,
        (trouble, number) ->
            SMALL
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
                    .formatted(number, trouble));
  }

  /** The same with a second trouble on top: a machine of the gang can't be reached meanwhile. */
  @TestFactory
  Stream<DynamicTest> theLeaderMeetsATroubleWhileAMachineIsCutOff() {
    return CommitFaultScenarios.testPerFault(
        TRANSACTIONS,
        (trouble, number) ->
            SMALL
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
                    .formatted(number, trouble));
  }

  /** The checker finds a job of which two attempts run. */
  @Test
  void twoAttemptsAtOnceAreFound() {
    SimulatedCluster cluster = new SimulatedCluster(1);
    Scenario.submit(cluster, List.of("submit", "wk-1", "gang", "tasks=1"));
    SimGangRendezvous.Member member =
        new SimGangRendezvous.Member() {
          @Override
          public void started() {}

          @Override
          public void exited(String cause, boolean saved) {}

          @Override
          public boolean hangs() {
            return false;
          }
        };
    cluster.gangs.join(SimUser.task("wk-1/0"), 1, member);
    assertEquals(List.of(), cluster.violations);
    cluster.gangs.join(SimUser.task("wk-1/0"), 2, member);
    assertTrue(cluster.violations.stream().anyMatch(rule -> rule.startsWith("gang_twice")));
  }
}
