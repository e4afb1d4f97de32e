/**
 * The durable records of a leader: which records a leader writes, how they are packed into values
 * of the key-value store and written in compare-and-swap transactions, and how they are recovered
 * by a successor and migrated between schema levels. The encoding of the values and the client of
 * the store are in {@link io.pearscale.storage}; decisions on placements and machines are not made
 * here.
 */
package io.pearscale.scheduler.records;
