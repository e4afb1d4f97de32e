/**
 * What a leader stores for its successor, the compare-and-swap that writes it, recovery and
 * migration.
 */
package io.pearscale.scheduler.records;
