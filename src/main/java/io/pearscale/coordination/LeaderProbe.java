package io.pearscale.coordination;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decides whether a leader that refuses connections has ended, so that its lease can be revoked
 * before it expires. A refused connection alone proves nothing, because a packet filter may refuse
 * it. A running leader that can't reach a peer increments the revision of the term's key at least
 * once in {@link ElectionActor#STORE_HEARTBEAT_INTERVAL}. The leader's lease is revoked only if two
 * reads of that key, {@link #PROBE_INTERVAL} apart, find the same revision.
 */
final class LeaderProbe {
  /**
   * Delay before the first read, during which the last writes of an ended leader can still arrive
   * at the key-value store.
   */
  private static final Duration SETTLE_DELAY = Duration.ofMillis(150);

  /** Delay between the two reads; longer than the interval in which a leader writes. */
  private static final Duration PROBE_INTERVAL = Duration.ofMillis(700);

  private static final Logger LOG = LoggerFactory.getLogger(LeaderProbe.class);

  private final StoredLeadership storedLeadership;
  private final BooleanSupplier leading;
  private final ElectionEffects effects;

  /**
   * A pending read of the term's key.
   *
   * @param firstRevision the result of the first read; empty if this is the first read
   */
  record Probe(String peer, long term, OptionalLong firstRevision) {}

  /**
   * Creates an instance that is idle until {@link #start}.
   *
   * @param leading whether this controller leads; a leader probes no peer
   */
  LeaderProbe(StoredLeadership storedLeadership, BooleanSupplier leading, ElectionEffects effects) {
    this.storedLeadership = storedLeadership;
    this.leading = leading;
    this.effects = effects;
  }

  /** Probes a peer that refuses connections if that peer is the leader. */
  void start(String peer) {
    long term = storedLeadership.term();
    if (isLeader(peer, term)) {
      effects.probeTerm(new Probe(peer, term, OptionalLong.empty()), SETTLE_DELAY);
    }
  }

  /**
   * Handles the result of a read of the term's key; does nothing if another controller leads by
   * then.
   *
   * @param revision empty if the key-value store did not answer
   */
  void revisionRead(Probe probe, OptionalLong revision) {
    if (revision.isEmpty() || !isLeader(probe.peer, probe.term)) {
      return;
    }
    if (probe.firstRevision.isEmpty()) {
      effects.probeTerm(new Probe(probe.peer, probe.term, revision), PROBE_INTERVAL);
    } else if (probe.firstRevision.equals(revision)) {
      LOG.info("event=leader_ended term={} host={}", probe.term, probe.peer);
      effects.revokeLease(storedLeadership.leader().orElseThrow().leaseId());
    } else {
      LOG.info("event=leader_only_refuses term={} host={}", probe.term, probe.peer);
    }
  }

  /** Returns whether the peer leads in the term, and this controller does not lead. */
  private boolean isLeader(String peer, long term) {
    return !leading.getAsBoolean() && storedLeadership.isLeader(peer, term);
  }
}
