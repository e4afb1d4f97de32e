package io.pearscale.coordination;

import io.pearscale.storage.KeyValueStoreClient;
import io.pearscale.storage.KeyValueStoreClient.Mutation;
import io.pearscale.storage.Keys;
import io.pearscale.storage.StoreReplies;
import io.pearscale.transport.Actor;
import io.pearscale.transport.EventLoop;
import io.pearscale.transport.HttpClient.Reply;
import io.pearscale.upgrade.ControllerSupport;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Maintains the stored record of the schema levels that this controller's build supports. The
 * record is attached to a lease that is renewed while the process runs, so that a process that has
 * ended does not count when an upgrade is finalised. A controller whose build does not support the
 * level in force can't write its record, because writes are guarded by the level.
 */
public final class SupportAnnouncer extends Actor<SupportAnnouncer.Message> {
  /** Number of renewals within the TTL of the lease. */
  private static final int RENEWALS_PER_LEASE = 3;

  /** Delay before a failed request is retried. */
  private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

  /** Matches no lease of the key-value store, because lease ids are not negative. */
  private static final long NO_LEASE = -1;

  /** The messages that this actor accepts. */
  public sealed interface Message {}

  /** Starts to maintain the record. */
  public record Start() implements Message {}

  private record RenewalDue() implements Message {}

  private record LeaseAnswered(Reply reply) implements Message {}

  private record LeaseRenewalAnswered(Reply reply) implements Message {}

  private record RecordWriteAnswered(Reply reply) implements Message {}

  private record RecordReadAnswered(Reply reply) implements Message {}

  private record RetryDue() implements Message {}

  private final KeyValueStoreClient store;
  private final String host;
  private final ControllerSupport support;
  private final Duration leaseTtl;
  private OptionalLong leaseId = OptionalLong.empty();

  /**
   * Creates an actor that is idle until {@link Start}.
   *
   * @param leaseTtl the time for which the record remains after the process has ended
   */
  public SupportAnnouncer(
      EventLoop loop,
      KeyValueStoreClient store,
      String host,
      ControllerSupport support,
      Duration leaseTtl) {
    super(loop);
    this.store = store;
    this.host = host;
    this.support = support;
    this.leaseTtl = leaseTtl;
  }

  @Override
  protected void receive(Message message) {
    if (message instanceof Start || message instanceof RenewalDue) {
      renew();
    } else if (message instanceof LeaseAnswered m) {
      leaseAnswered(m.reply);
    } else if (message instanceof LeaseRenewalAnswered m) {
      leaseRenewalAnswered(m.reply);
    } else if (message instanceof RecordReadAnswered m) {
      recordReadAnswered(m.reply);
    } else if (message instanceof RetryDue) {
      requestLeaseIfMissing();
    } else if (message instanceof RecordWriteAnswered m) {
      recordWriteAnswered(m.reply);
    }
  }

  private void renew() {
    if (leaseId.isPresent()) {
      store.renewLease(leaseId.getAsLong(), reply -> tell(new LeaseRenewalAnswered(reply)));
    } else {
      requestLeaseIfMissing();
    }
    loop.schedule(leaseTtl.dividedBy(RENEWALS_PER_LEASE), () -> tell(new RenewalDue()));
  }

  private void requestLeaseIfMissing() {
    if (leaseId.isEmpty()) {
      store.grantLease(leaseTtl, reply -> tell(new LeaseAnswered(reply)));
    }
  }

  private void leaseAnswered(Reply reply) {
    if (reply.ok()) {
      leaseId = OptionalLong.of(StoreReplies.leaseOf(reply));
      writeRecord();
    } else {
      loop.schedule(RETRY_DELAY, () -> tell(new RetryDue()));
    }
  }

  private void writeRecord() {
    Mutation record =
        new Mutation(
            Keys.supportRecord(host),
            Optional.of(support.toNode()),
            Optional.of(leaseId.getAsLong()));
    store.compareAndSwap(List.of(), List.of(record), reply -> tell(new RecordWriteAnswered(reply)));
  }

  /**
   * Handles the reply to a renewal. If the lease has expired, its record was deleted with it, so a
   * new lease is requested. Without a reply, the state of the lease is unknown and nothing changes.
   */
  private void leaseRenewalAnswered(Reply reply) {
    if (StoreReplies.isNotFound(reply)) {
      leaseId = OptionalLong.empty();
      requestLeaseIfMissing();
    } else if (reply.ok()) {
      store.get(Keys.supportRecord(host), readReply -> tell(new RecordReadAnswered(readReply)));
    }
  }

  /**
   * Rewrites the record if it is missing or was not written by this process under its current
   * lease. A write of a previous process, or a write without a reply, may be applied late. The
   * resulting record is attached to a lease that no process renews, and is deleted with that lease.
   */
  private void recordReadAnswered(Reply reply) {
    boolean missing = StoreReplies.isNotFound(reply);
    boolean writtenByOtherProcess =
        reply.ok()
            && (StoreReplies.leaseOf(reply) != leaseId.orElse(NO_LEASE)
                || !StoreReplies.valueOf(reply).equals(support.toNode()));
    if (leaseId.isPresent() && (missing || writtenByOtherProcess)) {
      writeRecord();
    }
  }

  /**
   * Handles the reply to a write. After a failure it is unknown whether the record exists, so the
   * record is written again under a new lease.
   */
  private void recordWriteAnswered(Reply reply) {
    if (reply.ok()) {
      log.info("event=support_announced host={} levels={}", host, support.levels());
    } else {
      log.debug("event=support_not_announced host={} status={}", host, reply.status());
      leaseId = OptionalLong.empty();
      loop.schedule(RETRY_DELAY, () -> tell(new RetryDue()));
    }
  }
}
