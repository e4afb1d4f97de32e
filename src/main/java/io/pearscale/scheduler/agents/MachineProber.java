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
 * Probes machines: asks an agent for its state, which shows it this term's fencing token. After a
 * failover all recorded machines that have not sent a heartbeat by themselves are probed, a bounded
 * number at a time.
 */
public final class MachineProber {
  /** Probes that may be in flight at the same time: each takes a socket. */
  private static final int MAX_CONCURRENT_PROBES = 40;

  /** Processor time that one probe takes with its connection and answer, measured roughly. */
  private static final Duration PROBE_CPU_TIME = Duration.ofNanos(800_000);

  private final MachineInventory inventory;
  private final InstantSource clock;
  private final Settings settings;
  private final AgentTimings timings;
  private final TermExecutor executor;
  private final Consumer<Machine> send;

  /** Machines of the inventory that were not probed since the failover. */
  private final ArrayDeque<Machine> unprobed = new ArrayDeque<>();

  private int probesInFlight;

  /** Until then, machines are left to send heartbeats by themselves. */
  private Instant probesAllowedFrom = Instant.MIN;

  /**
   * Makes a prober with nothing to probe.
   *
   * @param send sends a probe to a machine
   */
  MachineProber(
      MachineInventory inventory,
      InstantSource clock,
      Settings settings,
      AgentTimings timings,
      TermExecutor executor,
      Consumer<Machine> send) {
    this.inventory = inventory;
    this.clock = clock;
    this.settings = settings;
    this.timings = timings;
    this.executor = executor;
    this.send = send;
  }

  /** A term has begun: no probe is in flight in it. */
  void begin() {
    probesInFlight = 0;
  }

  /** The term is over. */
  void end() {
    unprobed.clear();
  }

  /**
   * Begins to probe all recorded machines.
   *
   * <p>After a failover all machines send heartbeats by themselves, and again at once when the
   * response shows them the new token. Probing each is sooner only where the processor can open so
   * many connections in less time than a heartbeat interval; elsewhere it delays the responses to
   * those heartbeats, and leases run out.
   */
  void probeRecordedMachines() {
    unprobed.clear();
    unprobed.addAll(inventory.all());
    Duration probing = PROBE_CPU_TIME.multipliedBy(inventory.size());
    boolean soonerThanHeartbeats =
        MessageFields.seconds(probing) / settings.cpuShare()
            < MessageFields.seconds(settings.agents().heartbeatInterval());
    probesAllowedFrom =
        soonerThanHeartbeats
            ? clock.instant()
            : clock.instant().plus(timings.heartbeatOverdueAfter());
    sendMoreProbes();
    if (!soonerThanHeartbeats) {
      executor.executeAfter(timings.heartbeatOverdueAfter(), this::sendMoreProbes);
    }
  }

  /** Probes recorded machines that have not been reconciled, as many as may be in flight. */
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
      send.accept(machine);
    }
  }

  /** A probe was answered, or was given up. */
  void probeEnded() {
    probesInFlight--;
  }

  /** Goes on with machines that wait to be probed; to be called when a call has ended. */
  void continueProbing() {
    if (!unprobed.isEmpty()) {
      sendMoreProbes();
    }
  }

  /** Whether another probe may be sent beside those in flight. */
  boolean mayProbe() {
    return probesInFlight < MAX_CONCURRENT_PROBES;
  }

  /** Whether all machines that were recorded at the failover were probed. */
  boolean hasProbedAllRecorded() {
    return unprobed.isEmpty();
  }
}
