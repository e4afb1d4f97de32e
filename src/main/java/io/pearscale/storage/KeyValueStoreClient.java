package io.pearscale.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.protocol.Settings;
import io.pearscale.transport.EventLoop;
import io.pearscale.transport.HttpClient;
import io.pearscale.transport.HttpClient.Reply;
import io.pearscale.transport.MessagePack;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Client of the key-value store. It limits its requests to a part of the store's rate limits: it
 * answers excess requests itself, immediately and with status 429, so that one busy controller
 * leaves capacity for the other two.
 */
public final class KeyValueStoreClient {
  private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(1500);
  private static final Reply RATE_LIMITED = new Reply(429, MessagePack.MISSING);

  /** The reply to a write that this build must not make; the client does not send the write. */
  private static final Reply WRITE_NOT_PERMITTED = new Reply(503, MessagePack.MISSING);

  private final EventLoop loop;
  private final HttpClient httpClient;
  private final String address;
  private final TokenBucket requestBucket;
  private final TokenBucket writeBucket;
  private final Supplier<OptionalLong> levelRevision;
  private Optional<Instant> lastSuccess = Optional.empty();

  /**
   * Creates a client that writes only while no schema level is stored, which is the state from
   * before schema levels were introduced.
   */
  public KeyValueStoreClient(EventLoop loop, HttpClient httpClient, Settings settings) {
    this(loop, httpClient, settings, () -> OptionalLong.of(0));
  }

  /**
   * Creates a client of the store that the settings specify.
   *
   * @param levelRevision supplies the last known revision of {@link Keys#LEVEL}, which is a
   *     precondition of each write; empty while this build must not write
   */
  public KeyValueStoreClient(
      EventLoop loop,
      HttpClient httpClient,
      Settings settings,
      Supplier<OptionalLong> levelRevision) {
    this.levelRevision = levelRevision;
    this.loop = loop;
    this.httpClient = httpClient;
    this.address = settings.storeAddress();
    // Load is uneven: one controller may use half of the request rate and 60% of the write rate,
    // which leaves capacity for the other two.
    this.requestBucket = new TokenBucket(loop, settings.storeLimits().requestsPerSecond() * 0.5);
    this.writeBucket = new TokenBucket(loop, settings.storeLimits().writesPerSecond() * 0.6);
  }

  /**
   * A condition of a compare-and-swap: the key has the given mod revision, or does not exist if the
   * revision is 0.
   */
  public record Precondition(String key, long revision) {}

  /**
   * A change of one key: puts the value, or deletes the key if there is no value. If a lease is
   * given, the key is attached to it.
   */
  public record Mutation(String key, Optional<JsonNode> value, Optional<Long> leaseId) {
    /** Creates a mutation that puts a value without a lease. */
    public static Mutation put(String key, JsonNode value) {
      return new Mutation(key, Optional.of(value), Optional.empty());
    }

    /** Creates a mutation that deletes a key. */
    public static Mutation delete(String key) {
      return new Mutation(key, Optional.empty(), Optional.empty());
    }
  }

  /** The time of the last valid reply of the store; empty if there was none. */
  public Optional<Instant> lastSuccess() {
    return lastSuccess;
  }

  /**
   * Applies the mutations if every precondition holds and the stored schema level is still the one
   * that this controller knows. A controller that missed a change of the schema level must not
   * write in the old format.
   */
  public void compareAndSwap(
      List<Precondition> preconditions, List<Mutation> mutations, Consumer<Reply> callback) {
    OptionalLong revision = levelRevision.get();
    if (revision.isEmpty()) {
      loop.execute(() -> callback.accept(WRITE_NOT_PERMITTED));
      return;
    }
    if (!writeBucket.tryAcquire(mutations.size())) {
      loop.execute(() -> callback.accept(RATE_LIMITED));
      return;
    }
    ObjectNode body = MessagePack.map();
    var preconditionList = body.putArray("guards");
    preconditions.forEach(
        precondition ->
            preconditionList
                .addObject()
                .put("key", precondition.key())
                .put("stamp", precondition.revision()));
    preconditionList.addObject().put("key", Keys.LEVEL).put("stamp", revision.getAsLong());
    var mutationList = body.putArray("then");
    for (Mutation mutation : mutations) {
      ObjectNode node = mutationList.addObject();
      if (mutation.value().isPresent()) {
        node.put("write", mutation.key());
        node.set("value", mutation.value().get());
        mutation.leaseId().ifPresent(leaseId -> node.put("claim", leaseId));
      } else {
        node.put("drop", mutation.key());
      }
    }
    send("POST", "/commit", body, REQUEST_TIMEOUT, callback);
  }

  /** Gets one key. */
  public void get(String key, Consumer<Reply> callback) {
    send("GET", "/keys/" + key, MessagePack.MISSING, REQUEST_TIMEOUT, callback);
  }

  /** Lists one page of the keys with a prefix, in key order, starting after the given key. */
  public void list(String prefix, Optional<String> afterKey, int limit, Consumer<Reply> callback) {
    String path =
        "/keys?prefix=" + prefix + afterKey.map(s -> "&since=" + s).orElse("") + "&limit=" + limit;
    send("GET", path, MessagePack.MISSING, Duration.ofSeconds(4), callback);
  }

  /** Watches a prefix with a long poll for changes after the given revision. */
  public void watch(
      String prefix, long sinceRevision, Duration pollTimeout, Consumer<Reply> callback) {
    String path =
        "/watch?prefix="
            + prefix
            + "&since="
            + sinceRevision
            + "&blockMs="
            + pollTimeout.toMillis();
    send("GET", path, MessagePack.MISSING, pollTimeout.plus(Duration.ofSeconds(2)), callback);
  }

  /** Grants a lease. */
  public void grantLease(Duration ttl, Consumer<Reply> callback) {
    send(
        "POST",
        "/grants",
        MessagePack.map().put("ttlMs", ttl.toMillis()),
        REQUEST_TIMEOUT,
        callback);
  }

  /** Renews a lease. */
  public void renewLease(long leaseId, Consumer<Reply> callback) {
    send("POST", "/grants/" + leaseId + "/extend", MessagePack.MISSING, REQUEST_TIMEOUT, callback);
  }

  /** Revokes a lease, and deletes the keys attached to it. */
  public void revokeLease(long leaseId, Consumer<Reply> callback) {
    send("DELETE", "/grants/" + leaseId, MessagePack.MISSING, REQUEST_TIMEOUT, callback);
  }

  private void send(
      String method, String path, JsonNode body, Duration timeout, Consumer<Reply> callback) {
    if (!requestBucket.tryAcquire(1)) {
      loop.execute(() -> callback.accept(RATE_LIMITED));
      return;
    }
    httpClient.call(
        address,
        method,
        path,
        body,
        timeout,
        reply -> {
          if (reply.status() == 200 || reply.status() == 409 || reply.status() == 404) {
            lastSuccess = Optional.of(loop.clock().instant());
          }
          callback.accept(reply);
        });
  }

  /** The keys of the failed preconditions in a reply with status 409. */
  public static List<String> failedPreconditions(Reply reply) {
    List<String> keys = new ArrayList<>();
    reply.body().path("failed").forEach(n -> keys.add(n.asText()));
    return keys;
  }
}
