package io.pearscale.transport;

import java.util.Set;

/**
 * Exchanges records with the other controllers. A record may be lost when its connection breaks.
 */
public interface PeerTransport {
  /**
   * Sends a record, or returns false if there is no connection to the peer or its send queue is
   * full.
   */
  boolean send(String peer, byte[] frame);

  /** Returns the peers that are connected and have recently sent a record. */
  Set<String> connectedPeers();

  /** Returns whether the peer is connected and has recently sent a record. */
  default boolean isConnected(String peer) {
    return connectedPeers().contains(peer);
  }

  /** Receives records and connection events from peers. */
  interface Receiver {
    /** Handles a complete record from the named peer. */
    void received(String peer, byte[] frame);

    /**
     * Handles a peer that closed its connection and refuses new ones, so that its process may have
     * ended.
     */
    void processEnded(String peer);
  }
}
