/**
 * Leader election and heartbeat relay. {@link io.pearscale.coordination.ElectionStateMachine}
 * decides whether this controller leads, without I/O, and {@link
 * io.pearscale.coordination.ElectionActor} carries out its I/O. {@link
 * io.pearscale.coordination.HeartbeatRelayActor} forwards agents' heartbeats to the leader and
 * returns the responses. {@link io.pearscale.coordination.SupportAnnouncer} maintains the stored
 * record of the schema levels that this controller supports. The package does not contain the work
 * of a leader, such as scheduling and commands to agents, or the transport between controllers.
 */
package io.pearscale.coordination;
