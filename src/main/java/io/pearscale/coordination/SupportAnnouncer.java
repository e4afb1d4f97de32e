package io.pearscale.coordination;

import io.pearscale.storage.KeyValueStoreClient;
import io.pearscale.storage.KeyValueStoreClient.Mutation;
import io.pearscale.storage.Keys;
import io.pearscale.transport.Actor;
import io.pearscale.transport.EventLoop;
import io.pearscale.transport.HttpClient.Reply;
import io.pearscale.upgrade.MemberSupport;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Keeps the record in which this controller says what its build supports. The record hangs on a
 * grant that is renewed while the process runs, so that an upgrade is not finalised on the word of
 * a process that has ended. A controller that must stay out can't write its record: writes are
 * guarded by the level.
 */
public final class SupportAnnouncer extends Actor<SupportAnnouncer.Message> {
  /** The grant is renewed so often within its time. */
  private static final int RENEWALS_PER_LEASE = 3;

  /** After a refusal it is tried again so much later. */
  private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

  /** What the actor understands. */
  public sealed interface Message {}

  /** Begins to announce. */
  public record Start() implements Message {}

  private record RenewalDue() implements Message {}

  private record LeaseGranted(Reply reply) implements Message {}

  private record LeaseExtended(Reply reply) implements Message {}

  private record RecordWritten(Reply reply) implements Message {}

  private record RecordRead(Reply reply) implements Message {}

  private record RetryDue() implements Message {}

  private final KeyValueStoreClient store;
  private final String host;
  private final MemberSupport support;
  private final Duration leaseTtl;
  private OptionalLong leaseId = OptionalLong.empty();

  /** Makes an announcer; it does nothing before {@link Start}. */
  public SupportAnnouncer(
      EventLoop loop,
      KeyValueStoreClient store,
      String host,
      MemberSupport support,
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
    } else if (message instanceof LeaseGranted m) {
      leaseGranted(m.reply);
    } else if (message instanceof LeaseExtended m) {
      leaseExtended(m.reply);
    } else if (message instanceof RecordRead m) {
      recordRead(m.reply);
    } else if (message instanceof RetryDue) {
      announce();
    } else if (message instanceof RecordWritten m) {
      recordWritten(m.reply);
    }
  }

  private void renew() {
    if (leaseId.isPresent()) {
      store.renewLease(leaseId.getAsLong(), reply -> tell(new LeaseExtended(reply)));
    } else {
      announce();
    }
    loop.schedule(leaseTtl.dividedBy(RENEWALS_PER_LEASE), () -> tell(new RenewalDue()));
  }

  private void announce() {
    if (leaseId.isEmpty()) {
      store.grantLease(leaseTtl, reply -> tell(new LeaseGranted(reply)));
    }
  }

  private void leaseGranted(Reply reply) {
    if (reply.ok()) {
      leaseId = OptionalLong.of(reply.body().path("claim").asLong());
      write();
    } else {
      loop.schedule(RETRY_DELAY, () -> tell(new RetryDue()));
    }
  }

  private void write() {
    Optional<Long> claim = Optional.of(leaseId.getAsLong());
    Mutation change = new Mutation(Keys.member(host), Optional.of(support.toNode()), claim);
    store.compareAndSwap(List.of(), List.of(change), written -> tell(new RecordWritten(written)));
  }

  /** A grant that is gone has taken the record with it; without an answer nothing is known. */
  private void leaseExtended(Reply reply) {
    if (reply.status() == 404) {
      leaseId = OptionalLong.empty();
      announce();
    } else if (reply.ok()) {
      store.get(Keys.member(host), found -> tell(new RecordRead(found)));
    }
  }

  /**
   * A write of a former life, or one that got no answer, may have been carried out late: then the
   * record hangs on a grant that nobody renews, and goes with it.
   */
  private void recordRead(Reply reply) {
    boolean gone = reply.status() == 404;
    boolean other =
        reply.ok()
            && (reply.body().path("claim").asLong() != leaseId.orElse(-1)
                || !reply.body().path("value").equals(support.toNode()));
    if (leaseId.isPresent() && (gone || other)) {
      write();
    }
  }

  /** Whatever came of it, a record that may not be there is written under the next grant. */
  private void recordWritten(Reply reply) {
    if (reply.ok()) {
      log.info("event=support_announced host={} levels={}", host, support.levels());
    } else {
      log.debug("event=support_not_announced host={} status={}", host, reply.status());
      leaseId = OptionalLong.empty();
      loop.schedule(RETRY_DELAY, () -> tell(new RetryDue()));
    }
  }
}
