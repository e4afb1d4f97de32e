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
 * Holds a copy of the watched keys. Two ways feed it: a long watch, for speed, and short watches
 * that were sent after somebody asked (barriers), for answers that must not be older than their
 * question. Both may overlap: what is not newer than the copy is passed over.
 */
public final class StoreReplicaActor extends Actor<StoreReplicaActor.Message> {
  private static final Duration BLOCK = Duration.ofSeconds(2);
  private static final Duration REOPEN = Duration.ofMillis(50);
  private static final Duration RETRY = Duration.ofMillis(500);
  private static final Duration BARRIER_SPACING = Duration.ofMillis(150);
  private static final int PAGE = 500;

  /** A key's value and revision. */
  public record Entry(JsonNode value, long stamp) {}

  /** One changed key; no entry when it was dropped. */
  public record KeyChange(String key, Optional<Entry> entry) {}

  /** What the actor understands. */
  public sealed interface Message {}

  /** Begins to load. */
  public record Start() implements Message {}

  /**
   * Asks for a key as it is now or later than now; the answer is empty when the state service could
   * not tell.
   */
  public record Ask(String key, Consumer<Optional<Optional<Entry>>> answer) implements Message {}

  private record Page(int generation, Reply reply) implements Message {}

  private record Watched(int generation, Instant sent, Reply reply) implements Message {}

  private record Caught(int generation, Instant sent, List<Ask> asks, Reply reply)
      implements Message {}

  private record SendBarrier() implements Message {}

  /** Takes what changed: first everything, then each batch of changes. */
  public interface Listener {
    /** The copy was loaded anew. */
    void loaded(Map<String, Entry> all, long epoch);

    /** Keys changed, in order. */
    void changed(List<KeyChange> changes, long epoch);

    /** All that had changed by then has been told. */
    void fresh(Instant asOf);
  }

  private final KeyValueStoreClient state;
  private final RandomGenerator random;
  private final List<Listener> listeners = new ArrayList<>();
  private final TreeMap<String, Entry> entries = new TreeMap<>();
  private List<Ask> waiting = new ArrayList<>();
  private boolean barrierPlanned;
  private boolean loaded;
  private int generation;
  private long epoch;
  private long loadEpoch = -1;
  private TreeMap<String, Entry> loading = new TreeMap<>();

  /** Reads from the given service. */
  public StoreReplicaActor(EventLoop loop, KeyValueStoreClient state, RandomGenerator random) {
    super(loop);
    this.state = state;
    this.random = random;
  }

  /** Adds one who is told of changes; before the start only. */
  public void listen(Listener listener) {
    listeners.add(listener);
  }

  @Override
  protected void receive(Message message) {
    if (message instanceof Start) {
      load();
    } else if (message instanceof Page m && m.generation == generation) {
      page(m.reply);
    } else if (message instanceof Watched m && m.generation == generation) {
      watched(m);
    } else if (message instanceof Ask m) {
      ask(m);
    } else if (message instanceof SendBarrier) {
      sendBarrier();
    } else if (message instanceof Caught m) {
      caught(m);
    }
  }

  private void load() {
    generation++;
    loaded = false;
    loadEpoch = -1;
    loading = new TreeMap<>();
    nextPage();
  }

  private void nextPage() {
    int g = generation;
    state.list(
        Keys.CURRENT,
        loading.isEmpty() ? Optional.empty() : Optional.of(loading.lastKey()),
        PAGE,
        r -> tell(new Page(g, r)));
  }

