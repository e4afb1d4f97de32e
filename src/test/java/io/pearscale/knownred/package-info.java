/**
 * The list of tests that fail because of a known fault: the extension that ignores their failures,
 * and the check that the list is up to date. The listed tests themselves are in other packages.
 */
package io.pearscale.knownred;
