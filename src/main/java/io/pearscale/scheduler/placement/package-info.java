/**
 * The scheduling pass: it orders waiting jobs, finds feasible machines, scores them, selects tasks
 * to preempt, and places gangs. Sending the commands that start and stop tasks, and the
 * provisioning of machines, are in other packages.
 */
package io.pearscale.scheduler.placement;
