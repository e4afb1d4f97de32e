/**
 * Drains: machines are emptied for maintenance without taking more of a team's running tasks at
 * once than its budget of disruptions allows. What decides here is pure; the scheduler feeds it and
 * carries its plans out.
 */
package io.pearscale.drain;
