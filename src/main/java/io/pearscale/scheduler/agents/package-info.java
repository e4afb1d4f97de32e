/**
 * The leader's communication with agents: handling heartbeats, sending commands, detecting failed
 * machines, attributing task failures, and retiring machines. Placement decisions, the state that
 * these classes update, and the HTTP transport are in other packages.
 */
package io.pearscale.scheduler.agents;
