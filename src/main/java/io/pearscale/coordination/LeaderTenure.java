package io.pearscale.coordination;

import java.time.Instant;
import java.time.InstantSource;

/**
 * One period as leader. It renews the lease and extends the proof that no other controller leads
 * ({@link LeadershipProof}). A tenure ends when another round begins.
 */
final class LeaderTenure {
  private final int round;
  private final long term;
  private final LeadershipProof proof;
  private final PeerConfirmations confirmations;
  private final InstantSource clock;
  private final ElectionEffects effects;
  private final ElectionListener listener;

  /** Creates a tenure in the given term and round; {@link #begin} starts its timers. */
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

  /** Returns the term in which this controller leads. */
  long term() {
    return term;
  }

  /** Starts the renewals of the lease and the periodic checks of the renewals and of the proof. */
  void begin(long leaseId) {
    effects.startLeaseRenewal(round, leaseId);
    effects.scheduleRenewalCheck(round);
    scheduleProofExpiry();
  }

  /**
   * Records progress of the main loop, and asks all controllers for a confirmation if no renewal
   * has succeeded recently.
   */
  void checkRenewals() {
    Instant now = clock.instant();
    effects.recordProgress();
    effects.scheduleRenewalCheck(round);
    if (proof.needsConfirmation(now)) {
      listener.requestConfirmations(confirmations.beginRequest(now));
    }
  }

  /** Extends the proof after a renewal of the lease that was requested at the given time. */
  void leaseRenewed(Instant requestedAt) {
    proof.extendTo(requestedAt);
    listener.leadershipProven(proof.provenAt());
    scheduleProofExpiry();
  }

  /** Adds the confirmation of a controller that knows of no later term. */
  void addConfirmation(ElectionActor.PeerConfirmed confirmation) {
    confirmations
        .add(confirmation)
        .filter(complete -> complete.requestedAt().isAfter(proof.provenAt()))
        .ifPresent(this::allConfirmed);
  }

  private void allConfirmed(PeerConfirmations.CompleteConfirmation complete) {
    proof.extendTo(complete.requestedAt());
    listener.confirmedByPeers(proof.provenAt(), complete.cancelledJobs(), complete.liveJobs());
    scheduleProofExpiry();
  }

  private void scheduleProofExpiry() {
    effects.scheduleProofExpiry(round, proof.expiryDelay());
  }
}
