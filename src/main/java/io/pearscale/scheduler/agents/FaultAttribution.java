package io.pearscale.scheduler.agents;

import io.pearscale.scheduler.model.Job;
import io.pearscale.scheduler.model.LeaderState;
import io.pearscale.scheduler.model.Leadership;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.MachineInventory;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Tells faulty machines from mistaken jobs, by counting on both sides what failed. */
public final class FaultAttribution {
  private static final Logger LOG = LoggerFactory.getLogger(FaultAttribution.class);

  private final Leadership leadership;
  private final MachineInventory inventory;
  private final InstantSource clock;

  /** Creates the attribution over the jobs and machines of the given leader. */
  public FaultAttribution(LeaderState state) {
    this.leadership = state.leadership();
    this.inventory = state.inventory();
    this.clock = state.clock();
  }

  /**
   * Errors of several jobs on one machine point at the machine; errors of one job on several
   * machines point at the job. Both are counted, and until it is clear both are given a rest. A job
   * that was submitted with a mistake fails on healthy machines: once it is known, they are not
   * blamed for it, while the job is tried ever more rarely.
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
      machine
          .failures()
          .avoidUntil(now.plusSeconds(Math.min(60, 5L << Math.min(4, machine.failures().count()))));
    }
    quarantineIfFaulty(machine);
  }

  /** A task of the job was done. Where others failed before, the machine was at fault. */
  void noteSuccess(Machine machine, Job job) {
    if (job.failures().recordSuccess()) {
      for (String name : job.failures().machinesFailedOn()) {
        Optional.ofNullable(inventory.get(name)).ifPresent(this::quarantineIfFaulty);
      }
    }
    machine.failures().recordSuccess();
  }

  private void quarantineIfFaulty(Machine machine) {
    if (!machine.failures().isQuarantined() && machine.failures().pointToMachine()) {
      machine.failures().quarantine();
      LOG.warn(
          "event=machine_faulty term={} machine={} strikes={}",
          leadership.term(),
          machine.name(),
          machine.failures().count());
    }
  }
}
