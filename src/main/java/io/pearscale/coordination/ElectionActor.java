package io.pearscale.coordination;

import io.pearscale.protocol.PeerMessage.LiveJobs;
import io.pearscale.protocol.Settings;
import io.pearscale.storage.KeyValueStoreClient;
import io.pearscale.storage.KeyValueStoreClient.Mutation;
import io.pearscale.storage.KeyValueStoreClient.Precondition;
import io.pearscale.storage.Keys;
import io.pearscale.storage.LeaderRecord;
import io.pearscale.storage.StoreReplicaActor.Entry;
import io.pearscale.storage.StoreReplicaActor.KeyChange;
import io.pearscale.storage.StoreReplies;
import io.pearscale.storage.TermRecord;
import io.pearscale.transport.Actor;
import io.pearscale.transport.EventLoop;
import io.pearscale.transport.HttpClient.Reply;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Takes part in elections. It passes messages to the {@link ElectionStateMachine} and carries out
 * the effects that the state machine requests with calls of the key-value store and timers.
 */
public final class ElectionActor extends Actor<ElectionActor.Message> {
  /**
   * Interval in which a leader increments the revision of the term's key while it can't reach a
   * peer, so that the peer does not assume that the leader's process has ended ({@link
   * LeaderProbe}).
   */
  public static final Duration STORE_HEARTBEAT_INTERVAL = Duration.ofMillis(200);

  /** The messages that this actor accepts. */
  public sealed interface Message {}

  /** The replica of the stored keys was loaded. */
  public record ReplicaLoaded(Map<String, Entry> entries) implements Message {}

  /** Stored keys changed. */
  public record KeysChanged(List<KeyChange> changes) implements Message {}

  /** An agent reported a fencing token of a higher term. */
  public record HigherTermSeen(long term) implements Message {}

  /**
   * A peer announced the highest term that it knows and the leader of that term.
   *
   * @param leader empty if the peer knows of no leader
   */
  public record LeaderAnnounced(String peer, long term, Optional<String> leader)
      implements Message {}

  /** A peer refused a connection, so its process may have ended. */
  public record PeerConnectionRefused(String peer) implements Message {}

  /**
   * A peer, or this controller itself, confirmed that it knows of no term above {@code term}; see
   * {@link PeerConfirmations}.
   *
   * @param nonce identifies the confirmation request
   * @param cancelledJobs the jobs whose cancellation the controller recently acknowledged to users
   * @param liveJobs the live jobs, if the controller loaded the stored keys later than the leader
   */
  public record PeerConfirmed(
      String peer, long nonce, long term, List<String> cancelledJobs, Optional<LiveJobs> liveJobs)
      implements Message {}

  /** This controller can't read a record that a leader needs. */
  public record RecordUnreadable(String reason) implements Message {}

  private record CampaignDue(int round) implements Message {}

  private record LeaseAnswered(int round, Reply reply) implements Message {}

  private record ElectionAnswered(int round, Reply reply) implements Message {}

  private record RenewalDue(int round) implements Message {}

  private record LeaseRenewalAnswered(int round, Instant sentAt, Reply reply) implements Message {}

  private record ProofExpiryDue(int round) implements Message {}

  private record TermProbed(LeaderProbe.Probe probe, Reply reply) implements Message {}

  private final KeyValueStoreClient store;
  private final LeaderLeaseRenewer leaseRenewer;
  private final Duration leaseTtl;
  private final ElectionStateMachine election;

  /**
   * Creates an actor that takes part in elections after it receives {@link ReplicaLoaded}.
   *
   * @param levelObjection the reason why this build must not take part under the stored schema
   *     level; empty if it may
   * @param listener receives the outcome of elections
   */
  public ElectionActor(
      EventLoop loop,
      KeyValueStoreClient store,
      LeaderLeaseRenewer leaseRenewer,
      Settings settings,
      RandomGenerator random,
      Supplier<Optional<String>> levelObjection,
      ElectionListener listener) {
    super(loop);
    this.store = store;
    this.leaseRenewer = leaseRenewer;
    this.leaseTtl = settings.leaderLeaseTtl();
    this.election =
        new ElectionStateMachine(
            settings,
            loop.clock(),
            random,
            new Eligibility(levelObjection),
            new Effects(),
            listener);
  }

