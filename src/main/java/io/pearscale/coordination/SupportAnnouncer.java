package io.pearscale.coordination;

import io.pearscale.storage.KeyValueStoreClient;
import io.pearscale.storage.KeyValueStoreClient.Change;
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
  private static final int RENEWALS = 3;

  /** After a refusal it is tried again so much later. */
  private static final Duration RETRY = Duration.ofSeconds(1);

  /** What the actor understands. */
  public sealed interface Message {}

  /** Begins to announce. */
  public record Start() implements Message {}

  private record Renew() implements Message {}

  private record Granted(Reply reply) implements Message {}

  private record Extended(Reply reply) implements Message {}

  private record Written(Reply reply) implements Message {}

  private record Found(Reply reply) implements Message {}

  private record Retry() implements Message {}

  private final KeyValueStoreClient state;
  private final String host;
  private final MemberSupport support;
  private final Duration grantTime;
  private OptionalLong grant = OptionalLong.empty();

  /** Makes an announcer; it does nothing before {@link Start}. */
  public SupportAnnouncer(
      EventLoop loop,
      KeyValueStoreClient state,
      String host,
      MemberSupport support,
      Duration grantTime) {
    super(loop);
    this.state = state;
    this.host = host;
    this.support = support;
    this.grantTime = grantTime;
  }

  @Override
  protected void receive(Message message) {
    if (message instanceof Start || message instanceof Renew) {
      renew();
    } else if (message instanceof Granted m) {
      granted(m.reply);
    } else if (message instanceof Extended m) {
      extended(m.reply);
    } else if (message instanceof Found m) {
      found(m.reply);
    } else if (message instanceof Retry) {
      announce();
    } else if (message instanceof Written m) {
      written(m.reply);
    }
  }

  private void renew() {
    if (grant.isPresent()) {
      state.extend(grant.getAsLong(), reply -> tell(new Extended(reply)));
    } else {
      announce();
    }
    loop.after(grantTime.dividedBy(RENEWALS), () -> tell(new Renew()));
  }

  private void announce() {
    if (grant.isEmpty()) {
      state.grant(grantTime, reply -> tell(new Granted(reply)));
    }
  }

  private void granted(Reply reply) {
    if (reply.ok()) {
      grant = OptionalLong.of(reply.body().path("claim").asLong());
      write();
    } else {
      loop.after(RETRY, () -> tell(new Retry()));
    }
  }

  private void write() {
    Optional<Long> claim = Optional.of(grant.getAsLong());
    Change change = new Change(Keys.member(host), Optional.of(support.toNode()), claim);
    state.commit(List.of(), List.of(change), written -> tell(new Written(written)));
  }

  /** A grant that is gone has taken the record with it; without an answer nothing is known. */
  private void extended(Reply reply) {
    if (reply.status() == 404) {
      grant = OptionalLong.empty();
      announce();
    } else if (reply.ok()) {
      state.read(Keys.member(host), found -> tell(new Found(found)));
    }
  }

  /**
   * A write of a former life, or one that got no answer, may have been carried out late: then the
   * record hangs on a grant that nobody renews, and goes with it.
   */
  private void found(Reply reply) {
    boolean gone = reply.status() == 404;
    boolean other =
        reply.ok()
            && (reply.body().path("claim").asLong() != grant.orElse(-1)
                || !reply.body().path("value").equals(support.toNode()));
    if (grant.isPresent() && (gone || other)) {
      write();
    }
  }

  /** Whatever came of it, a record that may not be there is written under the next grant. */
  private void written(Reply reply) {
    if (reply.ok()) {
      log.info("event=support_announced host={} levels={}", host, support.levels());
    } else {
      log.debug("event=support_not_announced host={} status={}", host, reply.status());
      grant = OptionalLong.empty();
      loop.after(RETRY, () -> tell(new Retry()));
    }
  }
}
