package io.pearscale.storage;

import com.fasterxml.jackson.databind.JsonNode;
import io.pearscale.transport.Actor;
import io.pearscale.transport.EventLoop;
import io.pearscale.transport.HttpClient.Reply;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Holds a replica of the watched keys. A long-poll watch delivers changes quickly. Read barriers,
 * which are short watches sent after a read was requested, make reads linearizable. The replies of
 * both may overlap, so changes that are not newer than the replica are ignored.
 */
public final class StoreReplicaActor extends Actor<StoreReplicaActor.Message> {
  private static final Duration LONG_POLL_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration WATCH_REOPEN_DELAY = Duration.ofMillis(50);
  private static final Duration RETRY_DELAY = Duration.ofMillis(500);
  private static final Duration BARRIER_INTERVAL = Duration.ofMillis(150);
  private static final int PAGE_SIZE = 500;

  /** A key's value and its mod revision. */
  public record Entry(JsonNode value, long revision) {}

  /** One changed key; the entry is empty if the key was deleted. */
  public record KeyChange(String key, Optional<Entry> entry) {}

  /** A message to the actor. */
  public sealed interface Message {}

  /** Starts to load a snapshot, which replaces the current content. */
  public record Start() implements Message {}

  /**
   * Reads a key in its state at the time of the request or later. The outer value passed to the
   * callback is empty if the read failed, and the inner value is empty if the key does not exist.
   */
  public record LinearizableRead(String key, Consumer<Optional<Optional<Entry>>> callback)
      implements Message {}

  private record PageReceived(int generation, Reply reply) implements Message {}

  private record WatchReceived(int generation, Instant sentAt, Reply reply) implements Message {}

  private record BarrierReceived(
      int generation, Instant sentAt, List<LinearizableRead> reads, Reply reply)
      implements Message {}

  private record SendBarrier() implements Message {}

  /** Receives the replica's content: first a snapshot, then each batch of changes. */
  public interface Listener {
    /** Receives a new snapshot, taken at the given revision of the store. */
    void onSnapshotLoaded(Map<String, Entry> all, long storeRevision);

    /** Receives changed keys in order, up to the given revision of the store. */
    void onKeysChanged(List<KeyChange> changes, long storeRevision);

    /** Called when all changes up to the given time have been delivered. */
    void onUpToDate(Instant caughtUpTo);
  }

  private final KeyValueStoreClient store;
  private final RandomGenerator random;
  private final List<Listener> listeners = new ArrayList<>();
  private final TreeMap<String, Entry> entries = new TreeMap<>();
  private List<LinearizableRead> pendingReads = new ArrayList<>();
  private boolean barrierScheduled;
  private boolean loaded;

  /** The number of the current snapshot; replies to requests for earlier ones are ignored. */
  private int generation;

  private long storeRevision;

  /** The store revision of the first page of the snapshot; -1 before that page is received. */
  private long snapshotRevision = -1;

  private TreeMap<String, Entry> snapshot = new TreeMap<>();

  /** Creates a replica that is not loaded yet. */
  public StoreReplicaActor(EventLoop loop, KeyValueStoreClient store, RandomGenerator random) {
    super(loop);
    this.store = store;
    this.random = random;
  }

  /** Adds a listener. Must be called before {@link Start} is sent. */
  public void addListener(Listener listener) {
    listeners.add(listener);
  }

  @Override
  protected void receive(Message message) {
    if (message instanceof Start) {
      loadSnapshot();
    } else if (message instanceof PageReceived received && received.generation == generation) {
      onPage(received.reply);
    } else if (message instanceof WatchReceived received && received.generation == generation) {
      onWatchReply(received);
    } else if (message instanceof LinearizableRead received) {
      enqueueRead(received);
    } else if (message instanceof SendBarrier) {
      sendBarrier();
    } else if (message instanceof BarrierReceived received) {
      onBarrierReply(received);
    }
  }

  private void loadSnapshot() {
    generation++;
    loaded = false;
    snapshotRevision = -1;
    snapshot = new TreeMap<>();
    requestNextPage();
  }

  private void requestNextPage() {
    int requestedGeneration = generation;
    store.list(
        Keys.WATCHED_PREFIX,
        snapshot.isEmpty() ? Optional.empty() : Optional.of(snapshot.lastKey()),
        PAGE_SIZE,
        reply -> tell(new PageReceived(requestedGeneration, reply)));
  }

