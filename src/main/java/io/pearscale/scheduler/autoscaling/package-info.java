/**
 * Autoscaling of the machine fleet: estimates demand and headroom, plans which machines to
 * provision and release, and calls the cloud's API. Placement of tasks on machines is not part of
 * this package.
 */
package io.pearscale.scheduler.autoscaling;
