package io.pearscale.scheduler;

import io.pearscale.protocol.PeerMessage;
import io.pearscale.transport.PeerTransport;
import java.util.Set;

/** Sends records to the other controllers; one that can't be reached misses them. */
final class PeerChannel {
  private final PeerTransport transport;
  private final Set<String> peers;

  /** Sends to these peers, which the settings name. */
  PeerChannel(PeerTransport transport, Set<String> peers) {
    this.transport = transport;
    this.peers = peers;
  }

  /** Sends a record to one peer. */
  void send(String peer, PeerMessage message) {
    transport.send(peer, PeerMessage.encode(message));
  }

  /** Sends a record to all peers. */
  void broadcast(PeerMessage message) {
    byte[] frame = PeerMessage.encode(message);
    peers.forEach(peer -> transport.send(peer, frame));
  }

  /** Whether some peer can't be reached. */
  boolean isIncomplete() {
    return transport.connectedPeers().size() < peers.size();
  }
}
