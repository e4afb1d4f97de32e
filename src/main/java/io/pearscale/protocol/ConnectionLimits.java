package io.pearscale.protocol;

/**
 * The division of the configured number of sockets of a controller. All limits on open connections
 * and waiting requests are derived from this number, so a larger fleet needs a larger setting but
 * no other build.
 *
 * @param inbound the maximum number of connections accepted from agents and users
 * @param maxKeptAlive how many inbound connections may stay open between two heartbeats; above this
 *     limit each heartbeat response closes its connection
 * @param outbound the maximum number of connections opened to machines, the key-value store and the
 *     cloud
 * @param reservedOutbound how many outbound connections are not available to machines
 * @param maxWaitingHeartbeats the maximum number of heartbeats that wait for an election at the
 *     same time
 * @param maxOpenUserRequests the maximum number of user requests that wait for the key-value store
 *     at the same time
 */
public record ConnectionLimits(
    int inbound,
    int maxKeptAlive,
    int outbound,
    int reservedOutbound,
    int maxWaitingHeartbeats,
    int maxOpenUserRequests) {
  private static final int MIN_RESERVED_OUTBOUND = 2;

  /**
   * Divides the given number of sockets. The remaining 10% serve peer links, lease renewals and the
   * process itself.
   */
  public static ConnectionLimits of(int maxConnections) {
    int inbound = maxConnections * 7 / 10;
    int outbound = maxConnections / 5;
    int reservedOutbound = Math.max(MIN_RESERVED_OUTBOUND, outbound / 10);
    int maxKeptAlive = inbound * 17 / 20;
    // A waiting heartbeat holds its connection, so the other inbound connections stay available to
    // agents that connect meanwhile.
    int maxWaitingHeartbeats = maxKeptAlive;
    return new ConnectionLimits(
        inbound,
        maxKeptAlive,
        outbound,
        reservedOutbound,
        maxWaitingHeartbeats,
        maxConnections / 2);
  }
}
