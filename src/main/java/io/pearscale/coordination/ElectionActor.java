package io.pearscale.coordination;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.protocol.PeerMessage.LiveJobs;
import io.pearscale.protocol.Settings;
import io.pearscale.storage.KeyValueStoreClient;
import io.pearscale.storage.KeyValueStoreClient.Mutation;
import io.pearscale.storage.KeyValueStoreClient.Precondition;
import io.pearscale.storage.Keys;
import io.pearscale.storage.StoreReplicaActor.Entry;
import io.pearscale.storage.StoreReplicaActor.KeyChange;
import io.pearscale.transport.Actor;
import io.pearscale.transport.EventLoop;
import io.pearscale.transport.HttpClient.Reply;
import io.pearscale.transport.MessagePack;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Finds out who leads. The leader's key hangs on a grant; whoever creates it raises the durable
 * term in the same transaction. All that a leader writes is guarded by that term, and all that it
 * tells workers carries it, so that two who both think they lead can't harm each other: the
 * election is for progress only.
 *
 * <p>A leader is one from when it <em>knew</em> that it had won. It judges itself by when its last
 * good renewal was <em>sent</em>.
 */
public final class ElectionActor extends Actor<ElectionActor.Message> {
  /**
   * A leader whose links are refused writes more often than this, see {@link
   * #STORE_HEARTBEAT_INTERVAL}.
   */
  private static final Duration LEADER_PROBE_INTERVAL = Duration.ofMillis(700);

  /** A leader whose renewals stay out for so long asks its peers. */
  private static final Duration CONFIRMATION_TIMEOUT = Duration.ofMillis(1200);

  private static final Duration SETTLE_DELAY = Duration.ofMillis(150);

  /** How often a leader shows that it lives, while a peer can't be reached. */
  public static final Duration STORE_HEARTBEAT_INTERVAL = Duration.ofMillis(200);

  /** What the actor understands. */
  public sealed interface Message {}

  /** The replica was loaded. */
  public record Loaded(Map<String, Entry> entries) implements Message {}

  /** Keys changed. */
  public record KeysChanged(List<KeyChange> changes) implements Message {}

  /** Somebody has seen a higher term: a worker's token, or a peer. */
  public record HigherTermSeen(long term) implements Message {}

  /**
   * A peer says who leads. Others take its word only while they can't ask the state service; a
   * leader learns from it whom its own election has reached.
   */
  public record LeaderAnnounced(String peer, long term, String leader) implements Message {}

  /** A peer refuses connections: its process may have ended. */
  public record PeerConnectionRefused(String peer) implements Message {}

  /** A peer's word, see {@link #requestConfirmations}. */
  public record PeerConfirmed(
      String peer, long nonce, long term, List<String> cancelledJobs, Optional<LiveJobs> liveJobs)
      implements Message {}

  /** A record that a leader needs can't be read here. */
  public record RecordUnreadable(String reason) implements Message {}

  private record FirstTermProbe(long term, String peer, Reply reply) implements Message {}

  private record SecondTermProbe(long term, String peer, long revision, Reply reply)
      implements Message {}

  private record RenewalDue(int round) implements Message {}

  private record CampaignDue(int round) implements Message {}

  private record LeaseGranted(int round, Reply reply) implements Message {}

  private record ElectionAnswered(int round, Reply reply) implements Message {}

  private record LeaseRenewalAnswered(int round, Instant sentAt, Reply reply) implements Message {}

  private record ProofExpired(int round) implements Message {}

  /** Is told who leads. */
  public interface Listener {
    /** This controller leads from now on. */
    void elected(long term, long termRevision, Instant provenAt);

    /** The state service has confirmed that this controller still led when it was asked. */
    void leadershipProven(Instant provenAt);

    /**
     * All peers have confirmed the same. They named the jobs that they told as cancelled lately,
     * and those that have started since our copy ends say which jobs were live by then.
     */
    void confirmedByPeers(Instant provenAt, Set<String> cancelledJobs, List<LiveJobs> liveJobs);

    /**
     * All peers have said since the election that they know of it. Whoever says so leads in no
     * older term: it has stepped down before, or is a later life of a process that has ended.
     */
    void electionAcknowledged();

    /** All peers are to be asked for their word. */
    void requestConfirmations(long nonce);

