/** The scheduling pass: queue order, bin packing, scoring, preemption, gangs. */
package io.pearscale.scheduler.placement;
