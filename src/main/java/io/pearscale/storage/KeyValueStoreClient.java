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
 * Speaks to the state service within this controller's part of the rates. What would go over is
 * answered 429 here, at once, so that three controllers together never flood the service.
 */
public final class KeyValueStoreClient {
  private static final Duration QUICK = Duration.ofMillis(1500);
  private static final Reply LIMITED = new Reply(429, MessagePack.MISSING);

  /** What a write is answered that this build must not make; it was not sent. */
  private static final Reply NOT_ALLOWED = new Reply(503, MessagePack.MISSING);

  private final EventLoop loop;
  private final HttpClient calls;
  private final String address;
  private final TokenBucket requests;
  private final TokenBucket writes;
  private final Supplier<OptionalLong> levelStamp;
  private Optional<Instant> lastGood = Optional.empty();

  /** Uses the service named in the settings, for writes only where no level was ever stored. */
  public KeyValueStoreClient(EventLoop loop, HttpClient calls, Settings settings) {
    this(loop, calls, settings, () -> OptionalLong.of(0));
  }

  /**
   * Uses the service named in the settings.
   *
   * @param levelStamp the stamp of {@link Keys#LEVEL} as far as known, which guards each write;
   *     empty while this build must not write
   */
  public KeyValueStoreClient(
      EventLoop loop, HttpClient calls, Settings settings, Supplier<OptionalLong> levelStamp) {
    this.levelStamp = levelStamp;
    this.loop = loop;
    this.calls = calls;
    this.address = settings.storeAddress();
    // Load is uneven: one controller may take half of all, which leaves room for the two others.
    this.requests = new TokenBucket(loop, settings.storeLimits().requestsPerSecond() * 0.5);
    this.writes = new TokenBucket(loop, settings.storeLimits().writesPerSecond() * 0.6);
  }

  /** Part of a transaction. */
  public record Guard(String key, long stamp) {}

  /** A change: a value to write, or none to drop the key; the grant it hangs on, if any. */
  public record Change(String key, Optional<JsonNode> value, Optional<Long> grant) {
    /** Writes a value. */
    public static Change write(String key, JsonNode value) {
      return new Change(key, Optional.of(value), Optional.empty());
    }

    /** Removes a key. */
    public static Change drop(String key) {
      return new Change(key, Optional.empty(), Optional.empty());
    }
  }

  /** When the service last answered as it should. */
  public Optional<Instant> lastGood() {
    return lastGood;
  }

  /** Whether so many changes could be sent now. */
  public boolean canWrite(int changes) {
    return writes.available(changes);
  }

  /**
   * Carries out the changes if every guard holds, and if the level of stored forms is still the one
   * that this controller knows: whoever missed a switch must not write in the old form.
   */
  public void commit(List<Guard> guards, List<Change> changes, Consumer<Reply> answer) {
    OptionalLong stamp = levelStamp.get();
    if (stamp.isEmpty()) {
      loop.execute(() -> answer.accept(NOT_ALLOWED));
      return;
    }
    if (!writes.take(changes.size())) {
      loop.execute(() -> answer.accept(LIMITED));
      return;
    }
    ObjectNode body = MessagePack.map();
    var g = body.putArray("guards");
    guards.forEach(x -> g.addObject().put("key", x.key()).put("stamp", x.stamp()));
    g.addObject().put("key", Keys.LEVEL).put("stamp", stamp.getAsLong());
    var t = body.putArray("then");
    for (Change c : changes) {
      ObjectNode n = t.addObject();
      if (c.value().isPresent()) {
        n.put("write", c.key());
        n.set("value", c.value().get());
        c.grant().ifPresent(x -> n.put("claim", x));
      } else {
        n.put("drop", c.key());
      }
    }
    send("POST", "/commit", body, QUICK, answer);
  }

  /** Reads one key. */
  public void read(String key, Consumer<Reply> answer) {
    send("GET", "/keys/" + key, MessagePack.MISSING, QUICK, answer);
  }

  /** Reads a page of the keys with a prefix. */
  public void list(String prefix, Optional<String> since, int limit, Consumer<Reply> answer) {
    String path =
        "/keys?prefix=" + prefix + since.map(s -> "&since=" + s).orElse("") + "&limit=" + limit;
    send("GET", path, MessagePack.MISSING, Duration.ofSeconds(4), answer);
  }

  /** Waits for changes. */
  public void watch(String prefix, long since, Duration block, Consumer<Reply> answer) {
    String path = "/watch?prefix=" + prefix + "&since=" + since + "&blockMs=" + block.toMillis();
    send("GET", path, MessagePack.MISSING, block.plus(Duration.ofSeconds(2)), answer);
  }

  /** Asks for a grant. */
  public void grant(Duration ttl, Consumer<Reply> answer) {
    send("POST", "/grants", MessagePack.map().put("ttlMs", ttl.toMillis()), QUICK, answer);
  }

  /** Renews a grant. */
  public void extend(long grant, Consumer<Reply> answer) {
    send("POST", "/grants/" + grant + "/extend", MessagePack.MISSING, QUICK, answer);
  }

  /** Ends a grant. */
  public void revoke(long grant, Consumer<Reply> answer) {
    send("DELETE", "/grants/" + grant, MessagePack.MISSING, QUICK, answer);
  }

  private void send(
      String method, String path, JsonNode body, Duration timeout, Consumer<Reply> answer) {
    if (!requests.take(1)) {
      loop.execute(() -> answer.accept(LIMITED));
      return;
    }
    calls.call(
        address,
        method,
        path,
        body,
        timeout,
        reply -> {
          if (reply.status() == 200 || reply.status() == 409 || reply.status() == 404) {
            lastGood = Optional.of(loop.clock().instant());
          }
          answer.accept(reply);
        });
  }

  /** The keys that an answer of 409 names. */
  public static List<String> failedGuards(Reply reply) {
    List<String> keys = new ArrayList<>();
    reply.body().path("failed").forEach(n -> keys.add(n.asText()));
    return keys;
  }
}