  @Override
  protected void receive(Message message) {
    if (message instanceof ReplicaLoaded m) {
      election.snapshotLoaded(m.entries);
    } else if (message instanceof KeysChanged m) {
      election.keysChanged(m.changes);
    } else if (message instanceof HigherTermSeen m) {
      election.higherTermSeen(m.term);
    } else if (message instanceof RecordUnreadable m) {
      election.recordUnreadable(m.reason);
    } else if (message instanceof LeaderAnnounced m) {
      election.leaderAnnounced(m.peer, m.term, m.leader);
    } else if (message instanceof PeerConnectionRefused m) {
      election.leaderProbe().start(m.peer);
    } else if (message instanceof PeerConfirmed m) {
      election.peerConfirmed(m);
    } else {
      receiveTimerOrReply(message);
    }
  }

  /** Handles elapsed timers and replies of the key-value store. */
  private void receiveTimerOrReply(Message message) {
    if (message instanceof CampaignDue m) {
      election.campaignDue(m.round);
    } else if (message instanceof LeaseAnswered m) {
      election.leaseAnswered(m.round, StoreReplies.grantedLease(m.reply));
    } else if (message instanceof ElectionAnswered m) {
      electionAnswered(m);
    } else if (message instanceof RenewalDue m) {
      election.renewalDue(m.round);
    } else if (message instanceof LeaseRenewalAnswered m) {
      renewalAnswered(m);
    } else if (message instanceof ProofExpiryDue m) {
      election.proofExpiryDue(m.round);
    } else if (message instanceof TermProbed m) {
      election.leaderProbe().revisionRead(m.probe, StoreReplies.keyRevision(m.reply));
    }
  }

  private void electionAnswered(ElectionAnswered message) {
    if (message.reply.ok()) {
      election.electionWon(message.round, StoreReplies.committedRevision(message.reply));
    } else {
      election.electionFailed(
          message.round, StoreReplies.isConflict(message.reply), message.reply.status());
    }
  }

  private void renewalAnswered(LeaseRenewalAnswered message) {
    if (message.reply.ok()) {
      election.leaseRenewed(message.round, message.sentAt);
    } else if (StoreReplies.isNotFound(message.reply)) {
      election.leaseExpired(message.round);
    }
  }

  private final class Effects implements ElectionEffects {
    @Override
    public void scheduleCampaign(int round, Duration delay) {
      loop.schedule(delay, () -> tell(new CampaignDue(round)));
    }

    @Override
    public void requestLease(int round) {
      store.grantLease(leaseTtl, reply -> tell(new LeaseAnswered(round, reply)));
    }

    @Override
    public void commitElection(int round, LeaderRecord candidate, long termRevision) {
      store.compareAndSwap(
          List.of(new Precondition(Keys.LEADER, 0), new Precondition(Keys.TERM, termRevision)),
          List.of(
              new Mutation(
                  Keys.LEADER, Optional.of(candidate.encode()), Optional.of(candidate.leaseId())),
              Mutation.put(
                  Keys.TERM, TermRecord.ofElection(candidate.term(), candidate.processNonce()))),
          reply -> tell(new ElectionAnswered(round, reply)));
    }

    @Override
    public void revokeLease(long leaseId) {
      store.revokeLease(leaseId, reply -> {});
    }

    @Override
    public void startLeaseRenewal(int round, long leaseId) {
      leaseRenewer.start(
          leaseId, (sentAt, reply) -> tell(new LeaseRenewalAnswered(round, sentAt, reply)));
    }

    @Override
    public void stopLeaseRenewal() {
      leaseRenewer.stop();
    }

    @Override
    public void recordProgress() {
      leaseRenewer.recordProgress();
    }

    @Override
    public void scheduleRenewalCheck(int round) {
      loop.schedule(LeaderLeaseRenewer.RENEWAL_INTERVAL, () -> tell(new RenewalDue(round)));
    }

    @Override
    public void scheduleProofExpiry(int round, Duration delay) {
      loop.schedule(delay, () -> tell(new ProofExpiryDue(round)));
    }

    @Override
    public void probeTerm(LeaderProbe.Probe probe, Duration delay) {
      loop.schedule(delay, () -> store.get(Keys.TERM, reply -> tell(new TermProbed(probe, reply))));
    }
  }
}
