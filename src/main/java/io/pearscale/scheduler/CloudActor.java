package io.pearscale.scheduler;

import com.fasterxml.jackson.databind.JsonNode;
import io.pearscale.protocol.MachineType;
import io.pearscale.protocol.Settings;
import io.pearscale.scheduler.ScaleOutPlanner.Kind;
import io.pearscale.storage.TokenBucket;
import io.pearscale.transport.Actor;
import io.pearscale.transport.EventLoop;
import io.pearscale.transport.HttpClient;
import io.pearscale.transport.HttpClient.Reply;
import io.pearscale.transport.MessagePack;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The leader's way to the cloud, one call at a time and within its rate. A rental without an answer
 * is asked for again under the same name, so that an answer that got lost rents nothing twice.
 */
public final class CloudActor extends Actor<CloudActor.Message> {
  private static final Duration TIMEOUT = Duration.ofSeconds(4);
  private static final Duration PAUSE = Duration.ofSeconds(2);
  private static final int TRIES = 4;
  private static final int PAGE = 500;

  /** What the actor understands. */
  public sealed interface Message {}

  /** Begins to call, for the given term. */
  public record Lead(long term) implements Message {}

  /** Stops to call. */
  public record Rest() implements Message {}

  /** Rents machines. */
  record Hire(Kind kind, int count) implements Message {}

  /** Gives machines back. */
  record Delete(List<String> names) implements Message {}

  private record Tick(int round) implements Message {}

  private record Answer(int round, Runnable then) implements Message {}

  /** What the cloud says. */
  sealed interface Event {}

  /** The catalogue, with current prices. */
  record Catalogue(List<MachineType> types) implements Event {}

  /** Machines were rented. */
  record Hired(Kind kind, List<String> names) implements Event {}

  /**
   * None of this kind can be had now; {@code trouble} when the cloud itself did not answer well.
   */
  record Refused(Kind kind, boolean trouble) implements Event {}

  /** Machines are gone. */
  record Deleted(List<String> names) implements Event {}

  /** A deletion was not carried out, as far as known. */
  record NotDeleted(List<String> names) implements Event {}

  /** The machine list, as old as it is. */
  record Listed(List<Host> hosts) implements Event {}

  /** A line of the machine list. */
  record Host(String name, String address, String type, String zone, boolean spot, String stage) {}

  private record Job(Message message, String hire, int tries) {}

  /** A machine list that is being read, a page at a time. */
  private static final class Listing {
    final Instant started;
    final List<Host> hosts = new ArrayList<>();
    String last = "";
    boolean yields;

    Listing(Instant started) {
      this.started = started;
    }
  }

  private final HttpClient calls;
  private final Settings settings;
  private final TokenBucket budget;
  private final Consumer<Event> events;
  private final ArrayDeque<Job> queue = new ArrayDeque<>();
  private int round;
  private boolean busy;
  private long term;
  private long hires;
  private boolean haveCatalogue;
  private Optional<Listing> listing = Optional.empty();
  private Instant nextList = Instant.MIN;
  private Instant nextCatalogue = Instant.MIN;
  private Instant quietUntil = Instant.MIN;

  /** Calls the cloud of the settings and hands what it says to {@code events}. */
  CloudActor(EventLoop loop, HttpClient calls, Settings settings, Consumer<Event> events) {
    super(loop);
    this.calls = calls;
    this.settings = settings;
    this.events = events;
    // A little under the limit: a former leader may have used some of the burst.
    this.budget = new TokenBucket(loop, settings.cloudLimits().requestsPerSecond() * 0.9);
  }

  @Override
  protected void receive(Message message) {
    if (message instanceof Lead m) {
      round++;
      term = m.term;
      hires = 0;
      busy = false;
      queue.clear();
      listing = Optional.empty();
      nextList = Instant.MIN;
      nextCatalogue = Instant.MIN;
      quietUntil = Instant.MIN;
      tell(new Tick(round));
    } else if (message instanceof Rest) {
      round++;
      queue.clear();
    } else if (message instanceof Hire) {
      queue.add(new Job(message, "r-" + term + "-" + (++hires), 0));
    } else if (message instanceof Delete) {
      queue.addFirst(new Job(message, "", 0));
    } else if (message instanceof Answer m && m.round == round) {
      busy = false;
      m.then.run();
    } else if (message instanceof Tick m && m.round == round) {
      step();
      int r = round;
      loop.after(Duration.ofMillis(100), () -> tell(new Tick(r)));
    }
  }

