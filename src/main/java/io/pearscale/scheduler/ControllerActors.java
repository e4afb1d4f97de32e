package io.pearscale.scheduler;

import io.pearscale.api.ApiActor;
import io.pearscale.coordination.ElectionActor;
import io.pearscale.coordination.HeartbeatRelayActor;

/**
 * The actors of a controller that receive messages from outside the process.
 *
 * @param election takes part in elections
 * @param scheduler schedules tasks while this controller leads
 * @param relay forwards agents' heartbeats to the leader
 * @param api handles users' requests
 */
record ControllerActors(
    ElectionActor election, SchedulerActor scheduler, HeartbeatRelayActor relay, ApiActor api) {}
