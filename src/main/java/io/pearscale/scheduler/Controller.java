package io.pearscale.scheduler;

import io.pearscale.api.ApiActor;
import io.pearscale.coordination.ElectionActor;
import io.pearscale.coordination.ElectionListener;
import io.pearscale.coordination.HeartbeatRelayActor;
import io.pearscale.coordination.LeaderLeaseRenewer;
import io.pearscale.coordination.SupportAnnouncer;
import io.pearscale.protocol.Heartbeat;
import io.pearscale.protocol.HeartbeatDecoder;
import io.pearscale.protocol.HeartbeatResponse;
import io.pearscale.protocol.MalformedMessageException;
import io.pearscale.protocol.PeerMessage;
import io.pearscale.protocol.PeerMessage.ControllerHeartbeat;
import io.pearscale.protocol.PeerMessage.ForwardedHeartbeat;
import io.pearscale.protocol.PeerMessage.ForwardedHeartbeatResponse;
import io.pearscale.protocol.PeerMessage.LiveJobs;
import io.pearscale.protocol.PeerMessage.TaskCounts;
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
import io.pearscale.transport.MessagePack;
import io.pearscale.transport.PeerTransport;
import io.pearscale.upgrade.LevelGate;
import io.pearscale.upgrade.MemberSupport;
import io.pearscale.upgrade.Release;
import io.pearscale.upgrade.SupportedLevels;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One controller: its actors, wired together, and the doors through which requests come in. */
public final class Controller {
  private static final Logger LOG = LoggerFactory.getLogger(Controller.class);

  /** Where workers report. */
  public static final String HEARTBEAT_PATH = "/checkin";

  private static final Duration PEER_HEARTBEAT_INTERVAL = Duration.ofMillis(700);
  private static final Duration STARTUP_GRACE_PERIOD = Duration.ofSeconds(5);
  private static final Duration STORE_HEALTH_TIMEOUT = Duration.ofMillis(4500);

  /** When users are to ask again whom a build that must stay out has refused. */
  private static final Duration INCOMPATIBLE_RETRY_AFTER = Duration.ofSeconds(5);

  private record PeerState(Instant heartbeatAt, boolean storeHealthy) {}

  private final EventLoop loop;
  private final Settings settings;
  private final PeerTransport peerTransport;
  private final KeyValueStoreClient store;
  private final StoreReplicaActor replica;
  private final ElectionActor election;
  private final HeartbeatRelayActor relay;
  private final SchedulerActor scheduler;
  private final ApiActor api;
  private final LevelGate levelGate;
  private final Optional<SupportAnnouncer> supportAnnouncer;
  private final Map<String, PeerState> peers = new HashMap<>();
  private long term;
  private Optional<String> leader = Optional.empty();
  private boolean loaded;

  /** How new the copy of the keys was when it was first loaded, and how new it is. */
  private long firstLoadRevision;

  private long storeRevision;
  private Instant startedAt = Instant.EPOCH;

  /** What operators have set. */
  public record Options(Tuning tuning, OperatorSettings operatorSettings) {}

  /** A loop, and the calls that are made on it. */
  public record RenewalLoop(EventLoop loop, HttpClient httpClient) {}

