package io.pearscale.scheduler.autoscaling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pearscale.protocol.JobSpec;
import io.pearscale.protocol.MachineType;
import io.pearscale.protocol.Priority;
import io.pearscale.protocol.TaskId;
import io.pearscale.protocol.WorkloadType;
import io.pearscale.scheduler.model.Job;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.Machine.Lifecycle;
import io.pearscale.scheduler.model.ModelFixtures;
import io.pearscale.scheduler.model.TaskAttempt;
import io.pearscale.scheduler.model.TaskAttempt.Stage;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests the reservation of capacity for replicas, also in a full fleet where every check fails. */
public class ReplicaCapacityTest {
  private static final Instant NOW = Instant.EPOCH.plusSeconds(5000);
  private static final MachineType BIG =
      new MachineType("big", 8, 0, 64, 100, 1, 1, 0.4, Duration.ofSeconds(20), List.of("a"));

  /** Returns the spec of a service whose replicas take the given number of CPUs. */
  public static JobSpec replica(int cpus, Priority priority) {
    return new JobSpec(
        "wk-1",
        "web",
        "t",
        WorkloadType.SERVICE,
        priority,
        100_000,
        cpus,
        0,
        1,
        "img",
        1,
        Optional.empty(),
        Optional.empty(),
        false,
        false,
        false,
        Duration.ofSeconds(5),
        Duration.ZERO,
        Duration.ZERO,
        Optional.empty());
  }

  /**
   * Creates machines that each run one replica with the given number of CPUs and hold its image.
   */
  private static List<Machine> fleet(int size, int cpus) {
    Job job = new Job(replica(cpus, Priority.CRITICAL), 0, NOW, false);
    List<Machine> machines = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      Machine machine = new Machine("m-" + i, "a", false, BIG, Lifecycle.UP, NOW);
      machine.recordImageUse("img", 1);
      TaskAttempt attempt =
          new TaskAttempt(
              job,
              new TaskId("wk-1", i),
              i,
              machine,
              Stage.RUNNING,
              NOW.minus(Duration.ofHours(1)));
      ModelFixtures.place(attempt);
      machines.add(machine);
    }
    return machines;
  }

  /** Counts the checks of one plan that tries to empty a share of the fleet. */
  private static int checks(int size) {
    List<Machine> machines = fleet(size, 8);
    ReplicaCapacity capacity = new ReplicaCapacity(machines);
    int before = capacity.checksLeft();
    for (int i = 0; i < size / 13; i++) {
      capacity.reserveForReplicasOf(machines.get(i), NOW);
    }
    return before - capacity.checksLeft();
  }

  @Test
  void checksGrowLinearlyWithFleetSize() {
    for (int size : new int[] {1000, 2000, 4000, 6000}) {
      int checks = checks(size);
      assertTrue(checks <= 40 * size, size + " machines: " + checks);
    }
  }

  @Test
  void reservedCapacityIsNotReservedTwice() {
    List<Machine> machines = fleet(3, 4);
    ReplicaCapacity capacity = new ReplicaCapacity(machines);
    capacity.remove(machines.get(0));
    capacity.remove(machines.get(1));
    assertEquals(
        List.of(true, false),
        List.of(
            capacity.reserveForReplicasOf(machines.get(0), NOW),
            capacity.reserveForReplicasOf(machines.get(1), NOW)));
  }
}