  private void page(Reply reply) {
    if (!reply.ok() || !reply.body().path("pairs").isArray()) {
      loop.after(jitter(RETRY), () -> tell(new Start()));
      return;
    }
    if (loadEpoch < 0) {
      // Changes since the first page are watched for; they mend what later pages saw too early.
      loadEpoch = reply.body().path("epoch").asLong();
    }
    int before = loading.size();
    for (JsonNode n : reply.body().path("pairs")) {
      loading.put(n.path("key").asText(), new Entry(n.path("value"), n.path("stamp").asLong()));
    }
    if (reply.body().path("more").asBoolean() && loading.size() > before) {
      nextPage();
      return;
    }
    entries.clear();
    entries.putAll(loading);
    loading = new TreeMap<>();
    epoch = loadEpoch;
    int g = generation;
    watch(g, Duration.ZERO);
  }

  private void watch(int g, Duration block) {
    Instant sent = loop.clock().instant();
    state.watch(Keys.CURRENT, epoch, block, r -> tell(new Watched(g, sent, r)));
  }

  private void watched(Watched m) {
    Reply reply = m.reply;
    if (reply.status() == 410) {
      load();
      return;
    }
    boolean good = reply.ok() && apply(reply);
    if (good && !loaded) {
      loaded = true;
      log.info("event=replica_loaded keys={} epoch={}", entries.size(), epoch);
      Map<String, Entry> all = new TreeMap<>(entries);
      listeners.forEach(l -> l.loaded(all, epoch));
      if (!waiting.isEmpty()) {
        planBarrier();
      }
    }
    if (good) {
      listeners.forEach(l -> l.fresh(m.sent));
    }
    int g = generation;
    loop.after(
        good ? REOPEN : jitter(RETRY),
        () -> {
          if (g == generation) {
            watch(g, loaded ? BLOCK : Duration.ZERO);
          }
        });
  }

  /** Applies a watch's answer; false when it is not one. */
  private boolean apply(Reply reply) {
    JsonNode body = reply.body();
    if (!body.path("epoch").isIntegralNumber() || !body.path("events").isArray()) {
      return false;
    }
    List<KeyChange> changes = new ArrayList<>();
    for (JsonNode e : body.path("events")) {
      long stamp = e.path("stamp").asLong();
      if (stamp <= epoch) {
        continue;
      }
      if (e.hasNonNull("write")) {
        String key = e.path("write").asText();
        Entry entry = new Entry(e.path("value"), stamp);
        entries.put(key, entry);
        changes.add(new KeyChange(key, Optional.of(entry)));
      } else if (e.hasNonNull("drop")) {
        String key = e.path("drop").asText();
        entries.remove(key);
        changes.add(new KeyChange(key, Optional.empty()));
      }
    }
    epoch = Math.max(epoch, body.path("epoch").asLong());
    if (loaded && !changes.isEmpty()) {
      listeners.forEach(l -> l.changed(changes, epoch));
    }
    return true;
  }

  private void ask(Ask ask) {
    if (!loaded) {
      ask.answer.accept(Optional.empty());
      return;
    }
    waiting.add(ask);
    planBarrier();
  }

  private void planBarrier() {
    if (!barrierPlanned) {
      barrierPlanned = true;
      loop.after(Duration.ofMillis(2), () -> tell(new SendBarrier()));
    }
  }

  private void sendBarrier() {
    List<Ask> asks = waiting;
    waiting = new ArrayList<>();
    int g = generation;
    Instant sent = loop.clock().instant();
    state.watch(Keys.CURRENT, epoch, Duration.ZERO, r -> tell(new Caught(g, sent, asks, r)));
    loop.after(
        BARRIER_SPACING,
        () -> {
          barrierPlanned = false;
          if (!waiting.isEmpty()) {
            planBarrier();
          }
        });
  }

  private void caught(Caught m) {
    boolean good = loaded && m.generation == generation && m.reply.ok() && apply(m.reply);
    if (good) {
      listeners.forEach(l -> l.fresh(m.sent));
    }
    for (Ask a : m.asks) {
      a.answer.accept(
          good ? Optional.of(Optional.ofNullable(entries.get(a.key))) : Optional.empty());
    }
  }

  private Duration jitter(Duration d) {
    return d.plusMillis(random.nextInt((int) d.toMillis()));
  }
}
