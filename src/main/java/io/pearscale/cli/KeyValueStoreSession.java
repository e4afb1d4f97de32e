package io.pearscale.cli;

import com.fasterxml.jackson.databind.JsonNode;
import io.pearscale.protocol.Settings;
import io.pearscale.storage.KeyValueStoreClient;
import io.pearscale.storage.KeyValueStoreClient.Mutation;
import io.pearscale.storage.KeyValueStoreClient.Precondition;
import io.pearscale.storage.Keys;
import io.pearscale.transport.HttpClient.Reply;
import io.pearscale.transport.UndertowHttpClient;
import io.pearscale.transport.XnioEventLoop;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import org.xnio.XnioWorker;

/**
 * A blocking client of the key-value store for commands, which sends one request at a time. A write
 * requires that the schema level has not changed since this session read it; until it has been
 * read, no write is possible.
 */
final class KeyValueStoreSession implements AutoCloseable {
  private static final int CONNECTIONS = 2;
  private static final int RESPONSE_TIMEOUT_SECONDS = 5;
  private static final int PAGE_SIZE = 500;

  /** A stored value with the revision of its latest change. */
  record StoredValue(JsonNode value, long revision) {}

  /** The result of a write. */
  enum WriteOutcome {
    /** The write was applied. */
    APPLIED,
    /** A precondition did not hold; nothing was written. */
    CONFLICT,
    /** No response was received: the write may have been applied, or may still be applied. */
    UNKNOWN
  }

  private final XnioWorker worker;
  private final XnioEventLoop loop;
  private final KeyValueStoreClient client;
  private final String address;
  private OptionalLong levelRevision = OptionalLong.empty();

  KeyValueStoreSession(Settings settings) throws IOException {
    worker = Server.newSingleThreadWorker();
    loop = new XnioEventLoop(worker.getIoThread());
    UndertowHttpClient httpClient =
        new UndertowHttpClient(
            loop,
            worker.getIoThread(),
            new DefaultByteBufferPool(false, 8192, CONNECTIONS, 0),
            CONNECTIONS);
    client = new KeyValueStoreClient(loop, httpClient, settings, () -> levelRevision);
    address = settings.storeAddress();
  }

  /** Returns the value and revision of the key; empty if the key does not exist. */
  Optional<StoredValue> read(String key) throws IOException {
    Reply reply = call(callback -> client.get(key, callback));
    if (reply.status() != 404 && !reply.ok()) {
      throw failure(reply);
    }
    Optional<StoredValue> stored =
        reply.ok()
            ? Optional.of(
                new StoredValue(reply.body().path("value"), reply.body().path("stamp").asLong()))
            : Optional.empty();
    if (key.equals(Keys.LEVEL)) {
      levelRevision = OptionalLong.of(stored.map(StoredValue::revision).orElse(0L));
    }
    return stored;
  }

  /** Returns the values of all keys with the prefix, sorted by key. */
  Map<String, StoredValue> list(String prefix) throws IOException {
    Map<String, StoredValue> values = new TreeMap<>();
    Optional<String> lastKey = Optional.empty();
    boolean more = true;
    while (more) {
      Optional<String> startAfter = lastKey;
      Reply reply = call(callback -> client.list(prefix, startAfter, PAGE_SIZE, callback));
      if (!reply.ok()) {
        throw failure(reply);
      }
      for (JsonNode pair : reply.body().path("pairs")) {
        String key = pair.path("key").asText();
        values.put(key, new StoredValue(pair.path("value"), pair.path("stamp").asLong()));
        lastKey = Optional.of(key);
      }
      more = reply.body().path("more").asBoolean() && lastKey.isPresent();
    }
    return values;
  }

  /** Applies the mutations if the preconditions hold and the schema level is unchanged. */
  WriteOutcome write(List<Precondition> preconditions, List<Mutation> mutations)
      throws IOException {
    Reply reply = call(callback -> client.compareAndSwap(preconditions, mutations, callback));
    if (reply.ok()) {
      return WriteOutcome.APPLIED;
    }
    if (reply.status() == 409) {
      return WriteOutcome.CONFLICT;
    }
    if (reply.status() == 0) {
      return WriteOutcome.UNKNOWN;
    }
    throw failure(reply);
  }

  private IOException failure(Reply reply) {
    String problem = reply.status() == 0 ? "does not answer" : "answers " + reply.status();
    return new IOException("the state service at " + address + " " + problem);
  }

  private Reply call(Consumer<Consumer<Reply>> request) throws IOException {
    CompletableFuture<Reply> response = new CompletableFuture<>();
    loop.execute(() -> request.accept(response::complete));
    try {
      return response.get(RESPONSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (TimeoutException | ExecutionException e) {
      return Reply.NO_RESPONSE;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    }
  }

  @Override
  public void close() {
    worker.shutdownNow();
  }
}
