import com.sun.net.httpserver.HttpServer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;

/** The state service, with one address for each controller so that one alone can be refused. */
final class Store {
  private static final int VALUE_LIMIT = 16 * 1024;

  private record Entry(Object value, long revision, long lease) {}

  private record Event(String key, Object value, boolean drop, long revision) {}

  private static final class Lease {
    long ttlMs;
    long endsAt;
  }

  private final TreeMap<String, Entry> entries = new TreeMap<>();
  private final List<Event> events = new ArrayList<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private final List<HttpServer> servers = new ArrayList<>();
  private long revision = 1;
  private long lastLease = 100;
  private boolean outage;
  private final boolean[] refused;
  private final int opsLimit;

  /** How long answers take, in milliseconds. */
  volatile int latencyMs = 2;

  private final double rps;
  private final double writeRps;
  private double requestsLeft;
  private double writesLeft;
  private long refilledAt = now();

  Store(int[] ports, int opsLimit, double rps, double writeRps) throws Exception {
    refused = new boolean[ports.length];
    this.opsLimit = opsLimit;
    this.rps = rps;
    this.writeRps = writeRps;
    requestsLeft = rps;
    writesLeft = writeRps;
    for (int i = 0; i < ports.length; i++) {
      int node = i;
      servers.add(Http.serve(ports[i], (m, p, q, b) -> answer(node, m, p, q, b)));
    }
    Thread ticker =
        new Thread(
            () -> {
              while (true) {
                try {
                  Thread.sleep(20);
                  expire();
                } catch (InterruptedException e) {
                  return;
                }
              }
            });
    ticker.setDaemon(true);
    ticker.start();
  }

  private static long now() {
    return System.nanoTime() / 1_000_000;
  }

  synchronized void setOutage(boolean out) {
    if (outage && !out) {
      leases.values().forEach(lease -> lease.endsAt = now() + lease.ttlMs);
    }
    outage = out;
    notifyAll();
  }

  synchronized void setRefused(int node, boolean isRefused) {
    refused[node] = isRefused;
    notifyAll();
  }

  synchronized Object value(String key) {
    Entry entry = entries.get(key);
    return entry == null ? null : entry.value;
  }

  synchronized Map<String, Object> values(String prefix) {
    Map<String, Object> found = new TreeMap<>();
    entries.tailMap(prefix).forEach((k, e) -> {
      if (k.startsWith(prefix)) {
        found.put(k, e.value);
      }
    });
    return found;
  }

  synchronized long revision() {
    return revision;
  }

  private synchronized void expire() {
    if (outage) {
      return;
    }
    long now = now();
    List<Long> over = new ArrayList<>();
    leases.forEach((id, lease) -> {
      if (lease.endsAt <= now) {
        over.add(id);
      }
    });
    over.forEach(this::end);
  }

  private void end(long id) {
    leases.remove(id);
    List<String> keys = new ArrayList<>();
    entries.forEach((k, e) -> {
      if (e.lease == id) {
        keys.add(k);
      }
    });
    if (!keys.isEmpty()) {
      revision++;
      for (String key : keys) {
        entries.remove(key);
        events.add(new Event(key, null, true, revision));
      }
      notifyAll();
    }
  }

  private static Map<String, String> parse(String query) {
    Map<String, String> map = new HashMap<>();
    for (String part : query.split("&")) {
      int i = part.indexOf('=');
      if (i > 0) {
        map.put(part.substring(0, i), part.substring(i + 1));
      }
    }
    return map;
  }

  private static Http.Reply reply(int status, Object... pairs) {
    return new Http.Reply(status, Pack.map(pairs));
  }

  private Http.Reply answer(int node, String method, String path, String query, Object body)
      throws Exception {
    int wait = latencyMs;
    if (wait > 0) {
      Thread.sleep(Math.max(1, wait / 2 + ThreadLocalRandom.current().nextInt(wait)));
    }
    synchronized (this) {
      if (outage || refused[node]) {
        return reply(503, "error", "trouble");
      }
      refill();
      if (requestsLeft < 1) {
        return reply(429, "error", "too many requests");
      }
      requestsLeft--;
      if (path.equals("/watch")) {
        return watch(node, parse(query));
      }
      if (path.equals("/keys")) {
        return list(parse(query));
      }
      if (path.startsWith("/keys/")) {
        Entry entry = entries.get(path.substring(6));
        return entry == null
            ? reply(404, "epoch", revision)
            : reply(200, "key", path.substring(6), "value", entry.value, "stamp", entry.revision,
                "claim", entry.lease);
      }
      if (path.equals("/commit")) {
        return commit(body);
      }
      if (path.equals("/grants")) {
        Lease lease = new Lease();
        lease.ttlMs = ((Number) ((Map<?, ?>) body).get("ttlMs")).longValue();
        lease.endsAt = now() + lease.ttlMs;
        leases.put(++lastLease, lease);
        return reply(200, "claim", lastLease);
      }
      if (path.startsWith("/grants/")) {
        long id = Long.parseLong(path.substring(8).replace("/extend", ""));
        Lease lease = leases.get(id);
        if (lease == null) {
          return reply(404, "error", "no such lease");
        }
        if (method.equals("DELETE")) {
          end(id);
        } else {
          lease.endsAt = now() + lease.ttlMs;
        }
        return reply(200, "claim", id);
      }
      return reply(400, "error", "no such call");
    }
  }

