import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The cloud: rents machines, whose workers begin to report when they are up. */
final class Cloud {
  private static final class Host {
    String name;
    String yard;
    boolean windfall;
    Map<String, Object> type;
    Worker worker;
    long rentedAt;
    long upAt;
    long goneAt = Long.MAX_VALUE;
  }

  interface WorkerMaker {
    Worker make(String name, String yard, boolean windfall, Map<String, Object> type)
        throws Exception;
  }

  private final World world;
  private final List<Map<String, Object>> types;
  private final WorkerMaker maker;
  private final long lagMs;
  private final int capacity;
  private final Map<String, Host> hosts = new TreeMap<>();
  private final Map<String, Object> granted = new HashMap<>();
  private int lastNumber;

  Cloud(
      World world, int port, List<Map<String, Object>> types, int capacity, double lagS,
      WorkerMaker maker) throws Exception {
    this.world = world;
    this.types = types;
    this.maker = maker;
    this.capacity = capacity;
    this.lagMs = (long) (lagS * 1000);
    Http.serve(port, this::answer);
    Thread booter =
        new Thread(
            () -> {
              while (true) {
                try {
                  Thread.sleep(50);
                  boot();
                } catch (Exception e) {
                  e.printStackTrace();
                }
              }
            });
    booter.setDaemon(true);
    booter.start();
  }

  private static long now() {
    return System.nanoTime() / 1_000_000;
  }

  synchronized Worker worker(String name) {
    return hosts.get(name).worker;
  }

  synchronized List<Worker> workers() {
    List<Worker> list = new ArrayList<>();
    for (Host host : hosts.values()) {
      if (host.worker != null && !host.worker.isDead()) {
        list.add(host.worker);
      }
    }
    return list;
  }

  /** Rents a machine; it is up after the given time. */
  synchronized String rent(Map<String, Object> type, String yard, boolean windfall, double bootS) {
    Host host = new Host();
    host.name = "m-%06d".formatted(++lastNumber);
    host.yard = yard;
    host.windfall = windfall;
    host.type = type;
    host.rentedAt = now();
    host.upAt = now() + (long) (bootS * 1000);
    hosts.put(host.name, host);
    return host.name;
  }

  /** A machine is taken back without a notice. */
  synchronized void take(String name) {
    Host host = hosts.get(name);
    host.goneAt = now();
    if (host.worker != null) {
      host.worker.die("taken");
    }
  }

  private synchronized void boot() throws Exception {
    for (Host host : hosts.values()) {
      if (host.worker == null && host.goneAt == Long.MAX_VALUE && now() >= host.upAt) {
        host.worker = maker.make(host.name, host.yard, host.windfall, host.type);
        world.log("machine " + host.name + " is up in " + host.yard);
      }
    }
  }

  private synchronized Http.Reply answer(String method, String path, String query, Object body) {
    if (path.equals("/catalog")) {
      return new Http.Reply(200, Pack.map("breeds", types));
    }
    if (path.equals("/hosts/delete")) {
      for (Object name : (List<?>) ((Map<?, ?>) body).get("hives")) {
        Host host = hosts.get(name);
        if (host != null && host.goneAt == Long.MAX_VALUE) {
          host.goneAt = now();
          world.log("cloud deletes " + name);
          if (host.worker != null) {
            host.worker.die("deleted");
          }
        }
      }
      return new Http.Reply(200, Pack.map());
    }
    if (path.equals("/hosts") && method.equals("POST")) {
      return rent((Map<?, ?>) body);
    }
    return list();
  }

  private Http.Reply rent(Map<?, ?> body) {
    String hire = (String) body.get("hire");
    if (granted.containsKey(hire)) {
      return new Http.Reply(200, Pack.map("hives", granted.get(hire)));
    }
    long up = hosts.values().stream().filter(h -> h.goneAt == Long.MAX_VALUE).count();
    long count = Math.min(((Number) body.get("count")).longValue(), capacity - up);
    if (count <= 0) {
      return new Http.Reply(503, Pack.map("error", "no capacity"));
    }
    List<Object> names = new ArrayList<>();
    for (Map<String, Object> type : types) {
      if (type.get("sku").equals(body.get("breed"))) {
        for (int i = 0; i < count; i++) {
          names.add(
              rent(
                  type, (String) body.get("yard"), (Boolean) body.get("windfall"),
                  ((Number) type.get("readyS")).doubleValue()));
        }
      }
    }
    granted.put(hire, names);
    world.log("cloud rents " + names + " for " + hire);
    return new Http.Reply(200, Pack.map("hives", names));
  }

  private Http.Reply list() {
    long then = now() - lagMs;
    List<Object> listed = new ArrayList<>();
    for (Host host : hosts.values()) {
      if (host.rentedAt <= then && host.goneAt > then) {
        listed.add(
            Pack.map(
                "uid", host.name, "address",
                "127.0.0.1:" + (host.worker == null ? 1 : host.worker.port), "breed",
                host.type.get("sku"), "yard", host.yard, "windfall", host.windfall, "stage",
                host.upAt <= then ? "running" : "booting", "ageS",
                (then - host.rentedAt) / 1000.0));
      }
    }
    return new Http.Reply(200, Pack.map("hives", listed, "more", false));
  }
}
