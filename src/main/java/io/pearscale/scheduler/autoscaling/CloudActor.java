package io.pearscale.scheduler.autoscaling;

import com.fasterxml.jackson.databind.JsonNode;
import io.pearscale.protocol.CloudApi;
import io.pearscale.protocol.ListedMachine;
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
 * The leader's client of the cloud's API. It makes one call at a time, within the cloud's rate
 * limit. A request for machines without a response is retried under the same name, so that no
 * machine is provisioned twice if only the response was lost.
 */
public final class CloudActor extends Actor<CloudActor.Message> {
  private static final Duration TICK = Duration.ofMillis(100);
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(4);

  /** Pause after a failed call. */
  private static final Duration ERROR_BACKOFF = Duration.ofSeconds(2);

  private static final Duration CATALOGUE_INTERVAL = Duration.ofSeconds(60);

  /** Maximum number of times that a request for machines is sent. */
  private static final int MAX_TRIES = 4;

  /** Share of the rate limit that is used; a previous leader may have used a part of the burst. */
  private static final double RATE_SHARE = 0.9;

  /** A message to the actor. */
  public sealed interface Message {}

  /** Starts calling the cloud for the given term, whose number is part of request names. */
  public record BeginTerm(long term) implements Message {}

  /** Stops calling the cloud. */
  public record EndTerm() implements Message {}

  /** Provisions machines; a count above the cloud's limit is reduced to the limit. */
  record ProvisionMachines(Offering offering, int count) implements Message {}

  /** Deletes machines. */
  record DeleteMachines(List<String> names) implements Message {}

  private record Tick(int generation) implements Message {}

  private record CallCompleted(int generation, Runnable action) implements Message {}

  /** A result that the cloud returned. */
  public sealed interface Event {}

  /** The machine types of the catalogue were read, with current prices. */
  record CatalogueReceived(List<MachineType> types) implements Event {}

  /** Machines were provisioned. */
  record MachinesProvisioned(Offering offering, List<String> names) implements Event {}

  /**
   * Fewer machines were provisioned than requested, possibly none.
   *
   * @param providerError whether the cloud failed to process the request, so that its capacity is
   *     unknown
   */
  record ProvisioningRefused(Offering offering, boolean providerError) implements Event {}

  /** Machines were deleted, including everything that ran on them. */
  record MachinesDeleted(List<String> names) implements Event {}

  /** The cloud did not confirm the deletion; its outcome is unknown. */
  record DeletionFailed(List<String> names) implements Event {}

  /** The complete machine list was read; it may be some seconds older than the response. */
  record MachinesListed(List<ListedMachine> machines) implements Event {}

  /**
   * A request that is queued until its call can be made.
   *
   * @param requestName name of a request for machines; empty for a deletion
   * @param tries how often the request was sent before
   */
  private record PendingRequest(Message message, String requestName, int tries) {}

  /** A machine list that is being read one page at a time. */
  private static final class MachineListing {
    final Instant startedAt;
    final List<ListedMachine> machines = new ArrayList<>();
    String lastName = "";

    /** Whether queued requests take precedence over the next page. */
    boolean yieldsToRequests;

    MachineListing(Instant startedAt) {
      this.startedAt = startedAt;
    }
  }

  private final HttpClient httpClient;
  private final Settings settings;
  private final TokenBucket rateLimit;
  private final Consumer<Event> events;
  private final ArrayDeque<PendingRequest> requests = new ArrayDeque<>();

  /** Incremented when a term begins or ends; messages of other generations are dropped. */
  private int generation;

  private boolean callInFlight;
  private long term;
  private long requestCount;
  private boolean catalogueRead;
  private Optional<MachineListing> listing = Optional.empty();
  private Instant nextListAt = Instant.MIN;
  private Instant nextCatalogueAt = Instant.MIN;
  private Instant backoffUntil = Instant.MIN;

  /**
   * Creates an actor that makes no calls until {@link BeginTerm}.
   *
   * @param events receives the results of calls
   */
  public CloudActor(
      EventLoop loop, HttpClient httpClient, Settings settings, Consumer<Event> events) {
    super(loop);
    this.httpClient = httpClient;
    this.settings = settings;
    this.events = events;
    this.rateLimit = new TokenBucket(loop, settings.cloudLimits().requestsPerSecond() * RATE_SHARE);
  }

  /** Requests the deletion of machines, ahead of all queued requests for machines. */
  public void deleteMachines(List<String> names) {
    tell(new DeleteMachines(names));
  }

  @Override
  protected void receive(Message message) {
    if (message instanceof BeginTerm beginTerm) {
      beginTerm(beginTerm.term);
    } else if (message instanceof EndTerm) {
      generation++;
      requests.clear();
    } else if (message instanceof ProvisionMachines) {
      requests.add(new PendingRequest(message, "r-" + term + "-" + ++requestCount, 0));
    } else if (message instanceof DeleteMachines) {
      requests.addFirst(new PendingRequest(message, "", 0));
    } else if (message instanceof CallCompleted call && call.generation == generation) {
      callInFlight = false;
      call.action.run();
    } else if (message instanceof Tick tick && tick.generation == generation) {
      makeNextCall();
      loop.schedule(TICK, () -> tell(tick));
    }
  }

  private void beginTerm(long newTerm) {
    generation++;
    term = newTerm;
    requestCount = 0;
    callInFlight = false;
    requests.clear();
    listing = Optional.empty();
    nextListAt = Instant.MIN;
    nextCatalogueAt = Instant.MIN;
    backoffUntil = Instant.MIN;
    tell(new Tick(generation));
  }

