package io.pearscale.scheduler.agents;

import io.pearscale.protocol.Heartbeat;
import io.pearscale.protocol.HeartbeatResponse;
import io.pearscale.protocol.MachineType;
import io.pearscale.scheduler.model.JobTable;
import io.pearscale.scheduler.model.LeaderState;
import io.pearscale.scheduler.model.Leadership;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.Machine.Lifecycle;
import io.pearscale.scheduler.model.MachineInventory;
import java.time.InstantSource;
import java.util.List;
import java.util.function.LongConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Responds to heartbeats. A response with status 200 renews the lease of the machine. A heartbeat
 * is therefore refused if this leader may not renew leases, if the machine was removed, or if the
 * leader has already processed a newer heartbeat.
 */
public final class HeartbeatHandler {
  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatHandler.class);

  private final Leadership leadership;
  private final JobTable jobs;
  private final MachineInventory inventory;
  private final InstantSource clock;
  private final HeartbeatProcessor processor;
  private final CommandDispatcher dispatcher;
  private final LongConsumer onHigherTerm;

  /**
   * Creates a handler.
   *
   * @param onHigherTerm called with a term higher than this leader's when an agent reports one
   */
  public HeartbeatHandler(
      LeaderState state,
      HeartbeatProcessor processor,
      CommandDispatcher dispatcher,
      LongConsumer onHigherTerm) {
    this.leadership = state.leadership();
    this.jobs = state.jobs();
    this.inventory = state.inventory();
    this.clock = state.clock();
    this.processor = processor;
    this.dispatcher = dispatcher;
    this.onHigherTerm = onHigherTerm;
  }

  /**
   * Processes a heartbeat and returns the response.
   *
   * @param relay the controller to which the agent sent the heartbeat
   */
  public HeartbeatResponse handle(Heartbeat heartbeat, String relay) {
    if (!leadership.isReady() || !leadership.mayRenewLeases()) {
      return HeartbeatResponse.UNAVAILABLE;
    }
    if (leadership.isFromLaterTerm(heartbeat.fencingToken())) {
      LOG.warn(
          "event=heartbeat_of_higher_term machine={} token={}",
          heartbeat.machine(),
          heartbeat.fencingToken());
      onHigherTerm.accept(Leadership.termOf(heartbeat.fencingToken()));
      return HeartbeatResponse.UNAVAILABLE;
    }
    Machine machine = findOrAddMachine(heartbeat);
    if (machine == null || !machine.lease().isNewer(heartbeat)) {
      LOG.debug("event=heartbeat_dropped machine={}", heartbeat.machine());
      return HeartbeatResponse.UNAVAILABLE;
    }
    boolean reachable = machine.fencing().acknowledgeResponse(heartbeat.fencingToken(), relay);
    processor.process(machine, heartbeat, reachable);
    machine.reachability().heartbeatAccepted();
    machine.lease().renew(clock.instant());
    CommandBatch batch = batchForResponse(machine, heartbeat);
    dispatcher.sendDueCommands(machine);
    machine.fencing().responseSent(batch.fencingToken(), relay);
    return new HeartbeatResponse(200, batch.fencingToken(), batch.commands());
  }

  /** Returns the commands for a response, which renews the machine's lease for all its tasks. */
  private CommandBatch batchForResponse(Machine machine, Heartbeat heartbeat) {
    if (heartbeat.fencingToken() > machine.fencing().current()) {
      // The agent discards a response with a lower token, so the lease is not renewed.
      return CommandBatch.withCurrentToken(machine, List.of());
    }
    return machine.reconciled()
        ? dispatcher.commandsForHeartbeatResponse(machine)
        : CommandBatch.withCurrentToken(
            machine, StopCommands.forUnreconciled(heartbeat, jobs::isLive));
  }

  private Machine findOrAddMachine(Heartbeat heartbeat) {
    Machine machine = inventory.get(heartbeat.machine());
    if (machine == null) {
      if (inventory.isDeleted(heartbeat.machine())) {
        return null;
      }
      MachineType type = inventory.catalogue().typeOf(heartbeat.machineType());
      machine =
          new Machine(
              heartbeat.machine(),
              heartbeat.zone(),
              heartbeat.spot(),
              type,
              Lifecycle.UP,
              clock.instant());
      inventory.addFromPreviousLeader(machine);
      LOG.info("event=machine_unexpected term={} machine={}", leadership.term(), machine.name());
    }
    return machine;
  }
}
