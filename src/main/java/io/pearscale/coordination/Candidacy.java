package io.pearscale.coordination;

import io.pearscale.storage.LeaderRecord;
import java.time.Duration;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The campaigns of this controller: each requests a store lease, and writes with it, in one
 * transaction, this controller as the leader and the next term as the highest one.
 */
final class Candidacy {
  /** No lease of the key-value store: ids of leases are not negative. */
  private static final long NO_LEASE = -1;

  private static final Logger LOG = LoggerFactory.getLogger(Candidacy.class);

  private final String host;
  private final StoredLeadership storedLeadership;
  private final ElectionRound round;
  private final LeadershipProof proof;
  private final ElectionEffects effects;
  private final CampaignDelays delays;

  /** Names this process in the stored records. */
  private final String processNonce;

  /** The lease that was granted last. */
  private long leaseId;

  /** Whether a campaign is scheduled or under way. */
  private boolean active;

  /** No campaign is scheduled yet; draws the name of this process from the generator. */
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

  /** Schedules a campaign once the key-value store shows that nobody leads. */
  void scheduleAfterVacancy() {
    schedule(delays.afterVacancy());
  }

  /** Schedules a campaign after one that got no answer, and after leadership was lost. */
  void scheduleAfterFailure() {
    schedule(delays.afterFailure());
  }

  /** Revokes the lease that a previous process of this controller leads by, and campaigns anew. */
  void replacePreviousProcess(LeaderRecord record) {
    effects.revokeLease(record.leaseId());
    schedule(CampaignDelays.AFTER_REVOCATION);
  }

  private void schedule(Duration delay) {
    active = true;
    effects.scheduleCampaign(round.next(), delay.plusMillis(1));
  }

  /** Whether a campaign is scheduled or under way. */
  boolean isActive() {
    return active;
  }

  /** This controller follows or leads: no campaign is under way any more. */
  void withdraw() {
    active = false;
  }

  /** Begins the campaign that was scheduled last. */
  void begin() {
    effects.requestLease(round.current());
  }

  /** The key-value store has answered the request for a lease; empty if none was granted. */
  void leaseGranted(OptionalLong granted) {
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
   * The election was not written as far as known. A change of the keys will show who leads.
   *
   * @param conflict another controller was first; otherwise the key-value store gave no answer
   * @param status the status of the answer, 0 if there was none
   */
  void campaignFailed(boolean conflict, int status) {
    LOG.info("event=election_not_won status={}", status);
    schedule(conflict ? CampaignDelays.AFTER_CONFLICT : delays.afterFailure());
  }

  /** The lease of the last campaign. */
  long leaseId() {
    return leaseId;
  }

  /** Revokes the lease of the last campaign. */
  void revokeLease() {
    effects.revokeLease(leaseId);
  }

  /** From now on a stored record of the last campaign is not taken for a victory. */
  void abandonLease() {
    leaseId = NO_LEASE;
  }

  /** Whether the record is the one that the last campaign has written. */
  boolean hasWritten(LeaderRecord record) {
    return record.processNonce().equals(processNonce) && record.leaseId() == leaseId;
  }

  /** Whether the record is one of this process in that term. */
  boolean isOwnRecord(LeaderRecord record, long term) {
    return record.processNonce().equals(processNonce) && record.term() == term;
  }
}