  /** Makes the most urgent call if the rate limit and the back-off allow one now. */
  private void makeNextCall() {
    Instant now = loop.clock().instant();
    if (callInFlight || now.isBefore(backoffUntil) || !rateLimit.canAcquire(1)) {
      return;
    }
    if (!catalogueRead || (requests.isEmpty() && now.isAfter(nextCatalogueAt))) {
      rateLimit.tryAcquire(1);
      readCatalogue();
    } else if (listing.isPresent() && (requests.isEmpty() || !listing.get().yieldsToRequests)) {
      rateLimit.tryAcquire(1);
      readNextPage(listing.get());
    } else if (listing.isEmpty() && now.isAfter(nextListAt)) {
      rateLimit.tryAcquire(1);
      listing = Optional.of(new MachineListing(now));
      readNextPage(listing.get());
    } else if (!requests.isEmpty()) {
      rateLimit.tryAcquire(1);
      listing.ifPresent(activeListing -> activeListing.yieldsToRequests = false);
      send(requests.poll());
    }
  }

  private void send(PendingRequest request) {
    if (request.message instanceof ProvisionMachines provision) {
      provision(request, provision);
    } else if (request.message instanceof DeleteMachines delete) {
      delete(delete.names);
    }
  }

  private void call(String method, String path, JsonNode body, Consumer<Reply> onReply) {
    callInFlight = true;
    int callGeneration = generation;
    httpClient.call(
        settings.cloudAddress(),
        method,
        path,
        body,
        CALL_TIMEOUT,
        reply -> tell(new CallCompleted(callGeneration, () -> handleReply(path, reply, onReply))));
  }

  private void handleReply(String path, Reply reply, Consumer<Reply> onReply) {
    if (!reply.ok() && !CloudApi.isNoCapacity(reply.status(), reply.body())) {
      backoffUntil = loop.clock().instant().plus(ERROR_BACKOFF);
      log.info("event=cloud_call_failed path={} status={}", path, reply.status());
    }
    onReply.accept(reply);
  }

  // ---- Reading ----

  private void readCatalogue() {
    call("GET", CloudApi.CATALOGUE_PATH, MessagePack.MISSING, this::handleCatalogue);
  }

  private void handleCatalogue(Reply reply) {
    List<MachineType> types = reply.ok() ? MachineType.parseAll(reply.body()) : List.of();
    if (!types.isEmpty()) {
      catalogueRead = true;
      nextCatalogueAt = loop.clock().instant().plus(CATALOGUE_INTERVAL);
      events.accept(new CatalogueReceived(types));
    }
  }

  /**
   * Reads the next page. The list of a large fleet takes more calls than the cloud allows in a
   * burst, so each page waits for the rate limit, and requests queued in the meantime are sent
   * first.
   */
  private void readNextPage(MachineListing activeListing) {
    activeListing.yieldsToRequests = true;
    call(
        "GET",
        CloudApi.listPath(activeListing.lastName),
        MessagePack.MISSING,
        reply -> handlePage(activeListing, reply));
  }

  private void handlePage(MachineListing activeListing, Reply reply) {
    Optional<CloudApi.MachinePage> page =
        reply.ok() ? CloudApi.parsePage(reply.body()) : Optional.empty();
    if (page.isEmpty()) {
      endListing(activeListing);
      return;
    }
    String previousLastName = activeListing.lastName;
    for (ListedMachine machine : page.get().machines()) {
      activeListing.lastName = machine.name();
      activeListing.machines.add(machine);
    }
    if (!page.get().more() || activeListing.lastName.equals(previousLastName)) {
      endListing(activeListing);
      events.accept(new MachinesListed(activeListing.machines));
    }
  }

  /**
   * Schedules the next list, after a pause of at least the time that the finished one took, and not
   * before half of the usual lag and 1 s have passed since the finished one was started.
   */
  private void endListing(MachineListing finished) {
    listing = Optional.empty();
    Instant now = loop.clock().instant();
    Instant earliestByLag =
        finished.startedAt.plus(settings.cloudLimits().listLag().dividedBy(2)).plusSeconds(1);
    Instant earliestByDuration = now.plus(Duration.between(finished.startedAt, now));
    nextListAt = earliestByLag.isAfter(earliestByDuration) ? earliestByLag : earliestByDuration;
  }

  // ---- Requests ----

  private void provision(PendingRequest request, ProvisionMachines message) {
    Offering offering = message.offering;
    int count = Math.min(CloudApi.MAX_PROVISIONED_PER_REQUEST, message.count);
    JsonNode body =
        CloudApi.provisionRequest(
            request.requestName, offering.type(), offering.zone(), offering.spot(), count);
    call(
        "POST",
        CloudApi.PROVISION_PATH,
        body,
        reply -> handleProvisioned(request, offering, count, reply));
  }

  private void handleProvisioned(
      PendingRequest request, Offering offering, int count, Reply reply) {
    if (reply.ok()) {
      List<String> names = CloudApi.parseProvisioned(reply.body());
      events.accept(new MachinesProvisioned(offering, names));
      if (names.size() < count) {
        events.accept(new ProvisioningRefused(offering, /* providerError= */ false));
      }
    } else if (CloudApi.isNoCapacity(reply.status(), reply.body())) {
      events.accept(new ProvisioningRefused(offering, /* providerError= */ false));
    } else if (!CloudApi.isBadRequest(reply.status()) && request.tries + 1 < MAX_TRIES) {
      requests.add(new PendingRequest(request.message, request.requestName, request.tries + 1));
    } else {
      events.accept(new ProvisioningRefused(offering, /* providerError= */ true));
    }
  }

  private void delete(List<String> names) {
    call(
        "POST",
        CloudApi.DELETE_PATH,
        CloudApi.deleteRequest(names),
        reply ->
            events.accept(reply.ok() ? new MachinesDeleted(names) : new DeletionFailed(names)));
  }
}
