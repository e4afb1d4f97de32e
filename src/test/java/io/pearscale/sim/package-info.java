/**
 * Stand-ins for all that controllers talk to, on a simulated clock, and the runs played against
 * them.
 */
package io.pearscale.sim;
