package io.pearscale.coordination;

import io.pearscale.protocol.PeerMessage.LiveJobs;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Collects the confirmations by which all controllers together extend the leader's proof while the
 * key-value store does not answer.
 *
 * <p>During an outage of the key-value store, running work should keep its leases, but only while
 * no other controller can lead. The winner of a newer term is one of the controllers and knows of
 * that term before it acts in it. Therefore, if no controller knows of a newer term when it is
 * asked, no controller acted in one before that time. The same argument applies to cancellations:
 * one of the controllers acknowledged each of them to a user. A controller that has not loaded the
 * stored keys since it started gives no confirmation. A controller that loaded them later than the
 * leader also lists the jobs that were live at that time, since its previous process may have
 * acknowledged cancellations that no other controller knows.
 *
 * <p>Two rules follow. Only confirmations of the same request count together, and they prove the
 * state at the time when that request was <em>sent</em>. A confirmation can extend only a proof
 * that is still valid; after a proof has expired, only the key-value store can renew it ({@code
 * Leadership}).
 */
final class PeerConfirmations {
  /** Number of controllers that have to confirm, including the leader. */
  private final int controllerCount;

  private long nonce;
  private Instant requestedAt = Instant.MIN;
  private final Set<String> confirmedControllers = new HashSet<>();
  private final Set<String> cancelledJobs = new HashSet<>();
  private final List<LiveJobs> liveJobs = new ArrayList<>();

  /**
   * The confirmation that is complete because all controllers gave it: none of them led in a later
   * term when the request was sent.
   *
   * @param requestedAt the time at which the request was sent
   * @param cancelledJobs the jobs whose cancellation a controller recently acknowledged to users
   * @param liveJobs the live jobs of each controller that loaded the stored keys later than the
   *     leader
   */
  record CompleteConfirmation(
      Instant requestedAt, Set<String> cancelledJobs, List<LiveJobs> liveJobs) {}

  /**
   * Creates a collection without a request.
   *
   * @param firstNonce a random number, so that a reply to a request of an earlier process of this
   *     controller is not mistaken for a reply to a request of this process
   */
  PeerConfirmations(int controllerCount, long firstNonce) {
    this.controllerCount = controllerCount;
    this.nonce = firstNonce;
  }

  /**
   * Begins a request that is sent at the given time, and discards the confirmations of earlier
   * requests.
   *
   * @return the nonce of the request
   */
  long beginRequest(Instant now) {
    requestedAt = now;
    nonce++;
    confirmedControllers.clear();
    cancelledJobs.clear();
    liveJobs.clear();
    return nonce;
  }

  /** Returns whether the nonce identifies the latest request. */
  boolean isCurrent(long requestNonce) {
    return nonce == requestNonce;
  }

  /**
   * Adds the confirmation of the latest request by one controller.
   *
   * @return the complete confirmation; empty until all controllers have confirmed
   */
  Optional<CompleteConfirmation> add(ElectionActor.PeerConfirmed confirmation) {
    confirmedControllers.add(confirmation.peer());
    cancelledJobs.addAll(confirmation.cancelledJobs());
    confirmation.liveJobs().ifPresent(liveJobs::add);
    return confirmedControllers.size() < controllerCount
        ? Optional.empty()
        : Optional.of(
            new CompleteConfirmation(
                requestedAt, Set.copyOf(cancelledJobs), List.copyOf(liveJobs)));
  }
}
