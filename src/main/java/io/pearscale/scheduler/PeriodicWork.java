package io.pearscale.scheduler;

import io.pearscale.scheduler.model.Machine;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;

/**
 * The work that a leader does at fixed intervals, such as machine checks, drains, autoscaling and
 * publishing task counts.
 */
final class PeriodicWork {
  /** Interval between two runs. */
  static final Duration INTERVAL = Duration.ofMillis(250);

  private static final Duration TASK_COUNTS_INTERVAL = Duration.ofSeconds(1);

  /**
   * Number of machines per slice. A large fleet is divided into at most {@link #MAX_SLICES} slices,
   * and each run checks one slice.
   */
  private static final int MACHINES_PER_SLICE = 100;

  private static final int MAX_SLICES = 4;

  private final LeaderComponents components;
  private final InstantSource clock;
  private Instant nextTaskCountsAt = Instant.MIN;
  private int runCount;

  PeriodicWork(LeaderComponents components, InstantSource clock) {
    this.components = components;
    this.clock = clock;
  }

  /**
   * Runs the work that is due; must only be called while this controller leads and has completed
   * its recovery.
   */
  void run() {
    Instant now = clock.instant();
    checkMachines(now);
    components.gracefulTermination.endBrokenGangs();
    components.recovery.updateCompletion();
    components.drainCoordinator.ifPresent(drains -> drains.runRoundIfDue(now));
    components.schedulingPass.request();
    components.dispatcher.sendAllDueCommands();
    components.machineProvisioner.scaleIfDue(now);
    publishTaskCountsIfDue(now);
    components.statistics.logIfDue(
        now, candidate -> components.failureDetector.isSchedulable(candidate, now));
    components.recordWriter.scheduleCommitIfDue();
  }

  private void publishTaskCountsIfDue(Instant now) {
    if (now.isAfter(nextTaskCountsAt)) {
      nextTaskCountsAt = now.plus(TASK_COUNTS_INTERVAL);
      components.records.collectObsoleteValues();
      components.taskCountPublisher.publishChanges();
    }
  }

  /**
   * Checks each machine at least once a second, and each machine that is not reconciled in every
   * run.
   */
  private void checkMachines(Instant now) {
    components.failureDetector.beginRound();
    int slices = Math.min(MAX_SLICES, 1 + components.inventory.size() / MACHINES_PER_SLICE);
    int position = ++runCount;
    for (Machine machine : List.copyOf(components.inventory.all())) {
      if (++position % slices == 0 || !machine.reconciled()) {
        components.failureDetector.check(machine, now);
      }
    }
  }
}
