/** Drains, disruption budgets' records and the status that operators are shown. */
package io.pearscale.scheduler.maintenance;
