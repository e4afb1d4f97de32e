/**
 * The messages of the system as immutable types: those of users, agents and the cloud, and those
 * between controllers, with their encoding and validation. Almost all field names on the wire are
 * defined here. Settings are represented here but read from files elsewhere; sending and receiving
 * messages belongs to {@code transport}.
 */
package io.pearscale.protocol;
