/**
 * Every message as an immutable type, on the wire and between controllers. The names that go over
 * the wire stand in this package alone.
 */
package io.pearscale.protocol;
