package io.pearscale.coordination;

import io.pearscale.storage.LeaderRecord;
import java.time.Duration;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the campaigns of this controller. Each campaign requests a store lease and then commits one
 * transaction that writes this controller as the leader, attached to the lease, and the next term
 * as the highest term.
 */
final class Candidacy {
  /** Matches no lease of the key-value store, because lease ids are not negative. */
  private static final long NO_LEASE = -1;

  private static final Logger LOG = LoggerFactory.getLogger(Candidacy.class);

  private final String host;
  private final StoredLeadership storedLeadership;
  private final ElectionRound round;
  private final LeadershipProof proof;
  private final ElectionEffects effects;
  private final CampaignDelays delays;

  /** Identifies this process in the stored records. */
  private final String processNonce;

  /** The id of the most recently granted lease, or {@link #NO_LEASE} once it is abandoned. */
  private long leaseId;

  /** Whether a campaign is scheduled or in progress. */
  private boolean active;

  /**
   * Creates an idle candidacy and draws the nonce that identifies this process from the generator.
   */
  Candidacy(
      String host,
      StoredLeadership storedLeadership,
      ElectionRound round,
      LeadershipProof proof,
      ElectionEffects effects,
      RandomGenerator random) {
    this.host = host;
    this.storedLeadership = storedLeadership;
    this.round = round;
    this.proof = proof;
    this.effects = effects;
    this.processNonce = Long.toHexString(random.nextLong());
    this.delays = new CampaignDelays(random);
  }

  /** Schedules a campaign after the key-value store shows that there is no leader. */
  void scheduleAfterVacancy() {
    schedule(delays.afterVacancy());
  }

  /** Schedules a campaign after a campaign without a reply or after the loss of leadership. */
  void scheduleAfterFailure() {
    schedule(delays.afterFailure());
  }

  /**
   * Revokes the lease of the leader record that a previous process of this controller wrote, and
   * schedules a campaign.
   */
  void replacePreviousProcess(LeaderRecord record) {
    effects.revokeLease(record.leaseId());
    schedule(CampaignDelays.AFTER_REVOCATION);
  }

  private void schedule(Duration delay) {
    active = true;
    effects.scheduleCampaign(round.next(), delay.plusMillis(1));
  }

  boolean isActive() {
    return active;
  }

  /** Marks the candidacy as inactive because this controller now follows or leads. */
  void withdraw() {
    active = false;
  }

  /** Requests the lease for the most recently scheduled campaign. */
  void requestLease() {
    effects.requestLease(round.current());
  }

  /**
   * Handles the reply to the lease request.
   *
   * @param granted the lease id; empty if no lease was granted
   */
  void leaseAnswered(OptionalLong granted) {
    if (granted.isEmpty()) {
      scheduleAfterFailure();
      return;
    }
    leaseId = granted.getAsLong();
    proof.beginElection();
    LeaderRecord candidate =
        new LeaderRecord(host, storedLeadership.term() + 1, leaseId, processNonce);
    effects.commitElection(round.current(), candidate, storedLeadership.termRevision());
  }

  /**
   * Handles a failed election commit. If the transaction was applied although its reply was lost,
   * the resulting change of the keys shows it.
   *
   * @param conflict whether another controller was elected first; otherwise the key-value store
   *     sent no usable reply
   * @param status the status of the reply, 0 if there was none
   */
  void campaignFailed(boolean conflict, int status) {
    LOG.info("event=election_not_won status={}", status);
    schedule(conflict ? CampaignDelays.AFTER_CONFLICT : delays.afterFailure());
  }

  /** Returns the id of the most recently granted lease. */
  long leaseId() {
    return leaseId;
  }

  void revokeLease() {
    effects.revokeLease(leaseId);
  }

  /**
   * Discards the lease id of the last campaign, so that {@link #hasWritten} no longer treats a
   * stored record of that campaign as an election win.
   */
  void abandonLease() {
    leaseId = NO_LEASE;
  }

  /** Returns whether the last campaign of this process wrote the record. */
  boolean hasWritten(LeaderRecord record) {
    return record.processNonce().equals(processNonce) && record.leaseId() == leaseId;
  }

  /** Returns whether this process wrote the record in the given term. */
  boolean isOwnRecord(LeaderRecord record, long term) {
    return record.processNonce().equals(processNonce) && record.term() == term;
  }
}
