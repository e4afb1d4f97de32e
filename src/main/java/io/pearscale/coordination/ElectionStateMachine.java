package io.pearscale.coordination;

import io.pearscale.protocol.Settings;
import io.pearscale.storage.LeaderRecord;
import io.pearscale.storage.StoreReplicaActor.Entry;
import io.pearscale.storage.StoreReplicaActor.KeyChange;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decides who leads, without any I/O: takes events, and answers them by calls of {@link
 * ElectionEffects} and {@link ElectionListener}.
 *
 * <p>The leader's key is attached to a lease of the key-value store; whoever creates it increments
 * the durable term in the same transaction. All that a leader writes is guarded by that term, and
 * all that it tells agents carries it, so that two who both think they lead can't harm each other:
 * the election is for progress only.
 *
 * <p>A leader is one from when it <em>knew</em> that it had won. It judges itself by when its last
 * successful renewal was <em>sent</em>.
 */
final class ElectionStateMachine {
  private static final Logger LOG = LoggerFactory.getLogger(ElectionStateMachine.class);

  private final String host;
  private final InstantSource clock;
  private final Eligibility eligibility;
  private final ElectionEffects effects;
  private final ElectionListener listener;
  private final StoredLeadership stored = new StoredLeadership();
  private final ElectionRound round = new ElectionRound();
  private final LeadershipProof proof;
  private final Candidacy candidacy;
  private final PeerConfirmations confirmations;
  private final LeaderProbe leaderProbe;
  private final PeerTerms peerTerms;

  /** Present exactly while this controller leads. */
  private Optional<LeaderTenure> tenure = Optional.empty();

  /**
   * Begins as a follower that knows of no stored keys.
   *
   * @param random two numbers are drawn now, and later one for each random delay
   */
  ElectionStateMachine(
      Settings settings,
      InstantSource clock,
      RandomGenerator random,
      Eligibility eligibility,
      ElectionEffects effects,
      ElectionListener listener) {
    Set<String> peers = settings.peers().keySet();
    this.host = settings.controllerName();
    this.clock = clock;
    this.eligibility = eligibility;
    this.effects = effects;
    this.listener = listener;
    this.proof = new LeadershipProof(clock, settings.renewalAuthorityTimeout());
    this.candidacy = new Candidacy(host, stored, round, proof, effects, random);
    this.confirmations = new PeerConfirmations(peers.size() + 1, random.nextLong() >>> 1);
    this.leaderProbe = new LeaderProbe(stored, () -> tenure.isPresent(), effects);
    this.peerTerms = new PeerTerms(peers);
  }

  /** The copy of the keys was loaded, for the first time or anew. */
  void snapshotLoaded(Map<String, Entry> entries) {
    eligibility.snapshotLoaded();
    stored.load(entries);
    evaluate();
  }

  /** Keys have changed. */
  void keysChanged(List<KeyChange> changes) {
    boolean relevant = false;
    for (KeyChange change : changes) {
      relevant |= eligibility.keyChanged(change.key()) || stored.apply(change);
    }
    if (relevant) {
      evaluate();
    }
  }

  /** This controller, as a leader, can't read a record that it needs. */
  void recordUnreadable(String reason) {
    eligibility.recordUnreadable(reason);
    evaluate();
  }

  /** Acts on what the key-value store holds. */
  private void evaluate() {
    if (abstains()) {
      return;
    }
    if (tenure.isPresent()) {
      if (stored.term() > tenure.get().term()) {
        stepDown(StepDownReason.OTHER_LEADER_STORED);
      }
    } else if (stored.leader().isEmpty()) {
      listener.leaderChanged(stored.term(), Optional.empty());
      if (!candidacy.isActive()) {
        candidacy.scheduleAfterVacancy();
      }
    } else if (stored.leader().get().host().equals(host)) {
      evaluateOwnRecord(stored.leader().get());
    } else {
      follow(Optional.of(stored.leader().get().host()));
    }
  }

  private void evaluateOwnRecord(LeaderRecord record) {
    if (candidacy.hasWritten(record)) {
      // Our transaction went through although its answer got lost.
      beginTerm(record.term(), stored.leaderRevision());
    } else if (!candidacy.isActive()) {
      // Of a previous process, or of a campaign that was given up: nobody renews that lease.
      candidacy.replacePreviousProcess(record);
    }
  }

  private void follow(Optional<String> leader) {
    round.next();
    candidacy.withdraw();
    listener.leaderChanged(stored.term(), leader);
  }

  /**
   * Gives up what this controller must not do while it may not lead. It still learns who leads, so
   * as to relay heartbeats.
   *
   * @return whether that is so
   */
  private boolean abstains() {
    if (eligibility.mayLead()) {
      return false;
    }
    if (tenure.isPresent()) {
      long ownLease = candidacy.leaseId();
      stepDown(StepDownReason.INCOMPATIBLE_BUILD);
      effects.revokeLease(ownLease);
    }
    follow(stored.leader().map(LeaderRecord::host).filter(name -> !name.equals(host)));
    return true;
  }

  /** It is time for the campaign of that round. */
  void campaignDue(int thatRound) {
    if (!round.isCurrent(thatRound) || abstains()) {
      return;
    }
    if (stored.leader().isPresent() && !stored.leader().get().host().equals(host)) {
      candidacy.withdraw();
      return;
    }
    candidacy.begin();
  }

