package io.pearscale.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * 1,500 machines and over ten thousand tasks, with one leader that crashes and another one that is
 * unresponsive for longer than a lease. The load is bounded in requests and writes, which are the
 * same in each run, and not in seconds.
 */
class SizeTest {
  private static final int MACHINES = 1500;
  private static final int DURATION_SECONDS = 80;
  private static final int SERVICES = 250;
  private static final int ARRAYS = 280;

  private static String scenarioText() {
    return new LargeFleetScenarioBuilder(List.of("a", "b"), MACHINES / 2)
        .addLine("at 30 crash leader")
        .addLine("at 34 start all")
        .addLine("at 42 freeze leader 20")
        .services(SERVICES, 2, 0.05)
        .arrays(ARRAYS, 2, 0.1)
        .buildUntil(DURATION_SECONDS);
  }

  @Test
  void loadStaysWithinLimits() {
    Scenario scenario = Scenario.of(scenarioText(), 1);
    List<String> failures = scenario.run();
    assertEquals(List.of(), failures.stream().limit(20).toList());
    SimulatedCluster cluster = scenario.cluster();
    int tasks = cluster.starts.values().stream().mapToInt(n -> n).sum();
    int jobs = SERVICES + ARRAYS;
    String counts =
        "tasks=%d writes=%d requests=%d records=%d commands=%d"
            .formatted(
                tasks,
                cluster.store.writes,
                cluster.store.requests,
                cluster.network.peerRecords,
                cluster.network.directCommands);
    assertTrue(tasks > 10_000, counts);
    // A submission takes one write and the end of a job two; jobs share placement and machine
    // records.
    assertTrue(cluster.store.writes < 3L * jobs + 10 * DURATION_SECONDS, counts);
    assertTrue(cluster.store.requests < 100 * DURATION_SECONDS, counts);
    // Two thirds of all heartbeats are relayed, with one peer record each way; agents send one
    // every 2 s and after each change.
    assertTrue(cluster.network.peerRecords < 1400L * DURATION_SECONDS, counts);
    // A direct command carries everything that a machine has to start or stop at that moment. Each
    // of the two takeovers queries every machine.
    assertTrue(cluster.network.directCommands < tasks / 2 + 2 * MACHINES, counts);
  }
}
