/**
 * The state service: its client within the rate limits, the keys and the form of their values, and
 * the copy of them that each controller holds.
 */
package io.pearscale.storage;
