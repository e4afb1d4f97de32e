package io.pearscale.scheduler;

import io.pearscale.scheduler.model.Machine;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;

/**
 * What a leader does at fixed intervals: looks after machines, drains, the fleet's size, counts.
 */
final class PeriodicWork {
  /** Between two runs. */
  static final Duration INTERVAL = Duration.ofMillis(250);

  private static final Duration TASK_COUNTS_INTERVAL = Duration.ofSeconds(1);

  /** A large fleet is checked in slices of so many machines, in {@link #MAX_SLICES} at most. */
  private static final int MACHINES_PER_SLICE = 100;

  private static final int MAX_SLICES = 4;

  private final LeaderComponents components;
  private final InstantSource clock;
  private Instant nextTaskCountsAt = Instant.MIN;
  private int runs;

  PeriodicWork(LeaderComponents components, InstantSource clock) {
    this.components = components;
    this.clock = clock;
  }

  /** Does what is due. Only while this controller leads and has taken over. */
  void run() {
    Instant now = clock.instant();
    checkMachines(now);
    components.gracefulTermination.endBrokenGangs();
    components.recovery.noteProgress();
    components.drainCoordinator.ifPresent(drains -> drains.runRoundIfDue(now));
    components.placementPass.request();
    components.dispatcher.sendAllDueCommands();
    components.machineProvisioner.scaleIfDue(now);
    publishTaskCountsIfDue(now);
    components.statistics.logIfDue(
        now, machine -> components.failureDetector.isSchedulable(machine, now));
    components.recordWriter.scheduleCommitIfDue();
  }

  private void publishTaskCountsIfDue(Instant now) {
    if (now.isAfter(nextTaskCountsAt)) {
      nextTaskCountsAt = now.plus(TASK_COUNTS_INTERVAL);
      components.records.collectObsoleteValues();
      components.taskCountPublisher.publishChanges();
    }
  }

  /** Checks each machine once a second at the latest, and those not yet reconciled each time. */
  private void checkMachines(Instant now) {
    components.failureDetector.beginRound();
    int slices = Math.min(MAX_SLICES, 1 + components.inventory.size() / MACHINES_PER_SLICE);
    int position = ++runs;
    for (Machine machine : List.copyOf(components.inventory.all())) {
      if (++position % slices == 0 || !machine.reconciled()) {
        components.failureDetector.check(machine, now);
      }
    }
  }
}
