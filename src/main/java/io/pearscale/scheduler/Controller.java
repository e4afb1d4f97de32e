package io.pearscale.scheduler;

import io.pearscale.api.ApiActor;
import io.pearscale.coordination.ElectionActor;
import io.pearscale.coordination.ElectionListener;
import io.pearscale.coordination.HeartbeatRelayActor;
import io.pearscale.coordination.LeaderLeaseRenewer;
import io.pearscale.coordination.SupportAnnouncer;
import io.pearscale.protocol.PeerMessage;
import io.pearscale.protocol.PeerMessage.LiveJobs;
import io.pearscale.protocol.Settings;
import io.pearscale.scheduler.model.Tuning;
import io.pearscale.storage.KeyValueStoreClient;
import io.pearscale.storage.Keys;
import io.pearscale.storage.StoreReplicaActor;
import io.pearscale.storage.StoreReplicaActor.Entry;
import io.pearscale.storage.StoreReplicaActor.KeyChange;
import io.pearscale.transport.Body;
import io.pearscale.transport.EventLoop;
import io.pearscale.transport.HttpClient;
import io.pearscale.transport.HttpServer.Response;
import io.pearscale.transport.PeerTransport;
import io.pearscale.upgrade.ControllerSupport;
import io.pearscale.upgrade.LevelGate;
import io.pearscale.upgrade.Release;
import io.pearscale.upgrade.SupportedLevels;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * The parts of a controller process. It creates the actors and forwards the events of each to the
 * others that depend on them.
 */
public final class Controller {
  /** HTTP path to which agents send heartbeats. */
  public static final String HEARTBEAT_PATH = RequestRouter.HEARTBEAT_PATH;

  /** Interval in which a controller announces the known leader and its own health to its peers. */
  private static final Duration PEER_HEARTBEAT_INTERVAL = Duration.ofMillis(700);

  /**
   * Renewals of the leader's lease stop if the main loop makes no progress for this multiple of the
   * TTL.
   */
  private static final int STALL_LEASE_TTLS = 2;

  private final EventLoop loop;
  private final Settings settings;
  private final KeyValueStoreClient store;
  private final StoreReplicaActor replica;
  private final ControllerActors actors;
  private final LevelGate levelGate;
  private final Optional<SupportAnnouncer> supportAnnouncer;
  private final PeerChannel peers;
  private final ReplicaStatus replicaStatus = new ReplicaStatus();
  private final KnownLeader knownLeader = new KnownLeader();
  private final ControllerHealth health;
  private final PeerMessageHandler peerMessageHandler;
  private final RequestRouter requestRouter;

  /** The options that operators set. */
  public record Options(Tuning tuning, OperatorSettings operatorSettings) {}

  /** An event loop and an HTTP client that sends requests and delivers replies on that loop. */
  public record RenewalLoop(EventLoop loop, HttpClient httpClient) {}

  /**
   * Creates a controller that is idle until {@link #start}.
   *
   * @param renewalLoop the loop on which the leader's lease is renewed; in production it has its
   *     own thread
   * @param supported the schema levels that this build can read and write
   * @param wallClock the wall clock that provides the stored submission times
   */
  public Controller(
      EventLoop loop,
      HttpClient httpClient,
      RenewalLoop renewalLoop,
      PeerTransport peerTransport,
      Settings settings,
      SupportedLevels supported,
      Options options,
      RandomGenerator random,
      InstantSource wallClock) {
    this.loop = loop;
    this.settings = settings;
    SupportedLevels usable = supported.upTo(options.operatorSettings.highestLevel());
    levelGate = new LevelGate(usable);
    store = new KeyValueStoreClient(loop, httpClient, settings, levelGate::writeRevision);
    replica = new StoreReplicaActor(loop, store, random);
    peers = new PeerChannel(peerTransport, settings.peers().keySet());
    ApiActor api =
        new ApiActor(
            loop, store, replica, settings, wallClock, levelGate, this::announceCancellation);
    ElectionActor election = createElectionActor(renewalLoop, random);
    SchedulerActor scheduler =
        new SchedulerActor(
            new SchedulerActor.Environment(
                loop,
                store,
                httpClient,
                settings,
                options.tuning,
                options.operatorSettings,
                random,
                wallClock,
                levelGate,
                new SchedulerEvents()));
    actors = new ControllerActors(election, scheduler, createRelay(scheduler, peerTransport), api);
    supportAnnouncer =
        options
            .operatorSettings
            .supportRecordTtl()
            .map(ttl -> createSupportAnnouncer(usable, ttl, random));
    health =
        new ControllerHealth(
            loop.clock(), store, levelGate, replicaStatus, settings.leaderLeaseTtl());
    peerMessageHandler =
        new PeerMessageHandler(peers, actors, health, levelGate, replicaStatus, knownLeader);
    requestRouter = new RequestRouter(actors, health, levelGate);
    replica.addListener(new ReplicaEvents());
  }

