package io.pearscale.protocol;

/**
 * How a controller divides the sockets that its settings give it. Every bound on what is held open
 * for agents and users follows from here, so that a larger fleet needs a larger setting and never
 * another build.
 *
 * @param inbound connections accepted from agents and users
 * @param maxKeptAlive those of the inbound ones that may stay open between two heartbeats; beyond
 *     them each response to a heartbeat closes its connection
 * @param outbound connections opened to machines, the key-value store and the cloud
 * @param reservedOutbound those of the outbound ones that machines can't take
 * @param maxWaitingHeartbeats heartbeats that may wait for an election at the same time
 * @param maxOpenUserRequests requests of users that may wait for the key-value store at the same
 *     time
 */
public record ConnectionLimits(
    int inbound,
    int maxKeptAlive,
    int outbound,
    int reservedOutbound,
    int maxWaitingHeartbeats,
    int maxOpenUserRequests) {
  private static final int MIN_RESERVED_OUTBOUND = 2;

  /** Divides the sockets; what is left over is for peers, the renewals and the process itself. */
  public static ConnectionLimits of(int maxConnections) {
    int inbound = maxConnections * 7 / 10;
    int outbound = maxConnections / 5;
    int reservedOutbound = Math.max(MIN_RESERVED_OUTBOUND, outbound / 10);
    int maxKeptAlive = inbound * 17 / 20;
    // A parked heartbeat keeps its connection: some are left to agents that ask meanwhile.
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