  /** The key-value store has answered a request for a lease; empty if none was granted. */
  void leaseGranted(int thatRound, OptionalLong granted) {
    if (round.isCurrent(thatRound)) {
      candidacy.leaseGranted(granted);
    }
  }

  /** The election of that round was written, at that revision. */
  void electionWon(int thatRound, long revision) {
    if (round.isCurrent(thatRound)) {
      beginTerm(stored.term() + 1, revision);
    }
  }

  /** The election of that round was not written as far as known, see {@link Candidacy#notWon}. */
  void electionNotWon(int thatRound, boolean conflict, int status) {
    if (round.isCurrent(thatRound)) {
      candidacy.notWon(conflict, status);
    }
  }

  private void beginTerm(long term, long termRevision) {
    if (abstains()) {
      candidacy.revokeLease();
      return;
    }
    if (term < peerTerms.highest()) {
      // The news of our election was long under way, or we stood still meanwhile. We have reported
      // that we know of a newer term, and its leader relies on it that nobody leads in an older
      // one.
      LOG.info("event=election_result_expired term={} seen={}", term, peerTerms.highest());
      candidacy.revokeLease();
      candidacy.abandonLease();
      candidacy.scheduleAfterFailure();
      return;
    }
    candidacy.withdraw();
    peerTerms.beginTerm();
    LeaderTenure begun =
        new LeaderTenure(round.next(), term, proof, confirmations, clock, effects, listener);
    tenure = Optional.of(begun);
    LOG.info("event=elected term={} host={}", term, host);
    listener.leaderChanged(term, Optional.of(host));
    listener.elected(term, termRevision, proof.provenAt());
    begun.begin(candidacy.leaseId());
  }

  private Optional<LeaderTenure> tenureOf(int thatRound) {
    return round.isCurrent(thatRound) ? tenure : Optional.empty();
  }

  /** It is time to look after the renewals of the lease. */
  void renewalDue(int thatRound) {
    tenureOf(thatRound).ifPresent(LeaderTenure::checkRenewals);
  }

  /** The key-value store has renewed the leader's lease, as was requested at that time. */
  void leaseRenewed(int thatRound, Instant requestedAt) {
    tenureOf(thatRound).ifPresent(leader -> leader.leaseRenewed(requestedAt));
  }

  /** The key-value store knows the leader's lease no more. */
  void leaseExpired(int thatRound) {
    tenureOf(thatRound).ifPresent(leader -> stepDown(StepDownReason.LEASE_EXPIRED));
  }

  /** Gives up leadership if its last proof has expired. */
  void proofExpiryDue(int thatRound) {
    if (tenureOf(thatRound).isPresent() && proof.isExpired()) {
      stepDown(StepDownReason.PROOF_EXPIRED);
    }
  }

  /** A peer, or this controller itself, has answered a request for confirmations. */
  void peerConfirmed(ElectionActor.PeerConfirmed confirmation) {
    if (tenure.isEmpty() || !confirmations.isCurrent(confirmation.nonce())) {
      return;
    }
    if (confirmation.term() > tenure.get().term()) {
      stepDown(StepDownReason.PEER_HAS_HIGHER_TERM);
    } else {
      tenure.get().confirmed(confirmation);
    }
  }

  /** Only while this controller leads. */
  private void stepDown(StepDownReason reason) {
    long term = tenure.orElseThrow().term();
    LOG.info("event=leadership_lost term={} reason={}", term, reason.logValue());
    tenure = Optional.empty();
    effects.stopLeaseRenewal();
    round.next();
    listener.leadershipLost(term);
    if (stored.leader().filter(record -> candidacy.isOwn(record, term)).isPresent()) {
      // The copy still shows ourselves: without it the next evaluation would think that we had won.
      candidacy.abandonLease();
    }
    listener.leaderChanged(stored.term(), Optional.empty());
    candidacy.scheduleAfterFailure();
  }

  /** An agent's fencing token shows that somebody leads, or led, in that term. */
  void higherTermSeen(long seenTerm) {
    if (tenure.isPresent() && seenTerm > tenure.get().term()) {
      LOG.warn("event=higher_term_seen term={} seen={}", tenure.get().term(), seenTerm);
      stepDown(StepDownReason.HIGHER_TERM_SEEN);
    }
  }

  /**
   * A peer announces the highest term that it knows, and who leads in it, if anybody. A controller
   * that can't ask the key-value store believes it; a leader learns from it which peers know of its
   * own election.
   */
  void leaderAnnounced(String peer, long announcedTerm, Optional<String> leader) {
    peerTerms.announced(announcedTerm);
    if (tenure.isPresent()) {
      long term = tenure.get().term();
      if (announcedTerm > term) {
        stepDown(StepDownReason.PEER_HAS_HIGHER_TERM);
      } else if (announcedTerm == term && peerTerms.acknowledge(peer)) {
        listener.electionAcknowledged();
      }
    } else if (leader.isPresent() && announcedTerm > stored.term()) {
      listener.leaderChanged(announcedTerm, leader);
    }
  }

  /** Decides on leaders whose connections are refused. */
  LeaderProbe leaderProbe() {
    return leaderProbe;
  }
}
