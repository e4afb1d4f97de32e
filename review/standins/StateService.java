import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The state service of PROTOCOL-pearscale.md: keys, transactions, leases, watches and limits. */
final class StateService {
  private record Entry(Object value, long stamp, long claim) {}

  private record Change(String key, Object value, long stamp) {}

  private final double rps;
  private final double writeRps;
  private final int valueBytes;
  private final int txnOps;
  private final TreeMap<String, Entry> entries = new TreeMap<>();
  private final List<Change> changes = new ArrayList<>();
  private final Map<Long, Long> leaseEnds = new HashMap<>();
  private final Map<Long, Long> leaseTtls = new HashMap<>();
  private long epoch;
  private long lastClaim;
  private double requestTokens;
  private double writeTokens;
  private long refilledAt = System.nanoTime();

  StateService(double rps, double writeRps, double valueKb, int txnOps) {
    this.rps = rps;
    this.writeRps = writeRps;
    this.valueBytes = (int) (valueKb * 1024);
    this.txnOps = txnOps;
    this.requestTokens = rps;
    this.writeTokens = writeRps;
    Net.THREADS.execute(this::expireForever);
  }

  private static Net.Reply reply(int status, Object... pairs) {
    return new Net.Reply(status, Pack.map(pairs));
  }

  private void expireForever() {
    try {
      while (true) {
        Thread.sleep(20);
        synchronized (this) {
          long now = System.nanoTime();
          for (long claim : List.copyOf(leaseEnds.keySet())) {
            if (leaseEnds.get(claim) - now < 0) {
              end(claim);
            }
          }
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void end(long claim) {
    leaseEnds.remove(claim);
    for (String key : List.copyOf(entries.keySet())) {
      if (entries.get(key).claim == claim) {
        entries.remove(key);
        changes.add(new Change(key, null, ++epoch));
      }
    }
    notifyAll();
  }

  private void refill() {
    long now = System.nanoTime();
    double seconds = (now - refilledAt) / 1e9;
    refilledAt = now;
    requestTokens = Math.min(rps, requestTokens + seconds * rps);
    writeTokens = Math.min(writeRps, writeTokens + seconds * writeRps);
  }

  Net.Reply handle(String method, String path, Map<String, Object> body)
      throws InterruptedException {
    synchronized (this) {
      refill();
      if (requestTokens < 1) {
        return reply(429);
      }
      requestTokens--;
      if (path.startsWith("/watch")) {
        return watch(query(path));
      } else if (path.startsWith("/keys?")) {
        return list(query(path));
      } else if (path.startsWith("/keys/")) {
        Entry entry = entries.get(path.substring(6));
        return entry == null
            ? reply(404, "epoch", epoch)
            : reply(
                200, "key", path.substring(6), "value", entry.value, "stamp", entry.stamp, "claim",
                entry.claim == 0 ? null : (Object) entry.claim);
      } else if (path.equals("/commit")) {
        return commit(body);
      } else if (path.equals("/grants")) {
        long ttl = Pack.number(body, "ttlMs");
        leaseTtls.put(++lastClaim, ttl);
        leaseEnds.put(lastClaim, System.nanoTime() + ttl * 1_000_000);
        return reply(200, "claim", lastClaim);
      } else if (path.startsWith("/grants/")) {
        long claim = Long.parseLong(path.split("/")[2]);
        if (!leaseEnds.containsKey(claim)) {
          return reply(404);
        } else if (method.equals("DELETE")) {
          end(claim);
        } else {
          leaseEnds.put(claim, System.nanoTime() + leaseTtls.get(claim) * 1_000_000);
        }
        return reply(200, "claim", claim);
      }
      return reply(400);
    }
  }

  private static Map<String, String> query(String path) {
    Map<String, String> parameters = new HashMap<>();
    for (String part : path.substring(path.indexOf('?') + 1).split("&")) {
      String[] pair = part.split("=", 2);
      parameters.put(
          pair[0], pair.length < 2 ? "" : URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
    }
    return parameters;
  }

  private Net.Reply list(Map<String, String> query) {
    String prefix = query.getOrDefault("prefix", "");
    String since = query.getOrDefault("since", "");
    int limit = Math.min(1000, Integer.parseInt(query.getOrDefault("limit", "1000")));
    List<Object> pairs = new ArrayList<>();
    boolean more = false;
    int bytes = 0;
    for (Map.Entry<String, Entry> entry : entries.tailMap(prefix, true).entrySet()) {
      if (!entry.getKey().startsWith(prefix)) {
        break;
      }
      if (entry.getKey().compareTo(since) <= 0) {
        continue;
      }
      bytes += Pack.jsonLength(entry.getValue().value);
      if (pairs.size() == limit || bytes > 500 * 1024) {
        more = true;
        break;
      }
      pairs.add(
          Pack.map(
              "key",
              entry.getKey(),
              "value",
              entry.getValue().value,
              "stamp",
              entry.getValue().stamp));
    }
    return reply(200, "pairs", pairs, "more", more, "epoch", epoch);
  }

  private Net.Reply commit(Map<String, Object> body) {
    List<Map<String, Object>> then = Pack.maps(body, "then");
    if (then.size() > txnOps
        || Pack.maps(body, "guards").size() > 4 * txnOps
        || Pack.jsonLength(body) > 64 * 1024) {
      return reply(400, "error", "too large");
    }
    for (Map<String, Object> change : then) {
      if (Pack.jsonLength(change.get("value")) > valueBytes) {
        return reply(400, "error", "value too large");
      }
    }
    if (writeTokens < then.size()) {
      return reply(429);
    }
    writeTokens -= then.size();
    for (Map<String, Object> change : then) {
      if (change.get("claim") != null && !leaseEnds.containsKey(Pack.number(change, "claim"))) {
        return reply(400, "error", "no such lease");
      }
    }
    List<Object> failed = new ArrayList<>();
    for (Map<String, Object> guard : Pack.maps(body, "guards")) {
      Entry entry = entries.get(Pack.text(guard, "key"));
      if ((entry == null ? 0 : entry.stamp) != Pack.number(guard, "stamp")) {
        failed.add(Pack.text(guard, "key"));
      }
    }
    if (!failed.isEmpty()) {
      return reply(409, "failed", failed, "epoch", epoch);
    }
    if (then.isEmpty()) {
      return reply(200, "epoch", epoch);
    }
    epoch++;
    for (Map<String, Object> change : then) {
      if (change.get("write") != null) {
        String key = Pack.text(change, "write");
        entries.put(key, new Entry(change.get("value"), epoch, Pack.number(change, "claim")));
        changes.add(new Change(key, change.get("value"), epoch));
      } else if (entries.remove(Pack.text(change, "drop")) != null) {
        changes.add(new Change(Pack.text(change, "drop"), null, epoch));
      }
    }
    notifyAll();
    return reply(200, "epoch", epoch);
  }

  private Net.Reply watch(Map<String, String> query) throws InterruptedException {
    String prefix = query.getOrDefault("prefix", "");
    long since = Long.parseLong(query.getOrDefault("since", "0"));
    long end =
        System.nanoTime() + Long.parseLong(query.getOrDefault("blockMs", "0")) * 1_000_000;
    while (true) {
      if (changes.size() > 10_000 && changes.get(changes.size() - 10_001).stamp > since) {
        return reply(410);
      }
      List<Object> events = new ArrayList<>();
      int first = changes.size();
      while (first > 0 && changes.get(first - 1).stamp > since) {
        first--;
      }
      for (Change change : changes.subList(first, changes.size())) {
        if (change.key.startsWith(prefix)) {
          events.add(
              change.value == null
                  ? Pack.map("drop", change.key, "stamp", change.stamp)
                  : Pack.map("write", change.key, "value", change.value, "stamp", change.stamp));
        }
      }
      long leftMs = (end - System.nanoTime()) / 1_000_000;
      if (!events.isEmpty() || leftMs <= 0) {
        return reply(200, "epoch", epoch, "events", events);
      }
      wait(leftMs);
    }
  }

  /** Returns the value of a key, or null. */
  synchronized Object value(String key) {
    Entry entry = entries.get(key);
    return entry == null ? null : entry.value;
  }
}
