package io.pearscale.coordination;

import io.pearscale.storage.LeaderRecord;
import java.time.Duration;

/**
 * The I/O and timers that an {@link ElectionStateMachine} requests. Implementations carry out calls
 * in the order in which they are made, and report each reply or elapsed timer to the state machine
 * as an event.
 *
 * <p>A round identifies one campaign or one period as follower or leader. Replies and timers carry
 * the round in which they were requested, and the state machine ignores them after another round
 * has begun.
 */
interface ElectionEffects {
  /** Reports {@link ElectionStateMachine#campaignDue} after the delay. */
  void scheduleCampaign(int round, Duration delay);

  /** Requests a store lease for a campaign; reports {@link ElectionStateMachine#leaseAnswered}. */
  void requestLease(int round);

  /**
   * Writes the candidate as the leader and its term as the highest term, on the condition that
   * there is no leader and that the term's key still has the given revision; reports {@link
   * ElectionStateMachine#electionWon} or {@link ElectionStateMachine#electionFailed}.
   */
  void commitElection(int round, LeaderRecord candidate, long termRevision);

  /**
   * Revokes a store lease, which also deletes the leader's key if the key is attached to that
   * lease.
   */
  void revokeLease(long leaseId);

  /**
   * Renews the lease periodically; reports {@link ElectionStateMachine#leaseRenewed} or {@link
   * ElectionStateMachine#leaseExpired}.
   */
  void startLeaseRenewal(int round, long leaseId);

  /** Stops the renewals of the lease. */
  void stopLeaseRenewal();

  /** Records that the main loop makes progress, which allows renewals to continue for a while. */
  void recordProgress();

  /** Reports {@link ElectionStateMachine#renewalDue} after one renewal interval. */
  void scheduleRenewalCheck(int round);

  /** Reports {@link ElectionStateMachine#proofExpiryDue} after the delay. */
  void scheduleProofExpiry(int round, Duration delay);

  /**
   * Reads the revision of the term's key after the delay; reports {@link LeaderProbe#revisionRead}.
   */
  void probeTerm(LeaderProbe.Probe probe, Duration delay);
}