  private ElectionActor createElectionActor(RenewalLoop renewalLoop, RandomGenerator random) {
    LeaderLeaseRenewer leaseRenewer =
        new LeaderLeaseRenewer(
            renewalLoop.loop,
            loop,
            new KeyValueStoreClient(renewalLoop.loop, renewalLoop.httpClient, settings),
            settings.leaderLeaseTtl().multipliedBy(STALL_LEASE_TTLS));
    return new ElectionActor(
        loop,
        store,
        leaseRenewer,
        settings,
        random,
        levelGate::incompatibility,
        new ElectionEvents());
  }

  private HeartbeatRelayActor createRelay(SchedulerActor scheduler, PeerTransport peerTransport) {
    return new HeartbeatRelayActor(
        loop,
        settings.controllerName(),
        peerTransport,
        settings.relayTimeout(),
        settings.connectionLimits().maxWaitingHeartbeats(),
        (heartbeat, respond) ->
            scheduler.offerHeartbeat(heartbeat, settings.controllerName(), respond));
  }

  private SupportAnnouncer createSupportAnnouncer(
      SupportedLevels supported, Duration leaseTtl, RandomGenerator random) {
    ControllerSupport support = new ControllerSupport(supported, random.nextLong(), Release.name());
    return new SupportAnnouncer(loop, store, settings.controllerName(), support, leaseTtl);
  }

  /** Starts the controller. */
  public void start() {
    health.started();
    replica.tell(new StoreReplicaActor.Start());
    supportAnnouncer.ifPresent(announcer -> announcer.tell(new SupportAnnouncer.Start()));
    sendPeerHeartbeat();
    requestStoreHeartbeat();
  }

  private void sendPeerHeartbeat() {
    peers.broadcast(
        new PeerMessage.ControllerHeartbeat(
            knownLeader.term(), knownLeader.leader().orElse(""), health.isStoreHealthy()));
    loop.schedule(PEER_HEARTBEAT_INTERVAL, this::sendPeerHeartbeat);
  }

  /** Requests a write that shows that the leader is alive, if a peer is unreachable. */
  private void requestStoreHeartbeat() {
    if (peers.hasUnreachablePeer()) {
      tellScheduler(new SchedulerActor.StoreHeartbeatDue());
    }
    loop.schedule(ElectionActor.STORE_HEARTBEAT_INTERVAL, this::requestStoreHeartbeat);
  }

  /** Returns whether the controller should start to listen for agents and users. */
  public boolean isReady() {
    return health.isReadyToListen();
  }

  /** Handles a message of a peer; a malformed message is dropped without effect. */
  public void handlePeerMessage(String peer, byte[] frame) {
    peerMessageHandler.handle(peer, frame);
  }

  /** Handles a refused connection to a peer, whose process may have ended. */
  public void peerConnectionRefused(String peer) {
    health.peerConnectionRefused(peer);
    actors.election().tell(new ElectionActor.PeerConnectionRefused(peer));
  }

  /** Handles an HTTP request of a user, an agent or the load balancer. */
  public void handleRequest(String method, String path, Body body, Consumer<Response> respond) {
    requestRouter.handle(method, path, body, respond);
  }

  private void tellScheduler(SchedulerActor.Message message) {
    actors.scheduler().tell(message);
  }

