package io.pearscale.transport;

import java.util.Set;

/** Records to and from the other controllers. A record may get lost with its connection. */
public interface PeerTransport {
  /** Sends a record; false when there is no link to that peer, or its queue is full. */
  boolean send(String peer, byte[] frame);

  /** The peers that something was heard of lately. */
  Set<String> connected();

  /** Whether something was heard lately of that peer. */
  default boolean isConnected(String peer) {
    return connected().contains(peer);
  }

  /** Takes what the peers send. */
  interface Receiver {
    /** A whole record came in from the named peer. */
    void received(String peer, byte[] frame);

    /** The peer closed its link and refuses new ones: its process may have ended. */
    void processEnded(String peer);
  }
}