    /** This controller does not lead any more. */
    void leadershipLost(long term);

    /** The leader as far as known; empty while there is none. */
    void leaderChanged(long term, Optional<String> name);
  }

  private final KeyValueStoreClient store;
  private final LeaderLeaseRenewer leaseRenewer;
  private final Settings settings;
  private final RandomGenerator random;
  private final List<Listener> listeners;
  private final Supplier<Optional<String>> levelObjection;
  private final String processNonce;

  /** Why this controller can't lead although its build supports the level in force. */
  private Optional<String> unreadableRecord = Optional.empty();

  /** The reason for staying out that was logged last. */
  private Optional<String> loggedExclusion = Optional.empty();

  private boolean loaded;
  private Optional<Entry> leaderEntry = Optional.empty();
  private Optional<Entry> termEntry = Optional.empty();
  private int round;
  private boolean campaigning;
  private boolean leading;
  private long leaseId;
  private long term;
  private Instant provenAt = Instant.MIN;
  private long confirmationNonce;
  private Instant confirmationRequestedAt = Instant.MIN;
  private final Set<String> confirmedPeers = new HashSet<>();
  private final Set<String> cancelledJobs = new HashSet<>();
  private final List<LiveJobs> liveJobs = new ArrayList<>();

  /** The highest term that a peer has told us of. */
  private long highestAnnouncedTerm;

  /** Peers that have said that they know of our election. */
  private final Set<String> acknowledgedPeers = new HashSet<>();

  /**
   * Takes part in elections.
   *
   * @param levelObjection why this build must not take part under the stored level, if it must not
   * @param listeners are told of the outcome
   */
  public ElectionActor(
      EventLoop loop,
      KeyValueStoreClient store,
      LeaderLeaseRenewer leaseRenewer,
      Settings settings,
      RandomGenerator random,
      Supplier<Optional<String>> levelObjection,
      List<Listener> listeners) {
    super(loop);
    this.store = store;
    this.leaseRenewer = leaseRenewer;
    this.settings = settings;
    this.random = random;
    this.levelObjection = levelObjection;
    this.listeners = listeners;
    this.processNonce = Long.toHexString(random.nextLong());
    // An answer to a question of a former life must not pass for one to ours.
    this.confirmationNonce = random.nextLong() >>> 1;
  }

  @Override
  protected void receive(Message message) {
    if (message instanceof Loaded m) {
      loaded = true;
      unreadableRecord = Optional.empty();
      leaderEntry = Optional.ofNullable(m.entries.get(Keys.LEADER));
      termEntry = Optional.ofNullable(m.entries.get(Keys.TERM));
      evaluate();
    } else if (message instanceof KeysChanged m) {
      boolean ours = false;
      for (KeyChange c : m.changes) {
        if (Keys.isRequiredToLead(c.key()) && unreadableRecord.isPresent()) {
          // Perhaps it can be read now; a new leader reads all anew in any case.
          unreadableRecord = Optional.empty();
          ours = true;
        } else if (c.key().equals(Keys.LEVEL)) {
          ours = true;
        } else if (c.key().equals(Keys.LEADER)) {
          leaderEntry = c.entry();
          ours = true;
        } else if (c.key().equals(Keys.TERM)) {
          termEntry = c.entry();
          ours = true;
        }
      }
      if (ours) {
        evaluate();
      }
    } else if (message instanceof HigherTermSeen m) {
      if (leading && m.term > term) {
        log.warn("event=higher_term_seen term={} seen={}", term, m.term);
        stepDown("higher_term");
      }
    } else if (message instanceof RecordUnreadable m) {
      unreadableRecord = Optional.of(m.reason);
      evaluate();
    } else if (message instanceof LeaderAnnounced m) {
      leaderAnnounced(m);
    } else if (message instanceof PeerConnectionRefused m) {
      peerConnectionRefused(m.peer);
    } else if (message instanceof PeerConfirmed m) {
      peerConfirmed(m);
    } else if (message instanceof FirstTermProbe m) {
      firstTermProbe(m);
    } else if (message instanceof SecondTermProbe m) {
      secondTermProbe(m);
    } else if (message instanceof CampaignDue m && m.round == round) {
      campaign();
    } else if (message instanceof LeaseGranted m && m.round == round) {
      leaseGranted(m.reply);
    } else if (message instanceof ElectionAnswered m && m.round == round) {
      electionAnswered(m.reply);
    } else if (message instanceof RenewalDue m && m.round == round && leading) {
      renewalDue();
    } else if (message instanceof LeaseRenewalAnswered m && m.round == round && leading) {
      leaseRenewalAnswered(m);
    } else if (message instanceof ProofExpired m && m.round == round && leading) {
      proofExpired();
    }
  }

