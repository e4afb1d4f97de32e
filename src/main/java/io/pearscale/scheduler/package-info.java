/**
 * One controller and its leader: {@link io.pearscale.scheduler.Controller} makes the actors and
 * takes requests and records of peers, {@link io.pearscale.scheduler.SchedulerActor} receives what
 * concerns jobs and machines, and {@link io.pearscale.scheduler.LeaderComponents} makes the
 * components that decide. Everything that only decides is a class of its own without I/O.
 */
package io.pearscale.scheduler;
