/**
 * Sockets, timers and actors: the HTTP server and client, links between controllers, and the loop
 * that runs all of them on one thread.
 */
package io.pearscale.transport;