  private long knownTerm() {
    return termEntry.map(e -> e.value().path("term").asLong()).orElse(0L);
  }

  /** Looks at what the state service holds and acts on it. */
  private void evaluate() {
    if (abstains()) {
      return;
    }
    if (leading) {
      if (knownTerm() > term) {
        stepDown("other_leader");
      }
      return;
    }
    if (leaderEntry.isEmpty()) {
      listeners.forEach(l -> l.leaderChanged(knownTerm(), Optional.empty()));
      if (!campaigning) {
        scheduleCampaign(Duration.ofMillis(random.nextInt(60)));
      }
      return;
    }
    var value = leaderEntry.get().value();
    String name = value.path("node").asText();
    if (name.equals(settings.host())) {
      if (value.path("nonce").asText().equals(processNonce)
          && value.path("grant").asLong() == leaseId) {
        // Our transaction went through although its answer got lost.
        beginLeading(value.path("term").asLong(), leaderEntry.get().revision());
      } else if (!campaigning) {
        // A former life of this process, or a try that was given up: nobody keeps that grant.
        store.revokeLease(value.path("grant").asLong(), r -> {});
        scheduleCampaign(Duration.ofMillis(500));
      }
      return;
    }
    round++;
    campaigning = false;
    listeners.forEach(l -> l.leaderChanged(knownTerm(), Optional.of(name)));
  }

  /**
   * Whether this controller may not lead: its build does not support the level of what is stored,
   * or a record that a leader needs can't be read. It still learns who leads, so as to relay
   * reports.
   */
  private boolean abstains() {
    Optional<String> reason = levelObjection.get().or(() -> unreadableRecord);
    if (!reason.equals(loggedExclusion)) {
      loggedExclusion = reason;
      log.warn("event=stays_out reason={}", reason.orElse("none any more"));
    }
    if (reason.isEmpty()) {
      return false;
    }
    if (leading) {
      long given = leaseId;
      stepDown("stays_out");
      store.revokeLease(given, r -> {});
    }
    round++;
    campaigning = false;
    Optional<String> other =
        leaderEntry
            .map(e -> e.value().path("node").asText())
            .filter(name -> !name.equals(settings.host()));
    listeners.forEach(l -> l.leaderChanged(knownTerm(), other));
    return true;
  }

  private void leaderAnnounced(LeaderAnnounced m) {
    highestAnnouncedTerm = Math.max(highestAnnouncedTerm, m.term);
    if (leading && m.term > term) {
      stepDown("peer_has_higher_term");
    } else if (leading) {
      if (m.term == term
          && acknowledgedPeers.add(m.peer)
          && acknowledgedPeers.containsAll(settings.peers().keySet())) {
        listeners.forEach(Listener::electionAcknowledged);
      }
    } else if (m.term > knownTerm() && !m.leader.isEmpty()) {
      listeners.forEach(l -> l.leaderChanged(m.term, Optional.of(m.leader)));
    } else if (!loaded && m.term > 0 && !m.leader.isEmpty()) {
      listeners.forEach(l -> l.leaderChanged(m.term, Optional.of(m.leader)));
    }
  }

  private boolean isLeader(String peer, long term) {
    return !leading
        && knownTerm() == term
        && leaderEntry.map(e -> e.value().path("node").asText().equals(peer)).orElse(false);
  }

  /**
   * A leader whose process has ended need not be waited for until its grant runs out. But a refused
   * connection proves nothing: there may be a packet filter in between. A living leader that can't
   * reach a peer raises the stamp of the term's key again and again ({@link
   * #STORE_HEARTBEAT_INTERVAL}); only when two looks at it find the same stamp is its grant
   * revoked.
   */
  private void peerConnectionRefused(String peer) {
    long t = knownTerm();
    if (isLeader(peer, t)) {
      // What it wrote last may still be on its way.
      loop.schedule(
          SETTLE_DELAY, () -> store.get(Keys.TERM, r -> tell(new FirstTermProbe(t, peer, r))));
    }
  }

