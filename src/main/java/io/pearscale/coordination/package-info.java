/**
 * Who leads, and how heartbeats of agents reach the leader and its responses come back. {@link
 * io.pearscale.coordination.ElectionStateMachine} decides, {@link
 * io.pearscale.coordination.ElectionActor} does the I/O.
 */
package io.pearscale.coordination;
