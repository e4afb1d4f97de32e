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
 * Decides whether this controller leads. It performs no I/O: it receives events and reacts with
 * calls of {@link ElectionEffects} and {@link ElectionListener}.
 *
 * <p>The leader's key is attached to a lease of the key-value store. The controller that creates
 * the key increments the durable term in the same transaction. Every write of a leader is guarded
 * by that term, and every message of a leader to an agent carries it, so two controllers that both
 * consider themselves leader can't interfere with each other. Safety therefore does not depend on
 * the election, which only ensures progress.
 *
 * <p>A controller is the leader from the moment at which it <em>learns</em> that it has won. It
 * measures the age of its leadership proof from the time at which its last successful renewal was
 * <em>sent</em>.
 */
final class ElectionStateMachine {
  private static final Logger LOG = LoggerFactory.getLogger(ElectionStateMachine.class);

  private final String host;
  private final InstantSource clock;
  private final Eligibility eligibility;
  private final ElectionEffects effects;
  private final ElectionListener listener;
  private final StoredLeadership storedLeadership = new StoredLeadership();
  private final ElectionRound round = new ElectionRound();
  private final LeadershipProof proof;
  private final Candidacy candidacy;
  private final PeerConfirmations confirmations;
  private final LeaderProbe leaderProbe;
  private final PeerTerms peerTerms;

  /** Present if and only if this controller leads. */
  private Optional<LeaderTenure> tenure = Optional.empty();

  /**
   * Creates a follower that knows of no stored keys.
   *
   * @param random two numbers are drawn immediately, and one more for each random delay
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
    this.candidacy = new Candidacy(host, storedLeadership, round, proof, effects, random);
    this.confirmations = new PeerConfirmations(peers.size() + 1, random.nextLong() >>> 1);
    this.leaderProbe = new LeaderProbe(storedLeadership, () -> tenure.isPresent(), effects);
    this.peerTerms = new PeerTerms(peers);
  }

  /** Handles the first load or a reload of the replica of the stored keys. */
  void snapshotLoaded(Map<String, Entry> entries) {
    eligibility.snapshotLoaded();
    storedLeadership.load(entries);
    evaluate();
  }

  /** Handles changes of stored keys. */
  void keysChanged(List<KeyChange> changes) {
    boolean relevant = false;
    for (KeyChange change : changes) {
      relevant |= eligibility.keyChanged(change.key()) || storedLeadership.apply(change);
    }
    if (relevant) {
      evaluate();
    }
  }

  /**
   * Makes this controller ineligible to lead because it can't read a record that a leader needs.
   */
  void recordUnreadable(String reason) {
    eligibility.recordUnreadable(reason);
    evaluate();
  }

  /** Reacts to the stored leader and term. */
  private void evaluate() {
    if (stepDownIfIneligible()) {
      return;
    }
    if (tenure.isPresent()) {
      if (storedLeadership.term() > tenure.get().term()) {
        stepDown(StepDownReason.OTHER_LEADER_STORED);
      }
    } else if (storedLeadership.leader().isEmpty()) {
      listener.leaderChanged(storedLeadership.term(), Optional.empty());
      if (!candidacy.isActive()) {
        candidacy.scheduleAfterVacancy();
      }
    } else if (storedLeadership.leader().get().host().equals(host)) {
      evaluateOwnRecord(storedLeadership.leader().get());
    } else {
      follow(Optional.of(storedLeadership.leader().get().host()));
    }
  }

  private void evaluateOwnRecord(LeaderRecord record) {
    if (candidacy.hasWritten(record)) {
      // The reply to our election transaction was lost, but the transaction was applied.
      beginTerm(record.term(), storedLeadership.leaderRevision());
    } else if (!candidacy.isActive()) {
      // A previous process or an abandoned campaign wrote the record, so nothing renews its lease.
      candidacy.replacePreviousProcess(record);
    }
  }

  private void follow(Optional<String> leader) {
    round.next();
    candidacy.withdraw();
    listener.leaderChanged(storedLeadership.term(), leader);
  }

  /**
   * Steps down and withdraws any campaign if this controller may not lead. The listener still
   * learns which other controller leads, because heartbeats are relayed to that controller.
   *
   * @return whether this controller may not lead
   */
  private boolean stepDownIfIneligible() {
    if (eligibility.mayLead()) {
      return false;
    }
    if (tenure.isPresent()) {
      long ownLease = candidacy.leaseId();
      stepDown(StepDownReason.INCOMPATIBLE_BUILD);
      effects.revokeLease(ownLease);
    }
    follow(storedLeadership.leader().map(LeaderRecord::host).filter(name -> !name.equals(host)));
    return true;
  }

  /** Starts the campaign that was scheduled in the given round. */
  void campaignDue(int eventRound) {
    if (!round.isCurrent(eventRound) || stepDownIfIneligible()) {
      return;
    }
    if (storedLeadership.leader().isPresent()
        && !storedLeadership.leader().get().host().equals(host)) {
      candidacy.withdraw();
      return;
    }
    candidacy.requestLease();
  }

  /** Handles the reply to a lease request; empty if no lease was granted. */
  void leaseAnswered(int eventRound, OptionalLong granted) {
    if (round.isCurrent(eventRound)) {
      candidacy.leaseAnswered(granted);
    }
  }