  private void firstTermProbe(FirstTermProbe m) {
    if (m.reply.ok() && isLeader(m.peer, m.term)) {
      long stamp = m.reply.body().path("stamp").asLong();
      loop.schedule(
          LEADER_PROBE_INTERVAL,
          () -> store.get(Keys.TERM, r -> tell(new SecondTermProbe(m.term, m.peer, stamp, r))));
    }
  }

  private void secondTermProbe(SecondTermProbe m) {
    if (!m.reply.ok() || !isLeader(m.peer, m.term)) {
      return;
    }
    if (m.reply.body().path("stamp").asLong() == m.revision) {
      log.info("event=leader_ended term={} host={}", m.term, m.peer);
      store.revokeLease(leaderEntry.get().value().path("grant").asLong(), r -> {});
    } else {
      log.info("event=leader_only_refuses term={} host={}", m.term, m.peer);
    }
  }

  private void scheduleCampaign(Duration delay) {
    campaigning = true;
    int r = ++round;
    loop.schedule(delay.plusMillis(1), () -> tell(new CampaignDue(r)));
  }

  private void campaign() {
    if (abstains()) {
      return;
    }
    int r = round;
    if (leaderEntry.isPresent()
        && !leaderEntry.get().value().path("node").asText().equals(settings.host())) {
      campaigning = false;
      return;
    }
    store.grantLease(settings.leaderLeaseTtl(), reply -> tell(new LeaseGranted(r, reply)));
  }

  private void leaseGranted(Reply reply) {
    if (!reply.ok() || !reply.body().path("claim").isIntegralNumber()) {
      scheduleCampaign(retryDelay());
      return;
    }
    leaseId = reply.body().path("claim").asLong();
    long next = knownTerm() + 1;
    ObjectNode lead =
        MessagePack.map()
            .put("node", settings.host())
            .put("term", next)
            .put("grant", leaseId)
            .put("nonce", processNonce);
    provenAt = loop.clock().instant();
    int r = round;
    store.compareAndSwap(
        List.of(
            new Precondition(Keys.LEADER, 0),
            new Precondition(Keys.TERM, termEntry.map(Entry::revision).orElse(0L))),
        List.of(
            new Mutation(Keys.LEADER, Optional.of(lead), Optional.of(leaseId)),
            Mutation.put(Keys.TERM, MessagePack.map().put("term", next).put("node", processNonce))),
        answer -> tell(new ElectionAnswered(r, answer)));
  }

  private void electionAnswered(Reply reply) {
    if (reply.ok()) {
      beginLeading(knownTerm() + 1, reply.body().path("epoch").asLong());
      return;
    }
    // 409: somebody was first, and the watch will say who. No answer: the watch will say as well.
    campaigning = false;
    log.info("event=election_not_won status={}", reply.status());
    scheduleCampaign(reply.status() == 409 ? Duration.ofMillis(400) : retryDelay());
  }

  private Duration retryDelay() {
    return Duration.ofMillis(300 + random.nextInt(400));
  }

  private void beginLeading(long newTerm, long termStamp) {
    if (abstains()) {
      store.revokeLease(leaseId, r -> {});
      return;
    }
    if (newTerm < highestAnnouncedTerm) {
      // The news of our election were long on their way, or we stood still meanwhile. We have said
      // that we know of a newer term, and its leader relies on it that nobody leads in an older
      // one.
      log.info("event=won_too_late term={} heard={}", newTerm, highestAnnouncedTerm);
      store.revokeLease(leaseId, r -> {});
      leaseId = -1;
      scheduleCampaign(retryDelay());
      return;
    }
    round++;
    campaigning = false;
    leading = true;
    term = newTerm;
    acknowledgedPeers.clear();
    // What was read when the transaction was sent proves nothing before it was applied, and it was
    // applied after it was sent: the time of sending is a safe lower bound.
    log.info("event=elected term={} host={}", term, settings.host());
    listeners.forEach(l -> l.leaderChanged(term, Optional.of(settings.host())));
    listeners.forEach(l -> l.elected(term, termStamp, provenAt));
    int r = round;
    leaseRenewer.start(leaseId, (sent, reply) -> tell(new LeaseRenewalAnswered(r, sent, reply)));
    loop.schedule(LeaderLeaseRenewer.RENEWAL_INTERVAL, () -> tell(new RenewalDue(r)));
    scheduleProofExpiry();
  }

