/** Tests that fail for a known fault which is not repaired yet. */
package io.pearscale.knownred;
