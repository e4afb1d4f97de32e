package io.pearscale.coordination;

import io.pearscale.storage.LeaderRecord;
import java.time.Duration;

/**
 * What an {@link ElectionStateMachine} has done on its behalf. Calls are carried out in the order
 * in which they are made; whatever answers or elapses comes back as an event of the state machine.
 *
 * <p>A round is the number of an attempt to lead or of a time as leader. Answers and timers carry
 * the round that they belong to, and are void once another one has begun.
 */
interface ElectionEffects {
  /** Starts a campaign after the delay: {@link ElectionStateMachine#campaignDue}. */
  void scheduleCampaign(int round, Duration delay);

  /** Requests a store lease for a campaign: {@link ElectionStateMachine#leaseGranted}. */
  void requestLease(int round);

  /**
   * Writes the candidate as the leader and its term as the highest one, if there is no leader and
   * the term's key still has the revision: {@link ElectionStateMachine#electionAnswered}.
   */
  void commitElection(int round, LeaderRecord candidate, long termRevision);

  /** Revokes a store lease, and with it the leader's key if that is attached to it. */
  void revokeLease(long leaseId);

  /** Renews the lease periodically: {@link ElectionStateMachine#leaseRenewalAnswered}. */
  void startLeaseRenewal(int round, long leaseId);

  /** Renews the lease no longer. */
  void stopLeaseRenewal();

  /** Lets renewals go on for a while: the loop that this controller runs on makes progress. */
  void noteProgress();

  /**
   * Looks after the renewals once in a renewal interval: {@link ElectionStateMachine#renewalDue}.
   */
  void scheduleRenewalCheck(int round);

  /** Looks at the age of the proof after the delay: {@link ElectionStateMachine#proofExpiryDue}. */
  void scheduleProofExpiry(int round, Duration delay);

  /** Reads the revision of the term's key after the delay: {@link LeaderProbe#revisionRead}. */
  void probeTerm(LeaderProbe.Probe probe, Duration delay);
}
