/**
 * Execution of drains by the leader: reads drain requests, stops tasks once their disruptions are
 * durably recorded, changes the maintenance state of machines, and publishes the status for
 * operators. Drain decisions are made in {@code io.pearscale.drain}.
 */
package io.pearscale.scheduler.maintenance;
