package io.pearscale.coordination;

import io.pearscale.protocol.PeerMessage;
import io.pearscale.protocol.PeerMessage.ForwardedAnswer;
import io.pearscale.protocol.PeerMessage.ForwardedReport;
import io.pearscale.protocol.Report;
import io.pearscale.protocol.ReportAnswer;
import io.pearscale.transport.Actor;
import io.pearscale.transport.Links;
import io.pearscale.transport.Loop;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Carries reports of this controller's workers to the leader, and the leader's answers back. It
 * renews no lease on its own: each 200 stands for an answer that the leader gave to that very
 * report, so the leader alone knows until when a machine may be alive.
 */
public final class RelayActor extends Actor<RelayActor.Message> {
  // Workers drop answers after 4 s; a late one would only hold the worker here.
  private static final Duration PATIENCE = Duration.ofMillis(1500);

  /** What the actor understands. */
  public sealed interface Message {}

  /** A worker reports here. The text is the leader to go to instead, when there is one. */
  public record Incoming(Report report, BiConsumer<ReportAnswer, Optional<String>> answer)
      implements Message {}

  /** The leader's answer came back. */
  public record Answered(ForwardedAnswer answer) implements Message {}

  /** Who leads has changed. */
  public record LeaderIs(long term, Optional<String> name) implements Message {}

  private record Overdue(long exchange) implements Message {}

  private final String self;
  private final Links links;
  private final BiConsumer<Report, Consumer<ReportAnswer>> local;
  private final Map<Long, BiConsumer<ReportAnswer, Optional<String>>> open = new HashMap<>();
  private Optional<String> leader = Optional.empty();
  private long leaderTerm;
  private long exchanges;

  /** Relays to the leader, which may be {@code local}. */
  public RelayActor(
      Loop loop, String self, Links links, BiConsumer<Report, Consumer<ReportAnswer>> local) {
    super(loop);
    this.self = self;
    this.links = links;
    this.local = local;
  }

  @Override
  protected void receive(Message message) {
    if (message instanceof Incoming m) {
      incoming(m);
    } else if (message instanceof Answered m) {
      close(m.answer.exchange(), m.answer.answer());
    } else if (message instanceof LeaderIs m) {
      if (m.term >= leaderTerm) {
        leaderTerm = m.term;
        leader = m.name;
      }
    } else if (message instanceof Overdue m) {
      close(m.exchange, ReportAnswer.UNAVAILABLE);
    }
  }

  private void incoming(Incoming m) {
    if (leader.isEmpty()) {
      m.answer.accept(ReportAnswer.UNAVAILABLE, Optional.empty());
    } else if (leader.get().equals(self)) {
      local.accept(m.report, a -> m.answer.accept(a, Optional.empty()));
    } else {
      long exchange = ++exchanges;
      byte[] frame = PeerMessage.encode(new ForwardedReport(exchange, m.report));
      if (links.connected().contains(leader.get()) && links.send(leader.get(), frame)) {
        open.put(exchange, m.answer);
        loop.after(PATIENCE, () -> tell(new Overdue(exchange)));
      } else {
        m.answer.accept(ReportAnswer.UNAVAILABLE, leader);
      }
    }
  }

  private void close(long exchange, ReportAnswer answer) {
    BiConsumer<ReportAnswer, Optional<String>> to = open.remove(exchange);
    if (to != null) {
      to.accept(answer, Optional.empty());
    }
  }
}
