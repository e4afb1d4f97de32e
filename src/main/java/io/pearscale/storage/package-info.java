/**
 * The key-value store, which is backed by consensus: its client within the rate limits, the keys,
 * the codecs of their values, and the replica of them that each controller holds.
 */
package io.pearscale.storage;
