/** The users' interface: submissions, queries, cancellations and task counts. */
package io.pearscale.api;