  /**
   * Informs the peers and the scheduler that a cancellation is about to be acknowledged to a user.
   */
  private void announceCancellation(String jobId) {
    peers.broadcast(new PeerMessage.JobCancelled(jobId));
    tellScheduler(new SchedulerActor.JobCancelled(jobId));
  }

  private final class ReplicaEvents implements StoreReplicaActor.Listener {
    @Override
    public void onSnapshotLoaded(Map<String, Entry> entries, long storeRevision) {
      // The level is updated first, because the other components interpret the keys according to
      // it.
      updateLevel(Optional.ofNullable(entries.get(Keys.LEVEL)));
      replicaStatus.loaded(storeRevision);
      tellScheduler(new SchedulerActor.ReplicaLoaded(entries, storeRevision));
      actors.api().tell(new ApiActor.ReplicaLoaded(entries));
      actors.election().tell(new ElectionActor.ReplicaLoaded(entries));
    }

    @Override
    public void onKeysChanged(List<KeyChange> changes, long storeRevision) {
      changes.stream()
          .filter(change -> change.key().equals(Keys.LEVEL))
          .forEach(change -> updateLevel(change.entry()));
      replicaStatus.advancedTo(storeRevision);
      tellScheduler(new SchedulerActor.KeysChanged(changes, storeRevision));
      actors.api().tell(new ApiActor.KeysChanged(changes));
      actors.election().tell(new ElectionActor.KeysChanged(changes));
    }

    @Override
    public void onUpToDate(Instant caughtUpTo) {
      tellScheduler(new SchedulerActor.ReplicaCaughtUp(caughtUpTo));
    }

    private void updateLevel(Optional<Entry> stored) {
      levelGate.update(stored.map(Entry::value), stored.map(Entry::revision).orElse(0L));
    }
  }

  private final class ElectionEvents implements ElectionListener {
    @Override
    public void elected(long term, long termRevision, Instant provenAt) {
      tellScheduler(new SchedulerActor.Elected(term, termRevision, provenAt));
    }

    @Override
    public void leadershipProven(Instant provenAt) {
      tellScheduler(new SchedulerActor.LeadershipProven(provenAt));
    }

    @Override
    public void confirmedByPeers(
        Instant provenAt, Set<String> cancelledJobs, List<LiveJobs> liveJobs) {
      tellScheduler(new SchedulerActor.ConfirmedByPeers(provenAt, cancelledJobs, liveJobs));
    }

    @Override
    public void electionAcknowledged() {
      tellScheduler(new SchedulerActor.ElectionAcknowledged(knownLeader.term()));
    }

    @Override
    public void requestConfirmations(long nonce) {
      peers.broadcast(new PeerMessage.ConfirmationRequest(nonce, replicaStatus.revision()));
      // Includes this controller's own acknowledged cancellations, which the watch may not have
      // delivered yet.
      long term = knownLeader.term();
      ElectionActor election = actors.election();
      ApiActor.RecentCancellations request =
          new ApiActor.RecentCancellations(
              (cancelledJobs, liveJobs) ->
                  election.tell(
                      new ElectionActor.PeerConfirmed(
                          settings.controllerName(),
                          nonce,
                          term,
                          cancelledJobs,
                          Optional.empty())));
      actors.api().tell(request);
    }

    @Override
    public void leadershipLost(long term) {
      tellScheduler(new SchedulerActor.LeadershipLost(term));
    }

    @Override
    public void leaderChanged(long term, Optional<String> leader) {
      knownLeader.update(term, leader);
      actors.relay().tell(new HeartbeatRelayActor.LeaderChanged(term, leader));
    }
  }

  private final class SchedulerEvents implements SchedulerActor.Listener {
    @Override
    public void higherTermSeen(long term) {
      actors.election().tell(new ElectionActor.HigherTermSeen(term));
    }

    @Override
    public void recordUnreadable(String reason) {
      actors.election().tell(new ElectionActor.RecordUnreadable(reason));
    }

    @Override
    public void taskCountsChanged(List<PeerMessage.JobTaskCount> jobs) {
      actors.api().tell(new ApiActor.TaskCountsChanged(jobs));
      peers.broadcast(new PeerMessage.TaskCounts(jobs));
    }
  }
}
