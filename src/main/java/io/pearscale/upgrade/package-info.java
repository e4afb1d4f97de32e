/**
 * Schema levels of the stored state, and the checks that decide whether a build may participate in
 * the cluster. During a rolling upgrade, builds of several releases run at the same time: each must
 * be able to read what the others write, or must not participate. This package contains no I/O; the
 * migration of records is in {@code io.pearscale.scheduler.records}.
 */
package io.pearscale.upgrade;
