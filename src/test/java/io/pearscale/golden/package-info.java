/**
 * The comparison with golden files, which hold output that must not change, and the tests of the
 * encoding of messages and stored values. Tests of settings and commands are in {@code
 * io.pearscale.cli}.
 */
package io.pearscale.golden;
