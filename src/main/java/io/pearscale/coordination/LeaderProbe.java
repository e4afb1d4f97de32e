package io.pearscale.coordination;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decides whether a leader whose connections are refused has ended, so that its lease need not be
 * waited for. A refused connection alone proves nothing: there may be a packet filter in between. A
 * living leader that can't reach a peer increments the revision of the term's key at least once in
 * {@link ElectionActor#STORE_HEARTBEAT_INTERVAL}; only if two reads of it, {@link #PROBE_INTERVAL}
 * apart, find the same revision is its lease revoked.
 */
final class LeaderProbe {
  /** What a leader that has ended wrote last may be under way for so long. */
  private static final Duration SETTLE_DELAY = Duration.ofMillis(150);

  /** Between the two reads; longer than the interval in which a leader writes. */
  private static final Duration PROBE_INTERVAL = Duration.ofMillis(700);

  private static final Logger LOG = LoggerFactory.getLogger(LeaderProbe.class);

  private final StoredLeadership storedLeadership;
  private final BooleanSupplier leading;
  private final ElectionEffects effects;

  /**
   * A read of the term's key that is under way.
   *
   * @param firstRevision what the first read found; empty if this is the first one
   */
  record Probe(String peer, long term, OptionalLong firstRevision) {}

  /**
   * Makes a probe that is idle until {@link #start}.
   *
   * @param leading whether this controller leads itself; then it probes nobody
   */
  LeaderProbe(StoredLeadership storedLeadership, BooleanSupplier leading, ElectionEffects effects) {
    this.storedLeadership = storedLeadership;
    this.leading = leading;
    this.effects = effects;
  }

  /** A peer refuses connections: probes it if it leads. */
  void start(String peer) {
    long term = storedLeadership.term();
    if (isLeader(peer, term)) {
      effects.probeTerm(new Probe(peer, term, OptionalLong.empty()), SETTLE_DELAY);
    }
  }

  /**
   * The revision of the term's key was read; does nothing if another controller leads by now.
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

  private boolean isLeader(String peer, long term) {
    return !leading.getAsBoolean() && storedLeadership.isLeader(peer, term);
  }
}
