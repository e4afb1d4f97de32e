package io.pearscale.protocol;

import java.util.List;
import java.util.Optional;

/**
 * A message between controllers. {@link PeerMessageCodec} defines its encoding as a peer record.
 */
public sealed interface PeerMessage {
  /** The version of the encoding, see {@link PeerVersions}. */
  int VERSION = 3;

  /**
   * A periodic heartbeat of a controller to all peers.
   *
   * @param term the highest term that the sender has seen
   * @param leader the leader of that term; empty if the sender does not know it
   * @param storeHealthy whether the key-value store has answered the sender recently
   */
  record ControllerHeartbeat(long term, String leader, boolean storeHealthy)
      implements PeerMessage {}

  /**
   * An agent's heartbeat that a controller forwards to the leader.
   *
   * @param exchangeId identifies the exchange; the sender never reuses it
   */
  record ForwardedHeartbeat(long exchangeId, Heartbeat heartbeat) implements PeerMessage {}

  /** The leader's response to the forwarded heartbeat with the same exchange id. */
  record ForwardedHeartbeatResponse(long exchangeId, HeartbeatResponse response)
      implements PeerMessage {}

  /**
   * A request of the leader that its peers confirm that they know of no later term and report the
   * cancellations that they have acknowledged.
   *
   * @param nonce identifies the request
   * @param storeRevision the revision of the leader's replica of the store
   */
  record ConfirmationRequest(long nonce, long storeRevision) implements PeerMessage {}

  /**
   * A peer's answer to a {@link ConfirmationRequest}, with its state after it received the request.
   *
   * @param nonce identifies the request
   * @param term the highest term that the peer has seen
   * @param cancelledJobs the jobs whose cancellation the peer recently acknowledged to users
   * @param liveJobs the live jobs that the peer knows; present only if the peer loaded its replica
   *     of the store later than the leader, because cancellations that a previous process of the
   *     peer acknowledged are visible only in this list
   */
  record Confirmation(
      long nonce, long term, List<String> cancelledJobs, Optional<LiveJobs> liveJobs)
      implements PeerMessage {}

  /**
   * The jobs that were live at a revision of the key-value store. All other jobs submitted up to
   * that revision have ended.
   */
  record LiveJobs(long storeRevision, List<String> jobs) {}

  /**
   * Announces that the sender acknowledges the cancellation of the job to users. The cancellation
   * is already durable.
   */
  record JobCancelled(String job) implements PeerMessage {}

  /** Changed task counts, which the leader sends to its peers for display. */
  record TaskCounts(List<JobTaskCount> jobs) implements PeerMessage {}

  /** The numbers of completed and running tasks of a job. */
  record JobTaskCount(String job, int done, int running) {}

  /** Encodes a message as a peer record. */
  static byte[] encode(PeerMessage message) {
    return PeerMessageCodec.encode(message);
  }

  /**
   * Decodes a peer record.
   *
   * @throws MalformedMessageException if the bytes are not a valid record of {@link #VERSION}
   */
  static PeerMessage decode(byte[] encoded) throws MalformedMessageException {
    return PeerMessageCodec.decode(encoded);
  }
}
