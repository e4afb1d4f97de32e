/**
 * Network I/O, timers and actors: the HTTP server and client, the connections between controllers,
 * and the event loop that runs all of them on one thread. The meaning of messages is defined in
 * {@code protocol} and the components that handle them.
 */
package io.pearscale.transport;
