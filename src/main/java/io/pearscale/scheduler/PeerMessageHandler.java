package io.pearscale.scheduler;

import io.pearscale.api.ApiActor;
import io.pearscale.coordination.ElectionActor;
import io.pearscale.coordination.HeartbeatRelayActor;
import io.pearscale.protocol.MalformedMessageException;
import io.pearscale.protocol.PeerMessage;
import io.pearscale.protocol.PeerMessage.Confirmation;
import io.pearscale.protocol.PeerMessage.ConfirmationRequest;
import io.pearscale.protocol.PeerMessage.ControllerHeartbeat;
import io.pearscale.protocol.PeerMessage.ForwardedHeartbeat;
import io.pearscale.protocol.PeerMessage.ForwardedHeartbeatResponse;
import io.pearscale.protocol.PeerMessage.JobCancelled;
import io.pearscale.protocol.PeerMessage.LiveJobs;
import io.pearscale.protocol.PeerMessage.TaskCounts;
import io.pearscale.upgrade.LevelGate;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Decodes messages of peers and dispatches each one to the component that handles it. */
final class PeerMessageHandler {
  private static final Logger LOG = LoggerFactory.getLogger(PeerMessageHandler.class);

  private final PeerChannel peers;
  private final ControllerActors actors;
  private final ControllerHealth health;
  private final LevelGate levelGate;
  private final ReplicaStatus replicaStatus;
  private final KnownLeader knownLeader;

  PeerMessageHandler(
      PeerChannel peers,
      ControllerActors actors,
      ControllerHealth health,
      LevelGate levelGate,
      ReplicaStatus replicaStatus,
      KnownLeader knownLeader) {
    this.peers = peers;
    this.actors = actors;
    this.health = health;
    this.levelGate = levelGate;
    this.replicaStatus = replicaStatus;
    this.knownLeader = knownLeader;
  }

  /** Handles a message of a peer; a malformed message is dropped without effect. */
  void handle(String peer, byte[] frame) {
    try {
      handle(peer, PeerMessage.decode(frame));
    } catch (MalformedMessageException e) {
      LOG.warn("event=peer_record_dropped peer={} reason={}", peer, e.getMessage());
    }
  }

  private void handle(String peer, PeerMessage message) {
    if (message instanceof ControllerHeartbeat m) {
      controllerHeartbeat(peer, m);
    } else if (message instanceof ConfirmationRequest m) {
      if (replicaStatus.isLoaded() && levelGate.incompatibility().isEmpty()) {
        confirm(peer, m);
      }
    } else if (message instanceof Confirmation m) {
      actors
          .election()
          .tell(
              new ElectionActor.PeerConfirmed(
                  peer, m.nonce(), m.term(), m.cancelledJobs(), m.liveJobs()));
    } else if (message instanceof JobCancelled m) {
      actors.api().tell(new ApiActor.JobCancelled(m.job()));
      actors.scheduler().tell(new SchedulerActor.JobCancelled(m.job()));
    } else if (message instanceof ForwardedHeartbeat m) {
      actors
          .scheduler()
          .offerHeartbeat(
              m.heartbeat(),
              peer,
              response ->
                  peers.send(peer, new ForwardedHeartbeatResponse(m.exchangeId(), response)));
    } else if (message instanceof ForwardedHeartbeatResponse m) {
      actors.relay().tell(new HeartbeatRelayActor.LeaderResponded(m));
    } else if (message instanceof TaskCounts m) {
      actors.api().tell(new ApiActor.TaskCountsChanged(m.jobs()));
    }
  }

  private void controllerHeartbeat(String peer, ControllerHeartbeat heartbeat) {
    health.peerReported(peer, heartbeat.storeHealthy());
    Optional<String> leader = Optional.of(heartbeat.leader()).filter(name -> !name.isEmpty());
    actors.election().tell(new ElectionActor.LeaderAnnounced(peer, heartbeat.term(), leader));
  }

  /**
   * Sends a confirmation to the peer that leads. The cancellations that a previous process of this
   * controller acknowledged to users are not in this process's list, but they were durable before
   * this process loaded its replica. A leader whose replica is older than that therefore also
   * receives the list of all live jobs.
   */
  private void confirm(String peer, ConfirmationRequest request) {
    long term = knownLeader.term();
    long revision = replicaStatus.revision();
    boolean leaderReplicaIsOlder = request.storeRevision() < replicaStatus.firstLoadRevision();
    actors
        .api()
        .tell(
            new ApiActor.RecentCancellations(
                (cancelledJobs, liveJobs) ->
                    peers.send(
                        peer,
                        new Confirmation(
                            request.nonce(),
                            term,
                            cancelledJobs,
                            leaderReplicaIsOlder
                                ? Optional.of(new LiveJobs(revision, liveJobs))
                                : Optional.empty()))));
  }
}
