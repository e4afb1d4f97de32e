package io.pearscale.coordination;

import io.pearscale.protocol.PeerMessage.LiveJobs;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Collects the confirmations with which all controllers together extend a leader's proof while the
 * key-value store does not answer.
 *
 * <p>While the store is out running work should keep its leases, but only as long as nobody else
 * can lead. Whoever wins a newer term is one of the controllers, and knows it before it acts on it;
 * so if each of them, asked now, knows no newer term, none was acted on before now. The same goes
 * for cancellations: what users were told, one of the controllers told them. A controller that has
 * not loaded the keys since it started gives no confirmation, and one that has loaded them later
 * than the leader names what was live then, since its previous process may have acknowledged
 * cancellations that nobody else knows.
 *
 * <p>Hence two rules. Only confirmations of one and the same request count together, and they prove
 * what was the case when that request was <em>sent</em>. And the proof extends one that still
 * holds; one that has expired is renewed by the key-value store alone ({@code Leadership}).
 */
final class PeerConfirmations {
  /** How many controllers have to confirm, the leader itself included. */
  private final int controllerCount;

  private long nonce;
  private Instant requestedAt = Instant.MIN;
  private final Set<String> confirmedControllers = new HashSet<>();
  private final Set<String> cancelledJobs = new HashSet<>();
  private final List<LiveJobs> liveJobs = new ArrayList<>();

  /**
   * What all controllers have confirmed: none of them led in a later term when the request was
   * sent.
   *
   * @param requestedAt when the request was sent
   * @param cancelledJobs the jobs whose cancellation any of them acknowledged to users lately
   * @param liveJobs the jobs that were live, from each one that loaded the keys later than the
   *     leader
   */
  record Confirmed(Instant requestedAt, Set<String> cancelledJobs, List<LiveJobs> liveJobs) {}

  /**
   * Nothing is requested yet.
   *
   * @param firstNonce drawn at random, so that an answer to a request of an earlier process of this
   *     controller is not taken for one to ours
   */
  PeerConfirmations(int controllerCount, long firstNonce) {
    this.controllerCount = controllerCount;
    this.nonce = firstNonce;
  }

  /** Begins a request, sent now; what was confirmed for an earlier one is void. */
  long beginRequest(Instant now) {
    requestedAt = now;
    nonce++;
    confirmedControllers.clear();
    cancelledJobs.clear();
    liveJobs.clear();
    return nonce;
  }

  /** Whether the nonce is that of the last request. */
  boolean isCurrent(long requestNonce) {
    return nonce == requestNonce;
  }

  /**
   * A controller has confirmed the last request.
   *
   * @return what all have confirmed, once all have
   */
  Optional<Confirmed> add(ElectionActor.PeerConfirmed confirmation) {
    confirmedControllers.add(confirmation.peer());
    cancelledJobs.addAll(confirmation.cancelledJobs());
    confirmation.liveJobs().ifPresent(liveJobs::add);
    return confirmedControllers.size() < controllerCount
        ? Optional.empty()
        : Optional.of(new Confirmed(requestedAt, Set.copyOf(cancelledJobs), List.copyOf(liveJobs)));
  }
}
