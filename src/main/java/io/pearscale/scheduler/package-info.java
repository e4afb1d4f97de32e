/**
 * The scheduler: jobs, machines, placement, renting and users' calls, and the controller that wires
 * all actors. The leader decides here; everything that only decides is a class of its own without
 * I/O, and {@link io.pearscale.scheduler.SchedulerActor} acts on it.
 */
package io.pearscale.scheduler;