  private Http.Reply list(Map<String, String> query) {
    String prefix = query.get("prefix");
    String since = query.getOrDefault("since", "");
    int limit = Integer.parseInt(query.getOrDefault("limit", "1000"));
    List<Object> pairs = new ArrayList<>();
    boolean more = false;
    for (Map.Entry<String, Entry> entry : entries.tailMap(prefix).entrySet()) {
      if (!entry.getKey().startsWith(prefix)) {
        break;
      }
      if (entry.getKey().compareTo(since) <= 0 && !since.isEmpty()) {
        continue;
      }
      if (pairs.size() >= Math.min(limit, 1000)) {
        more = true;
        break;
      }
      Entry e = entry.getValue();
      pairs.add(Pack.map("key", entry.getKey(), "value", e.value, "stamp", e.revision));
    }
    return reply(200, "pairs", pairs, "more", more, "epoch", revision);
  }

  private void refill() {
    double seconds = (now() - refilledAt) / 1000.0;
    refilledAt = now();
    requestsLeft = Math.min(rps, requestsLeft + seconds * rps);
    writesLeft = Math.min(writeRps, writesLeft + seconds * writeRps);
  }

  private Http.Reply commit(Object body) {
    Map<?, ?> map = (Map<?, ?>) body;
    int changes = map.get("then") == null ? 0 : ((List<?>) map.get("then")).size();
    if (changes > writesLeft) {
      return reply(429, "error", "too many changes");
    }
    writesLeft -= changes;
    List<Object> failed = new ArrayList<>();
    for (Object g : (List<?>) map.get("guards")) {
      Map<?, ?> guard = (Map<?, ?>) g;
      Entry entry = entries.get(guard.get("key"));
      long actual = entry == null ? 0 : entry.revision;
      if (actual != ((Number) guard.get("stamp")).longValue()) {
        failed.add(guard.get("key"));
      }
    }
    List<?> then = map.get("then") == null ? List.of() : (List<?>) map.get("then");
    if (then.size() > opsLimit) {
      return reply(400, "error", "too many changes");
    }
    for (Object c : then) {
      Map<?, ?> change = (Map<?, ?>) c;
      Number claim = (Number) change.get("claim");
      if (claim != null && !leases.containsKey(claim.longValue())) {
        return reply(400, "error", "no such lease");
      }
      if (change.get("write") != null
          && String.valueOf(change.get("value")).length() > VALUE_LIMIT) {
        return reply(400, "error", "value too long");
      }
    }
    if (!failed.isEmpty()) {
      return reply(409, "failed", failed, "epoch", revision);
    }
    if (!then.isEmpty()) {
      revision++;
      for (Object c : then) {
        Map<?, ?> change = (Map<?, ?>) c;
        if (change.get("write") != null) {
          Number claim = (Number) change.get("claim");
          String key = (String) change.get("write");
          Object value = change.get("value");
          entries.put(key, new Entry(value, revision, claim == null ? 0 : claim.longValue()));
          events.add(new Event(key, value, false, revision));
        } else {
          String key = (String) change.get("drop");
          if (entries.remove(key) != null) {
            events.add(new Event(key, null, true, revision));
          }
        }
      }
      while (events.size() > 10_000) {
        events.remove(0);
      }
      notifyAll();
    }
    return reply(200, "epoch", revision);
  }

  private Http.Reply watch(int node, Map<String, String> query) throws InterruptedException {
    String prefix = query.get("prefix");
    long since = Long.parseLong(query.get("since"));
    long until = now() + Long.parseLong(query.getOrDefault("blockMs", "0"));
    while (true) {
      if (!outage && !refused[node]) {
        if (!events.isEmpty() && events.size() >= 10_000 && events.get(0).revision > since + 1) {
          return reply(410, "error", "too old");
        }
        List<Object> found = new ArrayList<>();
        for (int i = events.size() - 1; i >= 0 && events.get(i).revision > since; i--) {
          Event e = events.get(i);
          if (e.key.startsWith(prefix)) {
            found.add(
                0,
                e.drop
                    ? Pack.map("drop", e.key, "stamp", e.revision)
                    : Pack.map("write", e.key, "value", e.value, "stamp", e.revision));
          }
        }
        if (!found.isEmpty() || now() >= until) {
          return reply(200, "epoch", revision, "events", found);
        }
      }
      long left = until - now();
      wait(outage || refused[node] ? 100 : Math.max(1, Math.min(left, 100)));
    }
  }
}
