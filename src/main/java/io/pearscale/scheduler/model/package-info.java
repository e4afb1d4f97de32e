/**
 * The leader's model of the cluster: machines, jobs, task attempts, quota, leases and leadership.
 */
package io.pearscale.scheduler.model;
