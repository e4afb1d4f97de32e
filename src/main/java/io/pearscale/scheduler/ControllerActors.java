package io.pearscale.scheduler;

import io.pearscale.api.ApiActor;
import io.pearscale.coordination.ElectionActor;
import io.pearscale.coordination.HeartbeatRelayActor;

/**
 * The actors of a controller that messages from outside go to.
 *
 * @param election takes part in elections
 * @param scheduler leads, while this controller does
 * @param relay takes heartbeats of agents to the leader
 * @param api answers users
 */
record ControllerActors(
    ElectionActor election, SchedulerActor scheduler, HeartbeatRelayActor relay, ApiActor api) {}
