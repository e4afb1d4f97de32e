/**
 * Access to the key-value store, which is replicated by consensus: a client that respects the
 * store's rate limits, the keys, codecs of stored values, and the replica of the watched keys that
 * each controller holds. The packages that use the store decide what is written and when.
 */
package io.pearscale.storage;
