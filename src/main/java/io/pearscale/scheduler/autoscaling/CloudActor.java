package io.pearscale.scheduler.autoscaling;

import com.fasterxml.jackson.databind.JsonNode;
import io.pearscale.protocol.MachineType;
import io.pearscale.protocol.Settings;
import io.pearscale.scheduler.autoscaling.ScaleOutPlanner.Offering;
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
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(4);
  private static final Duration ERROR_BACKOFF = Duration.ofSeconds(2);
  private static final int MAX_TRIES = 4;
  private static final int PAGE_SIZE = 500;

  /** What the actor understands. */
  public sealed interface Message {}

  /** Begins to call, for the given term. */
  public record BeginTerm(long term) implements Message {}

  /** Stops to call. */
  public record EndTerm() implements Message {}

  /** Rents machines. */
  record ProvisionMachines(Offering offering, int count) implements Message {}

  /** Gives machines back. */
  public record DeleteMachines(List<String> names) implements Message {}

  private record Tick(int generation) implements Message {}

  private record CallCompleted(int generation, Runnable action) implements Message {}

  /** What the cloud says. */
  public sealed interface Event {}

  /** The catalogue, with current prices. */
  record CatalogueReceived(List<MachineType> types) implements Event {}

  /** Machines were rented. */
  record MachinesProvisioned(Offering offering, List<String> names) implements Event {}

  /**
   * None of this kind can be had now; {@code trouble} when the cloud itself did not answer well.
   */
  record ProvisioningRefused(Offering offering, boolean providerError) implements Event {}

  /** Machines are gone. */
  record MachinesDeleted(List<String> names) implements Event {}

  /** A deletion was not carried out, as far as known. */
  record DeletionFailed(List<String> names) implements Event {}

  /** The machine list, as old as it is. */
  record MachinesListed(List<ListedMachine> machines) implements Event {}

  /** A line of the machine list. */
  record ListedMachine(
      String name, String address, String type, String zone, boolean spot, String stage) {}

  private record PendingRequest(Message message, String requestName, int tries) {}

  /** A machine list that is being read, a page at a time. */
  private static final class MachineListing {
    final Instant started;
    final List<ListedMachine> machines = new ArrayList<>();
    String lastName = "";
    boolean yieldsToRequests;

    MachineListing(Instant started) {
      this.started = started;
    }
  }

  private final HttpClient calls;
  private final Settings settings;
  private final TokenBucket rateLimit;
  private final Consumer<Event> events;
  private final ArrayDeque<PendingRequest> requests = new ArrayDeque<>();
  private int generation;
  private boolean callInFlight;
  private long term;
  private long requestCount;
  private boolean haveCatalogue;
  private Optional<MachineListing> listing = Optional.empty();
  private Instant nextList = Instant.MIN;
  private Instant nextCatalogue = Instant.MIN;
  private Instant backoffUntil = Instant.MIN;

  /** Calls the cloud of the settings and hands what it says to {@code events}. */
  public CloudActor(EventLoop loop, HttpClient calls, Settings settings, Consumer<Event> events) {
    super(loop);
    this.calls = calls;
    this.settings = settings;
    this.events = events;
    // A little under the limit: a former leader may have used some of the burst.
    this.rateLimit = new TokenBucket(loop, settings.cloudLimits().requestsPerSecond() * 0.9);
  }

  @Override
  protected void receive(Message message) {
    if (message instanceof BeginTerm m) {
      generation++;
      term = m.term;
      requestCount = 0;
      callInFlight = false;
      requests.clear();
      listing = Optional.empty();
      nextList = Instant.MIN;
      nextCatalogue = Instant.MIN;
      backoffUntil = Instant.MIN;
      tell(new Tick(generation));
    } else if (message instanceof EndTerm) {
      generation++;
      requests.clear();
    } else if (message instanceof ProvisionMachines) {
      requests.add(new PendingRequest(message, "r-" + term + "-" + (++requestCount), 0));
    } else if (message instanceof DeleteMachines) {
      requests.addFirst(new PendingRequest(message, "", 0));
    } else if (message instanceof CallCompleted m && m.generation == generation) {
      callInFlight = false;
      m.action.run();
    } else if (message instanceof Tick m && m.generation == generation) {
      nextCall();
      int tickGeneration = generation;
      loop.schedule(Duration.ofMillis(100), () -> tell(new Tick(tickGeneration)));
    }
  }

  private void nextCall() {
    Instant now = loop.clock().instant();
    if (callInFlight || now.isBefore(backoffUntil) || !rateLimit.canAcquire(1)) {
      return;
    }
    if (!haveCatalogue || (requests.isEmpty() && now.isAfter(nextCatalogue))) {
      rateLimit.tryAcquire(1);
      requestCatalogue();
    } else if (listing.isPresent() && (requests.isEmpty() || !listing.get().yieldsToRequests)) {
      rateLimit.tryAcquire(1);
      requestNextPage(listing.get());
    } else if (listing.isEmpty() && now.isAfter(nextList)) {
      rateLimit.tryAcquire(1);
      listing = Optional.of(new MachineListing(now));
      requestNextPage(listing.get());
    } else if (!requests.isEmpty()) {
      rateLimit.tryAcquire(1);
      listing.ifPresent(l -> l.yieldsToRequests = false);
      PendingRequest request = requests.poll();
      if (request.message instanceof ProvisionMachines h) {
        provision(request, h);
      } else if (request.message instanceof DeleteMachines d) {
        deleteMachines(d);
      }
    }
  }

  private void call(String method, String path, JsonNode body, Consumer<Reply> onReply) {
    callInFlight = true;
    int callGeneration = generation;
    calls.call(
        settings.cloudAddress(),
        method,
        path,
        body,
        CALL_TIMEOUT,
        reply ->
            tell(
                new CallCompleted(
                    callGeneration,
                    () -> {
                      if (reply.status() != 200 && !isNoCapacity(reply)) {
                        backoffUntil = loop.clock().instant().plus(ERROR_BACKOFF);
                        log.info("event=cloud_trouble path={} status={}", path, reply.status());
                      }
                      onReply.accept(reply);
                    })));
  }

  private static boolean isNoCapacity(Reply reply) {
    return reply.status() == 503 && reply.body().path("error").asText().equals("no capacity");
  }

  private void requestCatalogue() {
    call(
        "GET",
        "/catalog",
        MessagePack.MISSING,
        reply -> {
          List<MachineType> types = reply.ok() ? MachineType.parseAll(reply.body()) : List.of();
          if (!types.isEmpty()) {
            haveCatalogue = true;
            nextCatalogue = loop.clock().instant().plusSeconds(60);
            events.accept(new CatalogueReceived(types));
          }
        });
  }

  /**
   * Asks for the next page. The list of a large fleet takes more calls than the cloud allows at
   * once, so that each page waits for its turn, and lets what was asked for meanwhile go first.
   */
  private void requestNextPage(MachineListing listing) {
    listing.yieldsToRequests = true;
    call(
        "GET",
        "/hosts?"
            + (listing.lastName.isEmpty() ? "" : "since=" + listing.lastName + "&")
            + "limit="
            + PAGE_SIZE,
        MessagePack.MISSING,
        reply -> handlePage(listing, reply));
  }

  private void handlePage(MachineListing listing, Reply reply) {
    if (!reply.ok() || !reply.body().path("hives").isArray()) {
      endListing(listing);
      return;
    }
    String before = listing.lastName;
    for (JsonNode n : reply.body().path("hives")) {
      ListedMachine machine = parseMachine(n);
      listing.lastName = machine.name;
      listing.machines.add(machine);
    }
    if (!reply.body().path("more").asBoolean() || listing.lastName.equals(before)) {
      endListing(listing);
      events.accept(new MachinesListed(listing.machines));
    }
  }

  private static ListedMachine parseMachine(JsonNode node) {
    return new ListedMachine(
        node.path("uid").asText(),
        node.path("address").asText(),
        node.path("breed").asText(),
        node.path("yard").asText(),
        node.path("windfall").asBoolean(),
        node.path("stage").asText());
  }

  /** Lists of a large fleet leave at least as long between them as each of them takes. */
  private void endListing(MachineListing finished) {
    listing = Optional.empty();
    Instant now = loop.clock().instant();
    Instant due =
        finished.started.plus(settings.cloudLimits().listLag().dividedBy(2)).plusSeconds(1);
    Instant rested = now.plus(Duration.between(finished.started, now));
    nextList = due.isAfter(rested) ? due : rested;
  }

  private void provision(PendingRequest request, ProvisionMachines order) {
    JsonNode body =
        MessagePack.map()
            .put("hire", request.requestName)
            .put("breed", order.offering.type())
            .put("yard", order.offering.zone())
            .put("windfall", order.offering.spot())
            .put("count", Math.min(50, order.count));
    call(
        "POST",
        "/hosts",
        body,
        reply -> {
          if (reply.ok()) {
            List<String> names = new ArrayList<>();
            reply.body().path("hives").forEach(n -> names.add(n.asText()));
            events.accept(new MachinesProvisioned(order.offering, names));
            if (names.size() < Math.min(50, order.count)) {
              events.accept(new ProvisioningRefused(order.offering, false));
            }
          } else if (isNoCapacity(reply)) {
            events.accept(new ProvisioningRefused(order.offering, false));
          } else if (reply.status() != 400 && request.tries + 1 < MAX_TRIES) {
            requests.add(new PendingRequest(order, request.requestName, request.tries + 1));
          } else {
            events.accept(new ProvisioningRefused(order.offering, true));
          }
        });
  }

  private void deleteMachines(DeleteMachines order) {
    var body = MessagePack.map();
    var names = body.putArray("hives");
    order.names.forEach(names::add);
    call(
        "POST",
        "/hosts/delete",
        body,
        reply ->
            events.accept(
                reply.ok() ? new MachinesDeleted(order.names) : new DeletionFailed(order.names)));
  }
}
