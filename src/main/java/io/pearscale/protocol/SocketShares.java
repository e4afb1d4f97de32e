package io.pearscale.protocol;

/**
 * How a controller divides the sockets that its settings give it. Every bound on what is held open
 * for workers and users follows from here, so that a larger fleet needs a larger setting and never
 * another build.
 *
 * @param served connections accepted from workers and users
 * @param kept those of the served ones that may stay open between two reports; beyond them each
 *     answer to a report closes its connection
 * @param called connections opened to machines, the state service and the cloud
 * @param reserved those of the called ones that machines can't take
 * @param parkedReports reports that may wait for an election at the same time
 * @param openQuestions requests of users that may wait for the state service at the same time
 */
public record SocketShares(
    int served, int kept, int called, int reserved, int parkedReports, int openQuestions) {
  private static final int SMALLEST_RESERVE = 2;

  /** Divides the sockets; what is left over is for peers, the renewals and the process itself. */
  public static SocketShares of(int maxConnections) {
    int served = maxConnections * 7 / 10;
    int called = maxConnections / 5;
    int reserved = Math.max(SMALLEST_RESERVE, called / 10);
    int kept = served * 17 / 20;
    // A parked report keeps its connection: some are left to those that ask meanwhile.
    int parkedReports = kept;
    return new SocketShares(served, kept, called, reserved, parkedReports, maxConnections / 2);
  }
}