  /**
   * Wires a controller; {@link #start} sets it going.
   *
   * @param renewalLoop where leadership is renewed, in production beside all else
   * @param supported the levels of stored forms that this build reads and writes
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
    this.peerTransport = peerTransport;
    this.levelGate = new LevelGate(supported.upTo(options.operatorSettings.highestLevel()));
    this.store = new KeyValueStoreClient(loop, httpClient, settings, levelGate::writeRevision);
    this.replica = new StoreReplicaActor(loop, store, random);
    this.api =
        new ApiActor(
            loop,
            store,
            replica,
            settings,
            wallClock,
            levelGate,
            job -> {
              broadcast(new PeerMessage.JobCancelled(job));
              jobCancelled(job);
            });
    LeaderLeaseRenewer leaseRenewer =
        new LeaderLeaseRenewer(
            renewalLoop.loop,
            loop,
            new KeyValueStoreClient(renewalLoop.loop, renewalLoop.httpClient, settings),
            settings.leaderLeaseTtl().multipliedBy(2));
    this.election =
        new ElectionActor(
            loop,
            store,
            leaseRenewer,
            settings,
            random,
            levelGate::objection,
            new ElectionEvents());
    this.scheduler =
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
                new SchedulerListener()));
    this.relay =
        new HeartbeatRelayActor(
            loop,
            settings.host(),
            peerTransport,
            settings.relayTimeout(),
            settings.connectionLimits().parkedHeartbeats(),
            (heartbeat, answer) -> processLocally(heartbeat, settings.host(), answer));
    this.supportAnnouncer =
        options
            .operatorSettings
            .supportRecordTtl()
            .map(
                time ->
                    announcer(
                        supported.upTo(options.operatorSettings.highestLevel()), time, random));
    replica.addListener(new ReplicaListener());
  }

  private SupportAnnouncer announcer(
      SupportedLevels supported, Duration grantTime, RandomGenerator random) {
    MemberSupport support = new MemberSupport(supported, random.nextLong(), Release.name());
    return new SupportAnnouncer(loop, store, settings.host(), support, grantTime);
  }

  private void tellElection(ElectionActor.Message m) {
    election.tell(m);
  }

  private void processLocally(Heartbeat heartbeat, String via, Consumer<HeartbeatResponse> answer) {
    if (!scheduler.offer(new SchedulerActor.HeartbeatReceived(heartbeat, via, answer))) {
      answer.accept(HeartbeatResponse.UNAVAILABLE);
    }
  }

  private final class ReplicaListener implements StoreReplicaActor.Listener {
    @Override
    public void onSnapshotLoaded(Map<String, Entry> all, long epoch) {
      // First of all: what the others do with the keys depends on it.
      updateLevel(Optional.ofNullable(all.get(Keys.LEVEL)));
      firstLoadRevision = loaded ? firstLoadRevision : epoch;
      loaded = true;
      storeRevision = epoch;
      scheduler.tell(new SchedulerActor.Loaded(all, epoch));
      api.tell(new ApiActor.Loaded(all));
      election.tell(new ElectionActor.Loaded(all));
    }

    @Override
    public void onKeysChanged(List<KeyChange> changes, long epoch) {
      changes.stream().filter(c -> c.key().equals(Keys.LEVEL)).forEach(c -> updateLevel(c.entry()));
      storeRevision = epoch;
      scheduler.tell(new SchedulerActor.KeysChanged(changes, epoch));
      api.tell(new ApiActor.KeysChanged(changes));
      election.tell(new ElectionActor.KeysChanged(changes));
    }

    @Override
    public void onUpToDate(Instant asOf) {
      scheduler.tell(new SchedulerActor.ReplicaFresh(asOf));
    }
  }

  private void updateLevel(Optional<Entry> stored) {
    levelGate.update(stored.map(Entry::value), stored.map(Entry::revision).orElse(0L));
  }

  private final class ElectionEvents implements ElectionListener {
    @Override
    public void elected(long newTerm, long termStamp, Instant evidence) {
      scheduler.tell(new SchedulerActor.Elected(newTerm, termStamp, evidence));
    }

    @Override
    public void leadershipProven(Instant evidence) {
      scheduler.tell(new SchedulerActor.LeadershipProven(evidence));
    }

    @Override
    public void confirmedByPeers(Instant evidence, Set<String> cancelled, List<LiveJobs> live) {
      scheduler.tell(new SchedulerActor.ConfirmedByPeers(evidence, cancelled, live));
    }

    @Override
    public void electionAcknowledged() {
      scheduler.tell(new SchedulerActor.ElectionAcknowledged(term));
    }

    @Override
    public void requestConfirmations(long nonce) {
      broadcast(new PeerMessage.ConfirmationRequest(nonce, storeRevision));
      // What this controller told itself counts as well: the watch may not have shown it yet.
      long known = term;
      api.tell(
          new ApiActor.RecentCancellations(
              (cancelled, live) ->
                  tellElection(
                      new ElectionActor.PeerConfirmed(
                          settings.host(), nonce, known, cancelled, Optional.empty()))));
    }

    @Override
    public void leadershipLost(long oldTerm) {
      scheduler.tell(new SchedulerActor.LeadershipLost(oldTerm));
    }

    @Override
    public void leaderChanged(long newTerm, Optional<String> name) {
      term = newTerm;
      leader = name;
      relay.tell(new HeartbeatRelayActor.LeaderChanged(newTerm, name));
    }
  }

  private final class SchedulerListener implements SchedulerActor.Listener {
    @Override
    public void higherTermSeen(long newTerm) {
      election.tell(new ElectionActor.HigherTermSeen(newTerm));
    }

    @Override
    public void recordUnreadable(String reason) {
      election.tell(new ElectionActor.RecordUnreadable(reason));
    }

    @Override
    public void taskCountsChanged(List<PeerMessage.JobTaskCount> jobs) {
      api.tell(new ApiActor.TaskCountsChanged(jobs));
      broadcast(new TaskCounts(jobs));
    }
  }

  private void broadcast(PeerMessage message) {
    byte[] frame = PeerMessage.encode(message);
    settings.peers().keySet().forEach(p -> peerTransport.send(p, frame));
  }

  private void jobCancelled(String job) {
    scheduler.tell(new SchedulerActor.JobCancelled(job));
  }

  /** Begins to work. */
  public void start() {
    startedAt = loop.clock().instant();
    replica.tell(new StoreReplicaActor.Start());
    supportAnnouncer.ifPresent(a -> a.tell(new SupportAnnouncer.Start()));
    peerHeartbeat();
    storeHeartbeat();
  }