  /** Shows that this loop goes on, and asks the peers when renewals stay out. */
  private void renewalDue() {
    int r = round;
    Instant now = loop.clock().instant();
    leaseRenewer.noteProgress();
    loop.schedule(LeaderLeaseRenewer.RENEWAL_INTERVAL, () -> tell(new RenewalDue(r)));
    if (Duration.between(provenAt, now).compareTo(CONFIRMATION_TIMEOUT) > 0) {
      requestConfirmations(now);
    }
  }

  /**
   * While the state service does not answer, running work should keep its leases, but only as long
   * as nobody else can lead. Whoever wins a newer term is one of the peers, and knows it before it
   * acts on it; so if each of them, asked now, knows no newer term, none was acted on before now.
   * The same goes for cancels: what users were told, one of the peers told them. A peer that has
   * not read the state service since it started gives no word, and one that has read it later than
   * we did says what was live then, since its former life may have told cancels that nobody else
   * knows. Each word counts from when the question was sent, and extends a proof that still holds;
   * one that has run out can only be renewed by the state service.
   */
  private void requestConfirmations(Instant sent) {
    confirmationRequestedAt = sent;
    confirmationNonce++;
    confirmedPeers.clear();
    cancelledJobs.clear();
    liveJobs.clear();
    listeners.forEach(l -> l.requestConfirmations(confirmationNonce));
  }

  private void peerConfirmed(PeerConfirmed m) {
    if (!leading || m.nonce != confirmationNonce) {
      return;
    }
    if (m.term > term) {
      stepDown("peer_has_higher_term");
      return;
    }
    confirmedPeers.add(m.peer);
    cancelledJobs.addAll(m.cancelledJobs);
    m.liveJobs.ifPresent(liveJobs::add);
    if (confirmedPeers.size() > settings.peers().size()
        && confirmationRequestedAt.isAfter(provenAt)) {
      provenAt = confirmationRequestedAt;
      Set<String> jobs = Set.copyOf(cancelledJobs);
      List<LiveJobs> lists = List.copyOf(liveJobs);
      listeners.forEach(l -> l.confirmedByPeers(provenAt, jobs, lists));
      scheduleProofExpiry();
    }
  }

  private void leaseRenewalAnswered(LeaseRenewalAnswered m) {
    if (m.reply.ok()) {
      if (m.sentAt.isAfter(provenAt)) {
        provenAt = m.sentAt;
      }
      listeners.forEach(l -> l.leadershipProven(provenAt));
      scheduleProofExpiry();
    } else if (m.reply.status() == 404) {
      stepDown("grant_ended");
    }
  }

  private void scheduleProofExpiry() {
    int r = round;
    Duration left =
        Duration.between(loop.clock().instant(), provenAt.plus(settings.renewalAuthorityTimeout()))
            .plusMillis(5);
    loop.schedule(left.isNegative() ? Duration.ofMillis(1) : left, () -> tell(new ProofExpired(r)));
  }

  private void proofExpired() {
    if (!loop.clock().instant().isBefore(provenAt.plus(settings.renewalAuthorityTimeout()))) {
      stepDown("no_proof");
    }
  }

  private void stepDown(String reason) {
    log.info("event=leadership_lost term={} reason={}", term, reason);
    leading = false;
    leaseRenewer.stop();
    round++;
    campaigning = false;
    long old = term;
    listeners.forEach(l -> l.leadershipLost(old));
    if (leaderEntry
        .filter(e -> e.value().path("nonce").asText().equals(processNonce))
        .filter(e -> e.value().path("term").asLong() == old)
        .isPresent()) {
      // The copy still shows ourselves: without it the next look would think that we had won.
      leaseId = -1;
    }
    listeners.forEach(l -> l.leaderChanged(knownTerm(), Optional.empty()));
    scheduleCampaign(retryDelay());
  }
}
