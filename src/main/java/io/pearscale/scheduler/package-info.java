/**
 * The controller and the assembly of its leader components. {@link
 * io.pearscale.scheduler.Controller} creates the actors and receives requests and messages of
 * peers, {@link io.pearscale.scheduler.SchedulerActor} receives all messages about jobs and
 * machines, and {@link io.pearscale.scheduler.LeaderComponents} creates the components of a leader.
 * The components themselves, for example for placement, autoscaling and maintenance, are in the
 * subpackages; logic that only makes decisions is in separate classes without I/O.
 */
package io.pearscale.scheduler;
