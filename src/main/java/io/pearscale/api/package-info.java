/**
 * The API for users: submission, status and cancellation of jobs, and the publication of task
 * counts. HTTP handling belongs to {@code transport} and the routing of requests to {@code
 * scheduler}.
 */
package io.pearscale.api;