  private void step() {
    Instant now = loop.clock().instant();
    if (busy || now.isBefore(quietUntil) || !budget.canAcquire(1)) {
      return;
    }
    if (!haveCatalogue || (queue.isEmpty() && now.isAfter(nextCatalogue))) {
      budget.tryAcquire(1);
      catalogue();
    } else if (listing.isPresent() && (queue.isEmpty() || !listing.get().yields)) {
      budget.tryAcquire(1);
      nextPage(listing.get());
    } else if (listing.isEmpty() && now.isAfter(nextList)) {
      budget.tryAcquire(1);
      listing = Optional.of(new Listing(now));
      nextPage(listing.get());
    } else if (!queue.isEmpty()) {
      budget.tryAcquire(1);
      listing.ifPresent(l -> l.yields = false);
      Job job = queue.poll();
      if (job.message instanceof Hire h) {
        hire(job, h);
      } else if (job.message instanceof Delete d) {
        delete(d);
      }
    }
  }

  private void call(String method, String path, JsonNode body, Consumer<Reply> then) {
    busy = true;
    int r = round;
    calls.call(
        settings.cloudAddress(),
        method,
        path,
        body,
        TIMEOUT,
        reply ->
            tell(
                new Answer(
                    r,
                    () -> {
                      if (reply.status() != 200 && !noCapacity(reply)) {
                        quietUntil = loop.clock().instant().plus(PAUSE);
                        log.info("event=cloud_trouble path={} status={}", path, reply.status());
                      }
                      then.accept(reply);
                    })));
  }

  private static boolean noCapacity(Reply r) {
    return r.status() == 503 && r.body().path("error").asText().equals("no capacity");
  }

  private void catalogue() {
    call(
        "GET",
        "/catalog",
        MessagePack.MISSING,
        reply -> {
          List<MachineType> types = reply.ok() ? MachineType.parseAll(reply.body()) : List.of();
          if (!types.isEmpty()) {
            haveCatalogue = true;
            nextCatalogue = loop.clock().instant().plusSeconds(60);
            events.accept(new Catalogue(types));
          }
        });
  }

  /**
   * Asks for the next page. The list of a large fleet takes more calls than the cloud allows at
   * once, so that each page waits for its turn, and lets what was asked for meanwhile go first.
   */
  private void nextPage(Listing list) {
    list.yields = true;
    call(
        "GET",
        "/hosts?" + (list.last.isEmpty() ? "" : "since=" + list.last + "&") + "limit=" + PAGE,
        MessagePack.MISSING,
        reply -> page(list, reply));
  }

  private void page(Listing list, Reply reply) {
    if (!reply.ok() || !reply.body().path("hives").isArray()) {
      endListing(list);
      return;
    }
    String before = list.last;
    for (JsonNode n : reply.body().path("hives")) {
      Host host = host(n);
      list.last = host.name;
      list.hosts.add(host);
    }
    if (!reply.body().path("more").asBoolean() || list.last.equals(before)) {
      endListing(list);
      events.accept(new Listed(list.hosts));
    }
  }

  private static Host host(JsonNode n) {
    return new Host(
        n.path("uid").asText(),
        n.path("address").asText(),
        n.path("breed").asText(),
        n.path("yard").asText(),
        n.path("windfall").asBoolean(),
        n.path("stage").asText());
  }

  /** Lists of a large fleet leave at least as long between them as each of them takes. */
  private void endListing(Listing list) {
    listing = Optional.empty();
    Instant now = loop.clock().instant();
    Instant due = list.started.plus(settings.cloudLimits().listLag().dividedBy(2)).plusSeconds(1);
    Instant rested = now.plus(Duration.between(list.started, now));
    nextList = due.isAfter(rested) ? due : rested;
  }

  private void hire(Job job, Hire h) {
    JsonNode body =
        MessagePack.map()
            .put("hire", job.hire)
            .put("breed", h.kind.type())
            .put("yard", h.kind.zone())
            .put("windfall", h.kind.spot())
            .put("count", Math.min(50, h.count));
    call(
        "POST",
        "/hosts",
        body,
        reply -> {
          if (reply.ok()) {
            List<String> names = new ArrayList<>();
            reply.body().path("hives").forEach(n -> names.add(n.asText()));
            events.accept(new Hired(h.kind, names));
            if (names.size() < Math.min(50, h.count)) {
              events.accept(new Refused(h.kind, false));
            }
          } else if (noCapacity(reply)) {
            events.accept(new Refused(h.kind, false));
          } else if (reply.status() != 400 && job.tries + 1 < TRIES) {
            queue.add(new Job(h, job.hire, job.tries + 1));
          } else {
            events.accept(new Refused(h.kind, true));
          }
        });
  }

  private void delete(Delete d) {
    var body = MessagePack.map();
    var names = body.putArray("hives");
    d.names.forEach(names::add);
    call(
        "POST",
        "/hosts/delete",
        body,
        reply -> events.accept(reply.ok() ? new Deleted(d.names) : new NotDeleted(d.names)));
  }
}