  /**
   * Whether it is time to listen. Before the keys are loaded nothing can be answered, and on a
   * small part of a core the workers that come as soon as there is somebody to ask would take the
   * time that loading needs: they are refused without a word and ask elsewhere. A state service
   * that is out is not waited for, since users are to be told when to come back.
   */
  public boolean isReady() {
    Duration running = Duration.between(startedAt, loop.clock().instant());
    return loaded || running.compareTo(settings.leaderLeaseTtl()) > 0;
  }

  /** While a peer can't be reached, the leader shows by writes that it lives. */
  private void storeHeartbeat() {
    if (peerTransport.connected().size() < settings.peers().size()) {
      scheduler.tell(new SchedulerActor.StoreHeartbeatDue());
    }
    loop.schedule(ElectionActor.STORE_HEARTBEAT_INTERVAL, this::storeHeartbeat);
  }

  private void peerHeartbeat() {
    broadcast(new ControllerHeartbeat(term, leader.orElse(""), isStoreHealthy()));
    loop.schedule(PEER_HEARTBEAT_INTERVAL, this::peerHeartbeat);
  }

  private boolean isStoreHealthy() {
    return loaded
        && levelGate.objection().isEmpty()
        && store
            .lastSuccess()
            .map(
                t ->
                    Duration.between(t, loop.clock().instant()).compareTo(STORE_HEALTH_TIMEOUT) < 0)
            .orElse(false);
  }

  /** A record of a peer. What can't be read is dropped and changes nothing. */
  public void handlePeerRecord(String peer, byte[] frame) {
    PeerMessage message;
    try {
      message = PeerMessage.decode(frame);
    } catch (MalformedMessageException e) {
      LOG.warn("event=peer_record_dropped peer={} reason={}", peer, e.getMessage());
      return;
    }
    if (message instanceof ControllerHeartbeat m) {
      peers.put(peer, new PeerState(loop.clock().instant(), m.storeHealthy()));
      election.tell(
          new ElectionActor.LeaderAnnounced(
              peer, m.term(), Optional.of(m.leader()).filter(name -> !name.isEmpty())));
    } else if (message instanceof PeerMessage.ConfirmationRequest m) {
      if (loaded && levelGate.objection().isEmpty()) {
        confirm(peer, m);
      }
    } else if (message instanceof PeerMessage.Confirmation m) {
      election.tell(
          new ElectionActor.PeerConfirmed(
              peer, m.nonce(), m.term(), m.cancelledJobs(), m.liveJobs()));
    } else if (message instanceof PeerMessage.JobCancelled m) {
      api.tell(new ApiActor.JobCancelled(m.job()));
      jobCancelled(m.job());
    } else if (message instanceof ForwardedHeartbeat m) {
      processLocally(
          m.heartbeat(),
          peer,
          a ->
              peerTransport.send(
                  peer, PeerMessage.encode(new ForwardedHeartbeatResponse(m.exchange(), a))));
    } else if (message instanceof ForwardedHeartbeatResponse m) {
      relay.tell(new HeartbeatRelayActor.LeaderResponded(m));
    } else if (message instanceof TaskCounts m) {
      api.tell(new ApiActor.TaskCountsChanged(m.jobs()));
    }
  }