  private void onPage(Reply reply) {
    if (!reply.ok() || !reply.body().path("pairs").isArray()) {
      loop.schedule(withJitter(RETRY_DELAY), () -> tell(new Start()));
      return;
    }
    if (snapshotRevision < 0) {
      // The watch starts at the revision of the first page. Later pages may already contain newer
      // changes, which the watch repeats.
      snapshotRevision = reply.body().path("epoch").asLong();
    }
    int sizeBefore = snapshot.size();
    for (JsonNode pair : reply.body().path("pairs")) {
      snapshot.put(
          pair.path("key").asText(), new Entry(pair.path("value"), pair.path("stamp").asLong()));
    }
    if (reply.body().path("more").asBoolean() && snapshot.size() > sizeBefore) {
      requestNextPage();
      return;
    }
    entries.clear();
    entries.putAll(snapshot);
    snapshot = new TreeMap<>();
    storeRevision = snapshotRevision;
    int requestedGeneration = generation;
    openWatch(requestedGeneration, Duration.ZERO);
  }

  private void openWatch(int requestedGeneration, Duration pollTimeout) {
    Instant sentAt = loop.clock().instant();
    store.watch(
        Keys.WATCHED_PREFIX,
        storeRevision,
        pollTimeout,
        reply -> tell(new WatchReceived(requestedGeneration, sentAt, reply)));
  }

  private void onWatchReply(WatchReceived received) {
    Reply reply = received.reply;
    if (reply.status() == 410) {
      // The store no longer has all changes since the requested revision.
      loadSnapshot();
      return;
    }
    boolean valid = reply.ok() && applyWatchReply(reply);
    if (valid && !loaded) {
      loaded = true;
      log.info("event=replica_loaded keys={} revision={}", entries.size(), storeRevision);
      Map<String, Entry> snapshotEntries = new TreeMap<>(entries);
      listeners.forEach(l -> l.onSnapshotLoaded(snapshotEntries, storeRevision));
      if (!pendingReads.isEmpty()) {
        scheduleBarrier();
      }
    }
    if (valid) {
      listeners.forEach(l -> l.onUpToDate(received.sentAt));
    }
    int requestedGeneration = generation;
    loop.schedule(
        valid ? WATCH_REOPEN_DELAY : withJitter(RETRY_DELAY),
        () -> {
          if (requestedGeneration == generation) {
            openWatch(requestedGeneration, loaded ? LONG_POLL_TIMEOUT : Duration.ZERO);
          }
        });
  }

  /** Applies the reply to a watch; returns false if the reply is malformed. */
  private boolean applyWatchReply(Reply reply) {
    JsonNode body = reply.body();
    if (!body.path("epoch").isIntegralNumber() || !body.path("events").isArray()) {
      return false;
    }
    List<KeyChange> changes = new ArrayList<>();
    for (JsonNode event : body.path("events")) {
      long revision = event.path("stamp").asLong();
      if (revision <= storeRevision) {
        continue;
      }
      if (event.hasNonNull("write")) {
        String key = event.path("write").asText();
        Entry entry = new Entry(event.path("value"), revision);
        entries.put(key, entry);
        changes.add(new KeyChange(key, Optional.of(entry)));
      } else if (event.hasNonNull("drop")) {
        String key = event.path("drop").asText();
        entries.remove(key);
        changes.add(new KeyChange(key, Optional.empty()));
      }
    }
    storeRevision = Math.max(storeRevision, body.path("epoch").asLong());
    if (loaded && !changes.isEmpty()) {
      listeners.forEach(l -> l.onKeysChanged(changes, storeRevision));
    }
    return true;
  }

  private void enqueueRead(LinearizableRead read) {
    if (!loaded) {
      read.callback.accept(Optional.empty());
      return;
    }
    pendingReads.add(read);
    scheduleBarrier();
  }

  private void scheduleBarrier() {
    if (!barrierScheduled) {
      barrierScheduled = true;
      loop.schedule(Duration.ofMillis(2), () -> tell(new SendBarrier()));
    }
  }

  private void sendBarrier() {
    List<LinearizableRead> reads = pendingReads;
    pendingReads = new ArrayList<>();
    int requestedGeneration = generation;
    Instant sentAt = loop.clock().instant();
    store.watch(
        Keys.WATCHED_PREFIX,
        storeRevision,
        Duration.ZERO,
        reply -> tell(new BarrierReceived(requestedGeneration, sentAt, reads, reply)));
    loop.schedule(
        BARRIER_INTERVAL,
        () -> {
          barrierScheduled = false;
          if (!pendingReads.isEmpty()) {
            scheduleBarrier();
          }
        });
  }

  private void onBarrierReply(BarrierReceived received) {
    boolean valid =
        loaded
            && received.generation == generation
            && received.reply.ok()
            && applyWatchReply(received.reply);
    if (valid) {
      listeners.forEach(l -> l.onUpToDate(received.sentAt));
    }
    for (LinearizableRead read : received.reads) {
      read.callback.accept(
          valid ? Optional.of(Optional.ofNullable(entries.get(read.key))) : Optional.empty());
    }
  }

  private Duration withJitter(Duration delay) {
    return delay.plusMillis(random.nextInt((int) delay.toMillis()));
  }
}
