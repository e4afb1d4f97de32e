/**
 * Drain planning: empties machines for maintenance without disrupting more of a team's running
 * tasks at once than the disruption budgets allow. This package contains the decisions and the
 * stored records, without I/O. {@code io.pearscale.scheduler.maintenance} supplies the current
 * state, and executes the plans.
 */
package io.pearscale.drain;
