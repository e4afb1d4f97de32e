package io.pearscale.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

/**
 * Raises the schema level and rolls it back, with a fault injected at each of the leader's
 * following transactions. Independently of what was durable at that time, the migration must
 * complete, no record may have a format that the level does not allow, and all jobs must reach
 * their expected state.
 */
class UpgradeStepsTest {
  private static final int TRANSACTIONS = Integer.getInteger("pearscale.upgradeSteps", 12);
  private static final String LEVEL_CHANGE_SCENARIO =
      """
      nodes 3
      value-bytes 1024
      zones a b
      type small cpus=8 mem=64 boot=5
      machines small a ordinary 16
      machines small b ordinary 16
      team t
      at 2 submit wk-1 service tasks=10 cpus=4 spread
      at 3 submit wk-2 batch tasks=40 cpus=1 run=25
      at 20 level 1
      %s
      at 60 check level 1
      at 61 submit wk-3 batch tasks=8 cpus=1 run=20
      at 70 roll-back-level
      %s
      at 110 check level 0
      at 111 submit wk-4 batch tasks=4 cpus=1 run=5
      until 170
      expect level 0
      expect wk-1 present 10
      expect wk-2 stage done
      expect wk-3 stage done
      expect wk-4 stage done
      """;

  /**
   * All records are copied to the layout of level 2 while tasks start and end, and back to that of
   * level 1.
   */
  private static final String LAYOUT_COPY_SCENARIO =
      """
      nodes 3
      value-bytes 1024
      zones a b
      type small cpus=8 mem=64 boot=5
      machines small a ordinary 40
      machines small b ordinary 40
      team t
      team u cpus_max=60
      at 2 submit wk-1 service tasks=60 cpus=2 spread
      at 3 submit wk-2 batch tasks=120 cpus=1 run=40
      at 4 submit wk-3 service tasks=30 cpus=1 team=u
      at 5 submit wk-4 batch tasks=40 cpus=2 run=70
      at 20 level 2
      %s
      at 20.5 submit wk-5 batch tasks=30 cpus=1 run=20
      at 22 cancel wk-3
      at 65 check level 2
      at 70 roll-back-level
      %s
      at 70.5 submit wk-6 batch tasks=30 cpus=1 run=20
      at 115 check level 1
      until 170
      expect level 1
      expect wk-1 present 60
      expect starts wk-1 <= 60
      expect wk-2 stage done
      expect wk-3 present 0
      expect wk-4 stage done
      expect wk-5 stage done
      expect wk-6 stage done
      """;

  /** A migration writes each machine record once, and the leader's term key with each batch. */
  @Test
  void migrationWritesEachValueOnce() {
    String text =
        """
        nodes 3
        value-bytes 1024
        zones a b
        type small cpus=8 mem=64 boot=5
        machines small a ordinary 150
        machines small b ordinary 150
        team t
        at 2 submit wk-1 service tasks=300 cpus=2
        at 2 submit wk-2 service tasks=300 cpus=2
        at 2 submit wk-3 service tasks=300 cpus=2
        at 2 submit wk-4 service tasks=300 cpus=2
        until 120
        """;
    Scenario scenario = Scenario.of(text, 1);
    SimulatedCluster cluster = scenario.cluster();
    long[] writes = new long[2];
    Duration[] completedAt = new Duration[1];
    cluster.at(SimulatedCluster.START.plusSeconds(40), () -> writes[0] = cluster.store.writes);
    cluster.at(
        SimulatedCluster.START.plusSeconds(40),
        () -> cluster.store.put("c/level", SimulatedCluster.map().put("level", 1)));
    awaitLevel(cluster, writes, completedAt);
    assertEquals(List.of(), scenario.run());
    int values = cluster.store.entriesWithPrefix("c/roster/").size();
    long added = writes[1] - writes[0];
    assertTrue(values >= 40, "values " + values);
    assertTrue(added <= values + 2L * (values / 3 + 2), added + " writes for " + values);
    assertTrue(completedAt[0].toSeconds() <= 40 + values / 3 + 5, "ended after " + completedAt[0]);
  }

  @TestFactory
  Stream<DynamicTest> leaderFaultAtEachTransactionOfLayoutCopy() {
    return CommitFaultScenarios.testPerFault(
        TRANSACTIONS,
        (fault, number) ->
            LAYOUT_COPY_SCENARIO.formatted(
                "at 20.001 at-commit %d %s".formatted(number, fault),
                "at 70.001 at-commit %d %s".formatted(number, fault)));
  }

  private static void awaitLevel(SimulatedCluster cluster, long[] writes, Duration[] completedAt) {
    cluster.at(
        SimulatedCluster.START.plusSeconds(41),
        new Runnable() {
          @Override
          public void run() {
            if (cluster.store.level().migrated()) {
              writes[1] = cluster.store.writes;
              completedAt[0] = cluster.elapsed();
            } else {
              cluster.after(Duration.ofMillis(100), this);
            }
          }
        });
  }

  @TestFactory
  Stream<DynamicTest> leaderFaultAtEachTransaction() {
    return CommitFaultScenarios.testPerFault(
        TRANSACTIONS,
        (fault, number) ->
            LEVEL_CHANGE_SCENARIO.formatted(
                "at 20.001 at-commit %d %s".formatted(number, fault),
                "at 70.001 at-commit %d %s".formatted(number, fault)));
  }
}
