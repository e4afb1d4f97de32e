/**
 * The leader's in-memory model of the cluster: jobs, machines, task attempts, quota usage, leases,
 * fencing tokens and leadership.
 *
 * <p>The classes hold state, enforce its invariants and log the evidence behind decisions. This
 * package neither makes scheduling decisions nor communicates with agents, the cloud provider or
 * the key-value store. Other packages of the scheduler do that, and read and change this model.
 */
package io.pearscale.scheduler.model;
