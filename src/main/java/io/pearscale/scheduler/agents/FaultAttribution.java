package io.pearscale.scheduler.agents;

import io.pearscale.scheduler.model.Job;
import io.pearscale.scheduler.model.LeaderState;
import io.pearscale.scheduler.model.Leadership;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.MachineInventory;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Distinguishes faulty machines from jobs that fail on every machine, by counting failures per
 * machine and per job.
 */
final class FaultAttribution {
  private static final Logger LOG = LoggerFactory.getLogger(FaultAttribution.class);

  /** Base of the backoff, doubled for each failure: the first takes 10 s. */
  private static final long BASE_BACKOFF_S = 5;

  private static final long MAX_BACKOFF_S = 60;
  private static final int MAX_BACKOFF_DOUBLINGS = 4;

  private final Leadership leadership;
  private final MachineInventory inventory;
  private final InstantSource clock;

  FaultAttribution(LeaderState state) {
    this.leadership = state.leadership();
    this.inventory = state.inventory();
    this.clock = state.clock();
  }

  /**
   * Records that a task of the job failed on the machine. Failures of several jobs on one machine
   * indicate a faulty machine; failures of one job on several machines indicate a faulty job. Both
   * are counted, and until the cause is known, the scheduler temporarily avoids the machine. Once a
   * job is known to fail everywhere, the healthy machines that it failed on are available again,
   * and the job is retried with increasing backoff.
   */
  void recordFailure(Machine machine, Job job) {
    Instant now = clock.instant();
    job.failures().recordFailure(machine.name());
    machine.failures().recordFailure(job.failures());
    if (job.failures().failsEverywhere()) {
      job.failures().backOff(now);
      for (String name : job.failures().machinesFailedOn()) {
        Machine other = inventory.get(name);
        if (other != null && other.failures().count() == 0) {
          other.failures().avoidUntil(Instant.MIN);
        }
      }
    } else {
      machine.failures().avoidUntil(now.plus(backoffAfter(machine.failures().count())));
    }
    quarantineIfFaulty(machine);
  }

  /** Returns the backoff for a machine with this many failures; each failure doubles it. */
  private static Duration backoffAfter(int failures) {
    long seconds = BASE_BACKOFF_S << Math.min(MAX_BACKOFF_DOUBLINGS, failures);
    return Duration.ofSeconds(Math.min(MAX_BACKOFF_S, seconds));
  }

  /**
   * Records that a task of the job completed on the machine. From the first success of a job on,
   * its failures count against the machines that they occurred on, which may then be quarantined.
   */
  void recordSuccess(Machine machine, Job job) {
    if (job.failures().recordSuccess()) {
      for (String name : job.failures().machinesFailedOn()) {
        Optional.ofNullable(inventory.get(name)).ifPresent(this::quarantineIfFaulty);
      }
    }
    machine.failures().recordSuccess();
  }

  private void quarantineIfFaulty(Machine machine) {
    if (!machine.failures().isQuarantined() && machine.failures().indicateFaultyMachine()) {
      machine.failures().quarantine();
      LOG.warn(
          "event=machine_quarantined term={} machine={} failures={}",
          leadership.term(),
          machine.name(),
          machine.failures().count());
    }
  }
}
