package io.pearscale.coordination;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.protocol.PeerMessage.LiveJobs;
import io.pearscale.protocol.Settings;
import io.pearscale.storage.KeyValueStoreClient;
import io.pearscale.storage.KeyValueStoreClient.Change;
import io.pearscale.storage.KeyValueStoreClient.Guard;
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
  /** A leader whose links are refused writes more often than this, see {@link #BEAT}. */
  private static final Duration SUSPICION = Duration.ofMillis(700);

  /** A leader whose renewals stay out for so long asks its peers. */
  private static final Duration DOUBT = Duration.ofMillis(1200);

  private static final Duration SETTLING = Duration.ofMillis(150);

  /** How often a leader shows that it lives, while a peer can't be reached. */
  public static final Duration BEAT = Duration.ofMillis(200);

  /** What the actor understands. */
  public sealed interface Message {}

  /** The replica was loaded. */
  public record Loaded(Map<String, Entry> all) implements Message {}

  /** Keys changed. */
  public record Changed(List<KeyChange> changes) implements Message {}

  /** Somebody has seen a higher term: a worker's token, or a peer. */
  public record HigherTerm(long term) implements Message {}

  /**
   * A peer says who leads. Others take its word only while they can't ask the state service; a
   * leader learns from it whom its own election has reached.
   */
  public record Heard(String peer, long term, String leader) implements Message {}

  /** A peer refuses connections: its process may have ended. */
  public record PeerEnded(String peer) implements Message {}

  /** A peer's word, see {@link #ask}. */
  public record Vouched(
      String peer, long nonce, long term, List<String> cancelled, Optional<LiveJobs> live)
      implements Message {}

  /** A record that a leader needs can't be read here. */
  public record Unfit(String reason) implements Message {}

  private record FirstLook(long term, String peer, Reply reply) implements Message {}

  private record SecondLook(long term, String peer, long stamp, Reply reply) implements Message {}

  private record Renew(int round) implements Message {}

  private record Stand(int round) implements Message {}

  private record Granted(int round, Reply reply) implements Message {}

  private record Elected(int round, Reply reply) implements Message {}

  private record Renewed(int round, Instant sent, Reply reply) implements Message {}

  private record Expire(int round) implements Message {}

  /** Is told who leads. */
  public interface Listener {
    /** This controller leads from now on. */
    void won(long term, long termStamp, Instant evidence);

    /** The state service has confirmed that this controller still led when it was asked. */
    void confirmed(Instant evidence);

    /**
     * All peers have confirmed the same. They named the jobs that they told as cancelled lately,
     * and those that have started since our copy ends say which jobs were live by then.
     */
    void vouched(Instant evidence, Set<String> cancelled, List<LiveJobs> live);

    /**
     * All peers have said since the election that they know of it. Whoever says so leads in no
     * older term: it has stepped down before, or is a later life of a process that has ended.
     */
    void acknowledged();

    /** All peers are to be asked for their word. */
    void ask(long nonce);

    /** This controller does not lead any more. */
    void lost(long term);

    /** The leader as far as known; empty while there is none. */
    void leader(long term, Optional<String> name);
  }

  private final KeyValueStoreClient state;
  private final LeaderLeaseRenewer keeper;
  private final Settings settings;
  private final RandomGenerator random;
  private final List<Listener> listeners;
  private final Supplier<Optional<String>> objection;
  private final String nonce;

  /** Why this controller can't lead although its build supports the level in force. */
  private Optional<String> unfit = Optional.empty();

  /** The reason for staying out that was logged last. */
  private Optional<String> loggedReason = Optional.empty();

  private boolean loaded;
  private Optional<Entry> leadEntry = Optional.empty();
  private Optional<Entry> termEntry = Optional.empty();
  private int round;
  private boolean standing;
  private boolean leading;
  private long grant;
  private long term;
  private Instant evidence = Instant.MIN;
  private long question;
  private Instant asked = Instant.MIN;
  private final Set<String> vouchers = new HashSet<>();
  private final Set<String> cancelled = new HashSet<>();
  private final List<LiveJobs> live = new ArrayList<>();

  /** The highest term that a peer has told us of. */
  private long highestHeard;

  /** Peers that have said that they know of our election. */
  private final Set<String> aware = new HashSet<>();

  /**
   * Takes part in elections.
   *
   * @param objection why this build must not take part under the stored level, if it must not
   * @param listeners are told of the outcome
   */
  public ElectionActor(
      EventLoop loop,
      KeyValueStoreClient state,
      LeaderLeaseRenewer keeper,
      Settings settings,
      RandomGenerator random,
      Supplier<Optional<String>> objection,
      List<Listener> listeners) {
    super(loop);
    this.state = state;
    this.keeper = keeper;
    this.settings = settings;
    this.random = random;
    this.objection = objection;
    this.listeners = listeners;
    this.nonce = Long.toHexString(random.nextLong());
    // An answer to a question of a former life must not pass for one to ours.
    this.question = random.nextLong() >>> 1;
  }

  @Override
  protected void receive(Message message) {
    if (message instanceof Loaded m) {
      loaded = true;
      unfit = Optional.empty();
      leadEntry = Optional.ofNullable(m.all.get(Keys.LEADER));
      termEntry = Optional.ofNullable(m.all.get(Keys.TERM));
      look();
    } else if (message instanceof Changed m) {
      boolean ours = false;
      for (KeyChange c : m.changes) {
        if (Keys.isNeededToLead(c.key()) && unfit.isPresent()) {
          // Perhaps it can be read now; a new leader reads all anew in any case.
          unfit = Optional.empty();
          ours = true;
        } else if (c.key().equals(Keys.LEVEL)) {
          ours = true;
        } else if (c.key().equals(Keys.LEADER)) {
          leadEntry = c.entry();
          ours = true;
        } else if (c.key().equals(Keys.TERM)) {
          termEntry = c.entry();
          ours = true;
        }
      }
      if (ours) {
        look();
      }
    } else if (message instanceof HigherTerm m) {
      if (leading && m.term > term) {
        log.warn("event=higher_term_seen term={} seen={}", term, m.term);
        stepDown("higher_term");
      }
    } else if (message instanceof Unfit m) {
      unfit = Optional.of(m.reason);
      look();
    } else if (message instanceof Heard m) {
      heard(m);
    } else if (message instanceof PeerEnded m) {
      peerEnded(m.peer);
    } else if (message instanceof Vouched m) {
      vouched(m);
    } else if (message instanceof FirstLook m) {
      firstLook(m);
    } else if (message instanceof SecondLook m) {
      secondLook(m);
    } else if (message instanceof Stand m && m.round == round) {
      stand();
    } else if (message instanceof Granted m && m.round == round) {
      granted(m.reply);
    } else if (message instanceof Elected m && m.round == round) {
      elected(m.reply);
    } else if (message instanceof Renew m && m.round == round && leading) {
      renew();
    } else if (message instanceof Renewed m && m.round == round && leading) {
      renewed(m);
    } else if (message instanceof Expire m && m.round == round && leading) {
      expire();
    }
  }

  private long knownTerm() {
    return termEntry.map(e -> e.value().path("term").asLong()).orElse(0L);
  }

  /** Looks at what the state service holds and acts on it. */
  private void look() {
    if (staysOut()) {
      return;
    }
    if (leading) {
      if (knownTerm() > term) {
        stepDown("other_leader");
      }
      return;
    }
    if (leadEntry.isEmpty()) {
      listeners.forEach(l -> l.leader(knownTerm(), Optional.empty()));
      if (!standing) {
        planStand(Duration.ofMillis(random.nextInt(60)));
      }
      return;
    }
    var value = leadEntry.get().value();
    String name = value.path("node").asText();
    if (name.equals(settings.host())) {
      if (value.path("nonce").asText().equals(nonce) && value.path("grant").asLong() == grant) {
        // Our transaction went through although its answer got lost.
        win(value.path("term").asLong(), leadEntry.get().stamp());
      } else if (!standing) {
        // A former life of this process, or a try that was given up: nobody keeps that grant.
        state.revoke(value.path("grant").asLong(), r -> {});
        planStand(Duration.ofMillis(500));
      }
      return;
    }
    round++;
    standing = false;
    listeners.forEach(l -> l.leader(knownTerm(), Optional.of(name)));
  }

  /**
   * Whether this controller may not lead: its build does not support the level of what is stored,
   * or a record that a leader needs can't be read. It still learns who leads, so as to relay
   * reports.
   */
  private boolean staysOut() {
    Optional<String> reason = objection.get().or(() -> unfit);
    if (!reason.equals(loggedReason)) {
      loggedReason = reason;
      log.warn("event=stays_out reason={}", reason.orElse("none any more"));
    }
    if (reason.isEmpty()) {
      return false;
    }
    if (leading) {
      long given = grant;
      stepDown("stays_out");
      state.revoke(given, r -> {});
    }
    round++;
    standing = false;
    Optional<String> other =
        leadEntry
            .map(e -> e.value().path("node").asText())
            .filter(name -> !name.equals(settings.host()));
    listeners.forEach(l -> l.leader(knownTerm(), other));
    return true;
  }

  private void heard(Heard m) {
    highestHeard = Math.max(highestHeard, m.term);
    if (leading && m.term > term) {
      stepDown("peer_has_higher_term");
    } else if (leading) {
      if (m.term == term && aware.add(m.peer) && aware.containsAll(settings.peers().keySet())) {
        listeners.forEach(Listener::acknowledged);
      }
    } else if (m.term > knownTerm() && !m.leader.isEmpty()) {
      listeners.forEach(l -> l.leader(m.term, Optional.of(m.leader)));
    } else if (!loaded && m.term > 0 && !m.leader.isEmpty()) {
      listeners.forEach(l -> l.leader(m.term, Optional.of(m.leader)));
    }
  }

  private boolean leads(String peer, long term) {
    return !leading
        && knownTerm() == term
        && leadEntry.map(e -> e.value().path("node").asText().equals(peer)).orElse(false);
  }

  /**
   * A leader whose process has ended need not be waited for until its grant runs out. But a refused
   * connection proves nothing: there may be a packet filter in between. A living leader that can't
   * reach a peer raises the stamp of the term's key again and again ({@link #BEAT}); only when two
   * looks at it find the same stamp is its grant revoked.
   */
  private void peerEnded(String peer) {
    long t = knownTerm();
    if (leads(peer, t)) {
      // What it wrote last may still be on its way.
      loop.after(SETTLING, () -> state.read(Keys.TERM, r -> tell(new FirstLook(t, peer, r))));
    }
  }

  private void firstLook(FirstLook m) {
    if (m.reply.ok() && leads(m.peer, m.term)) {
      long stamp = m.reply.body().path("stamp").asLong();
      loop.after(
          SUSPICION,
          () -> state.read(Keys.TERM, r -> tell(new SecondLook(m.term, m.peer, stamp, r))));
    }
  }

  private void secondLook(SecondLook m) {
    if (!m.reply.ok() || !leads(m.peer, m.term)) {
      return;
    }
    if (m.reply.body().path("stamp").asLong() == m.stamp) {
      log.info("event=leader_ended term={} host={}", m.term, m.peer);
      state.revoke(leadEntry.get().value().path("grant").asLong(), r -> {});
    } else {
      log.info("event=leader_only_refuses term={} host={}", m.term, m.peer);
    }
  }

  private void planStand(Duration delay) {
    standing = true;
    int r = ++round;
    loop.after(delay.plusMillis(1), () -> tell(new Stand(r)));
  }

  private void stand() {
    if (staysOut()) {
      return;
    }
    int r = round;
    if (leadEntry.isPresent()
        && !leadEntry.get().value().path("node").asText().equals(settings.host())) {
      standing = false;
      return;
    }
    state.grant(settings.grantTime(), reply -> tell(new Granted(r, reply)));
  }

  private void granted(Reply reply) {
    if (!reply.ok() || !reply.body().path("claim").isIntegralNumber()) {
      planStand(retryDelay());
      return;
    }
    grant = reply.body().path("claim").asLong();
    long next = knownTerm() + 1;
    ObjectNode lead =
        MessagePack.map()
            .put("node", settings.host())
            .put("term", next)
            .put("grant", grant)
            .put("nonce", nonce);
    evidence = loop.clock().instant();
    int r = round;
    state.commit(
        List.of(
            new Guard(Keys.LEADER, 0),
            new Guard(Keys.TERM, termEntry.map(Entry::stamp).orElse(0L))),
        List.of(
            new Change(Keys.LEADER, Optional.of(lead), Optional.of(grant)),
            Change.write(Keys.TERM, MessagePack.map().put("term", next).put("node", nonce))),
        answer -> tell(new Elected(r, answer)));
  }

  private void elected(Reply reply) {
    if (reply.ok()) {
      win(knownTerm() + 1, reply.body().path("epoch").asLong());
      return;
    }
    // 409: somebody was first, and the watch will say who. No answer: the watch will say as well.
    standing = false;
    log.info("event=election_not_won status={}", reply.status());
    planStand(reply.status() == 409 ? Duration.ofMillis(400) : retryDelay());
  }

  private Duration retryDelay() {
    return Duration.ofMillis(300 + random.nextInt(400));
  }

  private void win(long newTerm, long termStamp) {
    if (staysOut()) {
      state.revoke(grant, r -> {});
      return;
    }
    if (newTerm < highestHeard) {
      // The news of our election were long on their way, or we stood still meanwhile. We have said
      // that we know of a newer term, and its leader relies on it that nobody leads in an older
      // one.
      log.info("event=won_too_late term={} heard={}", newTerm, highestHeard);
      state.revoke(grant, r -> {});
      grant = -1;
      planStand(retryDelay());
      return;
    }
    round++;
    standing = false;
    leading = true;
    term = newTerm;
    aware.clear();
    // What was read when the transaction was sent proves nothing before it was applied, and it was
    // applied after it was sent: the time of sending is a safe lower bound.
    log.info("event=elected term={} host={}", term, settings.host());
    listeners.forEach(l -> l.leader(term, Optional.of(settings.host())));
    listeners.forEach(l -> l.won(term, termStamp, evidence));
    int r = round;
    keeper.keep(grant, (sent, reply) -> tell(new Renewed(r, sent, reply)));
    loop.after(LeaderLeaseRenewer.INTERVAL, () -> tell(new Renew(r)));
    planExpiry();
  }

  /** Shows that this loop goes on, and asks the peers when renewals stay out. */
  private void renew() {
    int r = round;
    Instant now = loop.clock().instant();
    keeper.progress();
    loop.after(LeaderLeaseRenewer.INTERVAL, () -> tell(new Renew(r)));
    if (Duration.between(evidence, now).compareTo(DOUBT) > 0) {
      ask(now);
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
  private void ask(Instant sent) {
    asked = sent;
    question++;
    vouchers.clear();
    cancelled.clear();
    live.clear();
    listeners.forEach(l -> l.ask(question));
  }

  private void vouched(Vouched m) {
    if (!leading || m.nonce != question) {
      return;
    }
    if (m.term > term) {
      stepDown("peer_has_higher_term");
      return;
    }
    vouchers.add(m.peer);
    cancelled.addAll(m.cancelled);
    m.live.ifPresent(live::add);
    if (vouchers.size() > settings.peers().size() && asked.isAfter(evidence)) {
      evidence = asked;
      Set<String> jobs = Set.copyOf(cancelled);
      List<LiveJobs> lists = List.copyOf(live);
      listeners.forEach(l -> l.vouched(evidence, jobs, lists));
      planExpiry();
    }
  }

  private void renewed(Renewed m) {
    if (m.reply.ok()) {
      if (m.sent.isAfter(evidence)) {
        evidence = m.sent;
      }
      listeners.forEach(l -> l.confirmed(evidence));
      planExpiry();
    } else if (m.reply.status() == 404) {
      stepDown("grant_ended");
    }
  }

  private void planExpiry() {
    int r = round;
    Duration left =
        Duration.between(loop.clock().instant(), evidence.plus(settings.hold())).plusMillis(5);
    loop.after(left.isNegative() ? Duration.ofMillis(1) : left, () -> tell(new Expire(r)));
  }

  private void expire() {
    if (!loop.clock().instant().isBefore(evidence.plus(settings.hold()))) {
      stepDown("no_proof");
    }
  }

  private void stepDown(String reason) {
    log.info("event=leadership_lost term={} reason={}", term, reason);
    leading = false;
    keeper.release();
    round++;
    standing = false;
    long old = term;
    listeners.forEach(l -> l.lost(old));
    if (leadEntry
        .filter(e -> e.value().path("nonce").asText().equals(nonce))
        .filter(e -> e.value().path("term").asLong() == old)
        .isPresent()) {
      // The copy still shows ourselves: without it the next look would think that we had won.
      grant = -1;
    }
    listeners.forEach(l -> l.leader(knownTerm(), Optional.empty()));
    planStand(retryDelay());
  }
}
