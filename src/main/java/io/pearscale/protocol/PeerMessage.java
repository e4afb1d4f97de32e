package io.pearscale.protocol;

import java.util.List;
import java.util.Optional;

/**
 * A record that one controller sends another one; its bytes are those of {@link PeerMessageCodec}.
 */
public sealed interface PeerMessage {
  /** The version of the records, see {@link PeerVersions}. */
  int VERSION = 3;

  /**
   * A controller is alive. Sent to all peers periodically.
   *
   * @param term the highest term that the sender knows
   * @param leader the controller that leads in it; an empty text if the sender knows of none
   * @param storeHealthy whether the key-value store has answered the sender lately
   */
  record ControllerHeartbeat(long term, String leader, boolean storeHealthy)
      implements PeerMessage {}

  /**
   * An agent's heartbeat, on its way to the leader.
   *
   * @param exchangeId names the exchange; chosen by the sender, and never used twice by it
   */
  record ForwardedHeartbeat(long exchangeId, Heartbeat heartbeat) implements PeerMessage {}

  /** The leader's response to a forwarded heartbeat, under the same exchange. */
  record ForwardedHeartbeatResponse(long exchangeId, HeartbeatResponse response)
      implements PeerMessage {}

  /**
   * The leader asks its peers to confirm that there is no later term, and which cancellations they
   * have acknowledged.
   *
   * @param nonce names the request
   * @param storeRevision the revision of the leader's copy of the keys
   */
  record ConfirmationRequest(long nonce, long storeRevision) implements PeerMessage {}

  /**
   * A peer's answer to a {@link ConfirmationRequest}, as of a time after the request.
   *
   * @param nonce names the request
   * @param term the highest term that the peer knows
   * @param cancelledJobs the jobs whose cancellation it acknowledged to users lately
   * @param liveJobs the jobs that are live as far as it knows, from a peer that loaded its copy of
   *     the keys later than the leader: what its previous process acknowledged shows in this alone
   */
  record Confirmation(
      long nonce, long term, List<String> cancelledJobs, Optional<LiveJobs> liveJobs)
      implements PeerMessage {}

  /**
   * The jobs that were live at a revision of the key-value store. All others that were submitted by
   * then are over.
   */
  record LiveJobs(long storeRevision, List<String> jobs) {}

  /** The sender acknowledges to users that the job is cancelled, which is durable by then. */
  record JobCancelled(String job) implements PeerMessage {}

  /** Counts of tasks that have changed; the leader sends them for display. */
  record TaskCounts(List<JobTaskCount> jobs) implements PeerMessage {}

  /** How many tasks of a job are done, and how many run. */
  record JobTaskCount(String job, int done, int running) {}

  /** Encodes a record as it is sent. */
  static byte[] encode(PeerMessage message) {
    return PeerMessageCodec.encode(message);
  }

  /**
   * Decodes a record as it was received.
   *
   * @throws MalformedMessageException if the bytes are no record of {@link #VERSION}
   */
  static PeerMessage decode(byte[] frame) throws MalformedMessageException {
    return PeerMessageCodec.decode(frame);
  }
}
