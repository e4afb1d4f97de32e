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

/** Tells faulty machines from jobs that fail everywhere, by counting failures on both sides. */
final class FaultAttribution {
  private static final Logger LOG = LoggerFactory.getLogger(FaultAttribution.class);

  private static final long INITIAL_BACKOFF_S = 5;
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
   * A task of the job failed on the machine. Failures of several jobs on one machine point at the
   * machine; failures of one job on several machines point at the job. Both are counted, and until
   * it is clear the machine is avoided for a while. A job that was submitted with a mistake fails
   * on healthy machines: once that is known, they are not blamed for it, while the job is tried
   * ever more rarely.
   */
  void noteFailure(Machine machine, Job job) {
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

  /** The pause that a machine gets after so many failures: it doubles with each of them. */
  private static Duration backoffAfter(int failures) {
    long seconds = INITIAL_BACKOFF_S << Math.min(MAX_BACKOFF_DOUBLINGS, failures);
    return Duration.ofSeconds(Math.min(MAX_BACKOFF_S, seconds));
  }

  /** A task of the job completed on the machine: where others failed, the machine was at fault. */
  void noteSuccess(Machine machine, Job job) {
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
