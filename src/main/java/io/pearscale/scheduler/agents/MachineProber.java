package io.pearscale.scheduler.agents;

import io.pearscale.protocol.MessageFields;
import io.pearscale.protocol.Settings;
import io.pearscale.scheduler.model.AgentTimings;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.MachineInventory;
import io.pearscale.scheduler.model.TermExecutor;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.function.Consumer;

/**
 * Probes machines. A probe requests the agent's state and carries this term's fencing token. After
 * a failover it probes all recorded machines that have not sent a heartbeat, with a bounded number
 * of concurrent probes.
 */
public final class MachineProber {
  /** Maximum number of probes in flight; each uses a socket. */
  private static final int MAX_CONCURRENT_PROBES = 40;

  /** Approximate measured CPU time of one probe, including its connection and reply. */
  private static final Duration PROBE_CPU_TIME = Duration.ofNanos(800_000);

  private final MachineInventory inventory;
  private final InstantSource clock;
  private final Settings settings;
  private final AgentTimings timings;
  private final TermExecutor executor;
  private final Consumer<Machine> sendProbe;

  /** Machines that still have to be probed after the failover. */
  private final ArrayDeque<Machine> unprobed = new ArrayDeque<>();

  private int probesInFlight;

  /** No recorded machine is probed before this time, so that it can send a heartbeat first. */
  private Instant probesAllowedFrom = Instant.MIN;

  /**
   * Creates a prober with no machines to probe.
   *
   * @param sendProbe sends a probe to a machine
   */
  MachineProber(
      MachineInventory inventory,
      InstantSource clock,
      Settings settings,
      AgentTimings timings,
      TermExecutor executor,
      Consumer<Machine> sendProbe) {
    this.inventory = inventory;
    this.clock = clock;
    this.settings = settings;
    this.timings = timings;
    this.executor = executor;
    this.sendProbe = sendProbe;
  }

  /** Resets the number of probes in flight at the start of a term. */
  void beginTerm() {
    probesInFlight = 0;
  }

  /** Discards the machines that still have to be probed, at the end of a term. */
  void endTerm() {
    unprobed.clear();
  }

  /**
   * Starts to probe all recorded machines.
   *
   * <p>After a failover, each machine also sends its periodic heartbeat, and sends another one
   * immediately after a response with the new fencing token. Probing is faster than waiting for
   * these heartbeats only if the CPU can open a connection to every machine within a heartbeat
   * interval. Otherwise probing would delay the heartbeat responses, and leases would expire.
   */
  void probeRecordedMachines() {
    unprobed.clear();
    unprobed.addAll(inventory.all());
    Duration totalProbeTime = PROBE_CPU_TIME.multipliedBy(inventory.size());
    boolean fasterThanHeartbeats =
        MessageFields.seconds(totalProbeTime) / settings.cpuShare()
            < MessageFields.seconds(settings.agents().heartbeatInterval());
    probesAllowedFrom =
        fasterThanHeartbeats
            ? clock.instant()
            : clock.instant().plus(timings.heartbeatOverdueAfter());
    sendMoreProbes();
    if (!fasterThanHeartbeats) {
      executor.executeAfter(timings.heartbeatOverdueAfter(), this::sendMoreProbes);
    }
  }

  /** Probes recorded machines that are not reconciled, up to the limit of concurrent probes. */
  private void sendMoreProbes() {
    if (clock.instant().isBefore(probesAllowedFrom)) {
      return;
    }
    while (mayProbe() && !unprobed.isEmpty()) {
      Machine machine = unprobed.poll();
      if (!machine.reconciled() && inventory.contains(machine)) {
        probe(machine);
      }
    }
  }

  /** Probes a machine, unless its address is unknown or a command to it is in flight. */
  void probe(Machine machine) {
    if (!machine.reachability().commandInFlight() && !machine.address().isEmpty()) {
      probesInFlight++;
      sendProbe.accept(machine);
    }
  }

  /** Records that a probe was answered or has failed. */
  void probeEnded() {
    probesInFlight--;
  }

  /** Probes more of the remaining machines; must be called after each direct call has ended. */
  void continueProbing() {
    if (!unprobed.isEmpty()) {
      sendMoreProbes();
    }
  }

  /** Returns whether the limit of concurrent probes allows another one. */
  boolean mayProbe() {
    return probesInFlight < MAX_CONCURRENT_PROBES;
  }

  /** Returns whether all machines that were recorded at the failover have been handled. */
  boolean hasProbedAllRecorded() {
    return unprobed.isEmpty();
  }
}
