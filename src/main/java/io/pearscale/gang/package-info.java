/**
 * What becomes of gang jobs, whose tasks run all at the same time or not at all: pure decisions,
 * from what is known of an attempt's members, on when it may start, be completed and must end.
 */
package io.pearscale.gang;
