package io.pearscale.scheduler.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.pearscale.protocol.MachineType;
import io.pearscale.protocol.Priority;
import io.pearscale.scheduler.autoscaling.ReplicaCapacityTest;
import io.pearscale.scheduler.model.Job;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.Machine.Lifecycle;
import io.pearscale.storage.Maintenance;
import io.pearscale.storage.Maintenance.Stage;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A machine that returns from maintenance gets no urgent tasks until its probation ends. */
class ProbationTest {
  private static final Instant NOW = Instant.EPOCH.plusSeconds(100);

  private static Job job(Priority priority) {
    return new Job(ReplicaCapacityTest.replica(1, priority), 1, NOW, false);
  }

  @Test
  void rejectsUrgentTasksDuringProbation() {
    MachineType type =
        new MachineType("s", 8, 0, 64, 100, 1, 1, 1, Duration.ofSeconds(5), List.of("a"));
    Machine machine = new Machine("m-1", "a", false, type, Lifecycle.UP, NOW);
    for (Priority priority : Priority.values()) {
      machine.changeMaintenance(new Maintenance(Stage.PROBATION, "d1"));
      boolean urgent = priority.compareTo(Priority.NORMAL) > 0;
      assertEquals(
          !urgent, PlacementConstraints.allowsAnotherTask(job(priority), machine), "" + priority);
      machine.changeMaintenance(Maintenance.IN_SERVICE);
      assertEquals(
          true, PlacementConstraints.allowsAnotherTask(job(priority), machine), "" + priority);
    }
  }
}
