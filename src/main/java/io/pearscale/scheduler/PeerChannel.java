package io.pearscale.scheduler;

import io.pearscale.protocol.PeerMessage;
import io.pearscale.transport.PeerTransport;
import java.util.Set;

/** Sends messages to the peers; a message to an unreachable peer is lost. */
final class PeerChannel {
  private final PeerTransport transport;
  private final Set<String> peers;

  /** Creates a channel to the peers that the settings name. */
  PeerChannel(PeerTransport transport, Set<String> peers) {
    this.transport = transport;
    this.peers = peers;
  }

  void send(String peer, PeerMessage message) {
    transport.send(peer, PeerMessage.encode(message));
  }

  void broadcast(PeerMessage message) {
    byte[] frame = PeerMessage.encode(message);
    peers.forEach(peer -> transport.send(peer, frame));
  }

  /** Returns whether at least one peer is unreachable. */
  boolean hasUnreachablePeer() {
    return transport.connectedPeers().size() < peers.size();
  }
}