  /**
   * Gives the leader our word. What a former life of this process told users is in no list of ours,
   * but it was durable before our copy was loaded. So a leader whose copy is older than that also
   * gets all that is live.
   */
  private void confirm(String peer, PeerMessage.ConfirmationRequest q) {
    long known = term;
    long epoch = storeRevision;
    boolean older = q.storeRevision() < firstLoadRevision;
    api.tell(
        new ApiActor.RecentCancellations(
            (cancelled, live) ->
                peerTransport.send(
                    peer,
                    PeerMessage.encode(
                        new PeerMessage.Confirmation(
                            q.nonce(),
                            known,
                            cancelled,
                            older ? Optional.of(new LiveJobs(epoch, live)) : Optional.empty())))));
  }

  /** A peer refuses connections: its process may have ended. */
  public void peerConnectionRefused(String peer) {
    peers.remove(peer);
    election.tell(new ElectionActor.PeerConnectionRefused(peer));
  }

  /**
   * Whether this controller should get users. One that can't reach the state service is of no use
   * to them while another can; if none can, all stay, since leaving would only add the balancer's
   * pause to the outage.
   */
  private boolean isServing() {
    if (!loaded) {
      // Loading takes a moment, the balancer's return to a node takes seconds: let both run at
      // once.
      return Duration.between(startedAt, loop.clock().instant()).compareTo(STARTUP_GRACE_PERIOD)
          < 0;
    }
    if (isStoreHealthy()) {
      return true;
    }
    Instant limit = loop.clock().instant().minusSeconds(3);
    return peers.values().stream().noneMatch(p -> p.storeHealthy && p.heartbeatAt.isAfter(limit));
  }

  /** A request of a user, a worker or the load balancer. */
  public void handleRequest(String method, String path, Body body, Consumer<Response> respond) {
    if (path.equals("/up") && method.equals("GET")) {
      respond.accept(
          isServing()
              ? Response.of(200, MessagePack.map().put("ok", true))
              : Response.unavailable(Duration.ofSeconds(1), "not ready"));
    } else if (path.equals(HEARTBEAT_PATH) && method.equals("POST")) {
      handleHeartbeat(body, respond);
    } else if (path.equals("/work") && method.equals("POST")) {
      forwardToApi(new ApiActor.Submit(body.tree(), respond), respond);
    } else if (path.startsWith("/work/") && method.equals("GET")) {
      forwardToApi(new ApiActor.Query(path.substring(6), respond), respond);
    } else if (path.startsWith("/work/") && path.endsWith("/cancel") && method.equals("POST")) {
      forwardToApi(new ApiActor.Cancel(path.substring(6, path.length() - 7), respond), respond);
    } else {
      respond.accept(Response.of(404, MessagePack.map().put("error", "no such page")));
    }
  }

  private void forwardToApi(ApiActor.Message message, Consumer<Response> respond) {
    if (levelGate.objection().isPresent()) {
      respond.accept(Response.unavailable(INCOMPATIBLE_RETRY_AFTER, levelGate.objection().get()));
    } else if (!api.offer(message)) {
      respond.accept(Response.unavailable(Duration.ofSeconds(2), "busy"));
    }
  }

  private void handleHeartbeat(Body body, Consumer<Response> respond) {
    Heartbeat heartbeat;
    try {
      heartbeat = HeartbeatDecoder.decode(body.bytes());
    } catch (MalformedMessageException e) {
      LOG.warn("event=report_malformed reason={}", e.getMessage());
      respond.accept(Response.of(400, MessagePack.map().put("error", e.getMessage())));
      return;
    }
    boolean taken =
        relay.offer(
            new HeartbeatRelayActor.HeartbeatReceived(
                heartbeat,
                (answer, elsewhere) -> {
                  if (answer.status() == 200) {
                    respond.accept(Response.of(200, answer.encode()));
                  } else if (elsewhere.isPresent()) {
                    respond.accept(
                        Response.of(421, MessagePack.map().put("foreman", elsewhere.get())));
                  } else {
                    respond.accept(Response.of(503, MessagePack.map().put("error", "no leader")));
                  }
                }));
    if (!taken) {
      respond.accept(Response.of(503, MessagePack.map().put("error", "busy")));
    }
  }
}