  /** Handles the successful commit of an election at the given revision. */
  void electionWon(int eventRound, long revision) {
    if (round.isCurrent(eventRound)) {
      beginTerm(storedLeadership.term() + 1, revision);
    }
  }

  /**
   * Handles an election commit that is not known to have succeeded; see {@link
   * Candidacy#campaignFailed}.
   */
  void electionFailed(int eventRound, boolean conflict, int status) {
    if (round.isCurrent(eventRound)) {
      candidacy.campaignFailed(conflict, status);
    }
  }

  private void beginTerm(long term, long termRevision) {
    if (stepDownIfIneligible()) {
      candidacy.revokeLease();
      return;
    }
    if (term < peerTerms.highest()) {
      // The election result arrived late, or this process was paused. This controller has already
      // announced that it knows of a newer term, and the leader of that term relies on no
      // controller leading in an older one.
      LOG.info("event=election_result_expired term={} seen={}", term, peerTerms.highest());
      candidacy.revokeLease();
      candidacy.abandonLease();
      candidacy.scheduleAfterFailure();
      return;
    }
    candidacy.withdraw();
    peerTerms.beginTerm();
    LeaderTenure newTenure =
        new LeaderTenure(round.next(), term, proof, confirmations, clock, effects, listener);
    tenure = Optional.of(newTenure);
    LOG.info("event=elected term={} host={}", term, host);
    listener.leaderChanged(term, Optional.of(host));
    listener.elected(term, termRevision, proof.provenAt());
    newTenure.begin(candidacy.leaseId());
  }

  private Optional<LeaderTenure> tenureInRound(int eventRound) {
    return round.isCurrent(eventRound) ? tenure : Optional.empty();
  }

  /** Checks the renewals of the leader's lease. */
  void renewalDue(int eventRound) {
    tenureInRound(eventRound).ifPresent(LeaderTenure::checkRenewals);
  }

  /** Handles a renewal of the leader's lease that was requested at the given time. */
  void leaseRenewed(int eventRound, Instant requestedAt) {
    tenureInRound(eventRound).ifPresent(leader -> leader.leaseRenewed(requestedAt));
  }

  /** Steps down because the leader's lease no longer exists in the key-value store. */
  void leaseExpired(int eventRound) {
    tenureInRound(eventRound).ifPresent(leader -> stepDown(StepDownReason.LEASE_EXPIRED));
  }

  /** Steps down if the leadership proof has expired. */
  void proofExpiryDue(int eventRound) {
    if (tenureInRound(eventRound).isPresent() && proof.isExpired()) {
      stepDown(StepDownReason.PROOF_EXPIRED);
    }
  }

  /** Handles the confirmation of a peer or of this controller itself. */
  void peerConfirmed(ElectionActor.PeerConfirmed confirmation) {
    if (tenure.isEmpty() || !confirmations.isCurrent(confirmation.nonce())) {
      return;
    }
    if (confirmation.term() > tenure.get().term()) {
      stepDown(StepDownReason.PEER_HAS_HIGHER_TERM);
    } else {
      tenure.get().addConfirmation(confirmation);
    }
  }

  /** Ends the current term; must only be called while this controller leads. */
  private void stepDown(StepDownReason reason) {
    long term = tenure.orElseThrow().term();
    LOG.info("event=leadership_lost term={} reason={}", term, reason.logValue());
    tenure = Optional.empty();
    effects.stopLeaseRenewal();
    round.next();
    listener.leadershipLost(term);
    if (storedLeadership
        .leader()
        .filter(record -> candidacy.isOwnRecord(record, term))
        .isPresent()) {
      // The replica still shows this controller as the leader. If the candidacy kept its lease id,
      // the next evaluation would treat that record as an election win.
      candidacy.abandonLease();
    }
    listener.leaderChanged(storedLeadership.term(), Optional.empty());
    candidacy.scheduleAfterFailure();
  }

  /**
   * Steps down if an agent's fencing token shows that a controller leads, or led, in a higher term.
   */
  void higherTermSeen(long seenTerm) {
    if (tenure.isPresent() && seenTerm > tenure.get().term()) {
      LOG.warn("event=higher_term_seen term={} seen={}", tenure.get().term(), seenTerm);
      stepDown(StepDownReason.HIGHER_TERM_SEEN);
    }
  }

  /**
   * Handles the announcement by a peer of the highest term that it knows and the leader of that
   * term. A follower uses the announced leader if the term is higher than the stored one, for
   * example while the follower can't reach the key-value store. A leader learns which peers know of
   * its election.
   */
  void leaderAnnounced(String peer, long announcedTerm, Optional<String> leader) {
    peerTerms.recordAnnouncedTerm(announcedTerm);
    if (tenure.isPresent()) {
      long term = tenure.get().term();
      if (announcedTerm > term) {
        stepDown(StepDownReason.PEER_HAS_HIGHER_TERM);
      } else if (announcedTerm == term && peerTerms.acknowledge(peer)) {
        listener.electionAcknowledged();
      }
    } else if (leader.isPresent() && announcedTerm > storedLeadership.term()) {
      listener.leaderChanged(announcedTerm, leader);
    }
  }

  /** Returns the probe that checks whether a leader that refuses connections has ended. */
  LeaderProbe leaderProbe() {
    return leaderProbe;
  }
}
