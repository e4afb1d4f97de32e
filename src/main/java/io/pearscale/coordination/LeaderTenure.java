package io.pearscale.coordination;

import java.time.Instant;
import java.time.InstantSource;

/**
 * One time as leader: has the lease renewed, and keeps the proof that no other controller leads
 * ({@link LeadershipProof}). It ends as soon as another round begins.
 */
final class LeaderTenure {
  private final int round;
  private final long term;
  private final LeadershipProof proof;
  private final PeerConfirmations confirmations;
  private final InstantSource clock;
  private final ElectionEffects effects;
  private final ElectionListener listener;

  /** A tenure in that term and round; {@link #begin} starts its timers. */
  LeaderTenure(
      int round,
      long term,
      LeadershipProof proof,
      PeerConfirmations confirmations,
      InstantSource clock,
      ElectionEffects effects,
      ElectionListener listener) {
    this.round = round;
    this.term = term;
    this.proof = proof;
    this.confirmations = confirmations;
    this.clock = clock;
    this.effects = effects;
    this.listener = listener;
  }

  /** The term that this controller leads in. */
  long term() {
    return term;
  }

  /** Starts the renewals of the lease, and the watch over them. */
  void begin(long leaseId) {
    effects.startLeaseRenewal(round, leaseId);
    effects.scheduleRenewalCheck(round);
    scheduleProofExpiry();
  }

  /** Shows that this loop makes progress, and asks all controllers when renewals stay out. */
  void checkRenewals() {
    Instant now = clock.instant();
    effects.noteProgress();
    effects.scheduleRenewalCheck(round);
    if (proof.needsConfirmation(now)) {
      listener.requestConfirmations(confirmations.beginRequest(now));
    }
  }

  /** The key-value store has renewed the lease, as was requested at that time. */
  void leaseRenewed(Instant requestedAt) {
    proof.extendTo(requestedAt);
    listener.leadershipProven(proof.provenAt());
    scheduleProofExpiry();
  }

  /** A controller that knows of no later term has confirmed the last request. */
  void confirmed(ElectionActor.PeerConfirmed confirmation) {
    confirmations
        .add(confirmation)
        .filter(confirmed -> confirmed.requestedAt().isAfter(proof.provenAt()))
        .ifPresent(this::allConfirmed);
  }

  private void allConfirmed(PeerConfirmations.Confirmed confirmed) {
    proof.extendTo(confirmed.requestedAt());
    listener.confirmedByPeers(proof.provenAt(), confirmed.cancelledJobs(), confirmed.liveJobs());
    scheduleProofExpiry();
  }

  private void scheduleProofExpiry() {
    effects.scheduleProofExpiry(round, proof.expiryDelay());
  }
}
