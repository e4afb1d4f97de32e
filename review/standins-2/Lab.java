import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** A small deployment: three controllers as processes, and stand-ins for all else. */
final class Lab implements AutoCloseable {
  static final int NODES = 3;
  private static final int BLOCK = 200;

  /** The settings of the deployment, with defaults like those of the brief's first site. */
  static final class Options {
    /** Settings of the brief's second site, with its one type of machine. */
    static Options metro(int capacity) {
      Options options = new Options();
      options.reportS = 2.5;
      options.leaseS = 16.0;
      options.cancelS = 36.0;
      options.cpuShare = 0.255;
      options.valueKb = 16;
      options.txnOps = 24;
      options.rps = 100;
      options.writeRps = 30;
      options.fdLimit = 1200;
      options.listLagS = 10.0;
      options.capacity = capacity;
      options.teams = team("amanzi-pay", 0, 0);
      options.objectives = "";
      options.types =
          List.of(
              type("ubuntu", 4, 32, 0.26, 0.12, List.of("umgeni", "bluff", "pinetown")));
      return options;
    }

    double reportS = 3.0;
    double leaseS = 22.0;
    double cancelS = 42.0;
    double cpuShare = 0.51;
    int valueKb = 8;
    int txnOps = 40;
    int rps = 150;
    int writeRps = 50;
    int fdLimit = 2000;
    double listLagS = 12.0;
    int capacity = 8;
    String teams = team("mesa-contenidos-00", 0, 0);
    String objectives =
        "[[facts.objectives]]\nkind = \"wait\"\nclass = \"tarjetero\"\nwithin_s = 1.0\n"
            + "share = 0.97\n";
    String operations = "";
    List<Map<String, Object>> types =
        List.of(type("cerro", 32, 256, 2.79, 1.07, List.of("heredia", "liberia")));

    static String team(String name, double cpus, double cpusMax) {
      return "[[facts.teams]]\nname = \"" + name + "\"\ncpus = " + cpus + "\ncpus_max = " + cpusMax
          + "\ngpus = 0.0\ngpus_max = 0.0\n";
    }

    static Map<String, Object> type(
        String sku, double cpus, double memory, double rate, double market, List<String> yards) {
      return Pack.map(
          "sku", sku, "vcpus", cpus, "accelerators", 0.0, "memoryGb", memory, "cacheGb", 60.0,
          "fetchGbPerS", 1.0, "rate", rate, "marketPrice", market, "readyS", 5.0, "yards",
          new ArrayList<>(yards));
    }
  }

  final World world;
  final Options options;
  final Store store;
  final Cloud cloud;
  final Path folder;
  private final Path root;
  private final Path caseFolder;
  private final int[] client = new int[NODES];
  private final int[] back = new int[NODES];
  private final int[] state = new int[NODES];
  private final int cloudPort;
  private final Process[] processes = new Process[NODES];
  private final Map<String, Proxy> proxies = new HashMap<>();
  private final Map<String, Integer> proxyPorts = new HashMap<>();
  private final ServerSocket block = takeBlock();
  private int nextPort = block.getLocalPort() + 1;

  Lab(Path root, Path caseFolder, Options options) throws Exception {
    this.root = root;
    this.caseFolder = caseFolder;
    this.options = options;
    this.folder = Files.createTempDirectory("pearscale-case");
    this.world = new World(caseFolder.resolve("record.txt"));
    for (int i = 0; i < NODES; i++) {
      client[i] = freePort();
      back[i] = freePort();
      state[i] = freePort();
    }
    cloudPort = freePort();
    store = new Store(state, options.txnOps, options.rps, options.writeRps);
    for (int i = 0; i < NODES; i++) {
      proxy("state-" + i, state[i]);
      for (int j = 0; j < NODES; j++) {
        if (i != j) {
          proxy("peer-" + i + "-" + j, back[j]);
        }
      }
      proxy("workers-" + i, client[i]);
    }
    int[] workerPorts = new int[NODES];
    for (int i = 0; i < NODES; i++) {
      workerPorts[i] = proxyPorts.get("workers-" + i);
    }
    int[] counter = {0};
    cloud =
        new Cloud(
            world, cloudPort, options.types, options.capacity, options.listLagS,
            (name, yard, windfall, type) ->
                new Worker(
                    world, name, freePort(), yard, windfall, type, workerPorts, options.reportS,
                    options.leaseS, counter[0]++ % NODES));
    Thread checker =
        new Thread(
            () -> {
              while (true) {
                pause(0.1);
                world.checkCancelled(options.cancelS);
              }
            });
    checker.setDaemon(true);
    checker.start();
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
  }

  private void proxy(String name, int target) throws IOException {
    int port = freePort();
    proxyPorts.put(name, port);
    proxies.put(name, new Proxy(port, target));
  }

  Proxy proxy(String name) {
    return proxies.get(name);
  }

  /** Takes a block of ports below those that the system gives to outgoing connections. */
  private static ServerSocket takeBlock() throws IOException {
    for (int i = 0; i < 1000; i++) {
      int first = 20_000 + BLOCK * ThreadLocalRandom.current().nextInt(12_000 / BLOCK);
      try {
        // Held for as long as the case runs, so that another one takes another block.
        return new ServerSocket(first, 1, Http.LOOPBACK);
      } catch (BindException e) {
        // Another case has it.
      }
    }
    throw new IOException("no free block of ports");
  }

  private synchronized int freePort() throws IOException {
    while (nextPort < block.getLocalPort() + BLOCK) {
      int port = nextPort++;
      try (ServerSocket socket = new ServerSocket()) {
        socket.bind(new InetSocketAddress(Http.LOOPBACK, port));
        return port;
      } catch (BindException e) {
        // Somebody has it.
      }
    }
    throw new IOException("no free port");
  }

  static void pause(double seconds) {
    try {
      Thread.sleep((long) (seconds * 1000));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  Path settings(int node) throws IOException {
    StringBuilder text = new StringBuilder();
    text.append("host_name = \"hive-" + node + "\"\ndomain = \"heredia\"\n");
    text.append("client_listen = \"127.0.0.1:" + client[node] + "\"\n");
    text.append("back = \"127.0.0.1:" + back[node] + "\"\n");
    for (int i = 0; i < NODES; i++) {
      if (i != node) {
        text.append("[[peers]]\nhost_name = \"hive-" + i + "\"\ndomain = \"heredia\"\n");
        int port = proxyPorts.get("peer-" + node + "-" + i);
        text.append("address = \"127.0.0.1:" + port + "\"\n");
      }
    }
    text.append("[endpoints]\ncloud = \"127.0.0.1:" + cloudPort + "\"\n");
    text.append("state = \"127.0.0.1:" + proxyPorts.get("state-" + node) + "\"\n");
    text.append("[facts]\nnodes = 3\nzones = [\"heredia\"]\nclock_off_ms = 100.0\n");
    text.append(options.teams).append(options.objectives);
    text.append("[facts.workers]\nreport_s = " + options.reportS + "\n");
    text.append("lease_s = " + options.leaseS + "\ncancel_s = " + options.cancelS + "\n");
    text.append("gang_wait_s = 50.0\ngang_peer_s = 5.0\n");
    text.append("[facts.state]\nrps = " + options.rps + ".0\n");
    text.append("write_rps = " + options.writeRps + ".0\n");
    text.append("value_kb = " + options.valueKb + ".0\ntxn_ops = " + options.txnOps + "\n");
    text.append("[facts.cloud]\nrps = 4.0\nlist_lag_s = " + options.listLagS + "\n");
    text.append("[facts.limits]\ncpu_share = " + options.cpuShare + "\nram_mb = 263.0\n");
    text.append("fd_limit = " + options.fdLimit + "\n");
    return Files.writeString(folder.resolve("hive-" + node + ".toml"), text.toString());
  }

  /** The command of the deploy file, with the settings of the controller. */
  private List<String> command(int node) throws IOException {
    Matcher run =
        Pattern.compile("(?m)^run = \"(.*)\"$")
            .matcher(Files.readString(root.resolve("deploy/service.toml")));
    if (!run.find()) {
      throw new IOException("deploy/service.toml names no run command");
    }
    List<String> command = new ArrayList<>(List.of(run.group(1).split(" ")));
    command.add(settings(node).toString());
    if (!options.operations.isEmpty()) {
      Path file = folder.resolve("operations.sexp");
      Files.writeString(file, options.operations);
      command.addAll(List.of("--operations", file.toString()));
    }
    return command;
  }

  /** Runs an operator's command with the settings of a controller, and returns what it says. */
  String operator(String... arguments) throws Exception {
    List<String> command =
        new ArrayList<>(List.of("java", "-jar", "target/pearscale.jar"));
    command.addAll(List.of(arguments));
    command.addAll(List.of("--config", settings(0).toString()));
    command.addAll(List.of("--operations", folder.resolve("operations.sexp").toString()));
    Process process =
        new ProcessBuilder(command).directory(root.toFile()).redirectErrorStream(true).start();
    String said = new String(process.getInputStream().readAllBytes()).trim();
    world.log("operator: " + String.join(" ", arguments) + ": " + process.waitFor() + " " + said);
    return said;
  }

  void start(int node) throws IOException {
    processes[node] =
        new ProcessBuilder(command(node))
            .directory(root.toFile())
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .redirectError(ProcessBuilder.Redirect.appendTo(log(node).toFile()))
            .start();
    world.log("controller hive-" + node + " starts");
  }

  Path log(int node) {
    return folder.resolve("hive-" + node + ".log");
  }

  void startAll() throws IOException {
    for (int i = 0; i < NODES; i++) {
      start(i);
    }
  }

  void kill(int node) throws InterruptedException {
    processes[node].destroyForcibly().waitFor();
    world.log("controller hive-" + node + " is killed");
  }

  boolean isAlive(int node) {
    return processes[node].isAlive();
  }

  /** Sends a signal: STOP or CONT. */
  void signal(int node, String name) throws Exception {
    new ProcessBuilder("kill", "-" + name, Long.toString(processes[node].pid()))
        .inheritIO()
        .start()
        .waitFor();
    world.log("controller hive-" + node + " gets " + name);
  }

  int clientPort(int node) {
    return client[node];
  }

  /** The machine on which a task is. */
  String machineOf(String piece) {
    synchronized (world) {
      return world.present.get(piece).iterator().next();
    }
  }

  int leader() {
    return store.value("c/lead") instanceof Map<?, ?> lead
        ? String.valueOf(lead.values().iterator().next()).charAt(5) - '0'
        : -1;
  }

  boolean waitFor(String what, double seconds, BooleanSupplier condition) {
    double until = world.seconds() + seconds;
    while (world.seconds() < until) {
      if (condition.getAsBoolean()) {
        world.log("seen: " + what);
        return true;
      }
      pause(0.05);
    }
    world.log("not seen within " + seconds + " s: " + what);
    return false;
  }

  boolean up(int node) {
    return Http.call(client[node], "GET", "/up", null, 1000).status() == 200;
  }

  boolean allUp() {
    return up(0) && up(1) && up(2);
  }

  /** Cuts a controller off from the state service and from the other controllers, or joins it. */
  void cutFromStateAndPeers(int node, Proxy.Mode mode) {
    world.log("controller hive-" + node + ": state service and other controllers: " + mode);
    proxy("state-" + node).set(mode);
    for (int i = 0; i < NODES; i++) {
      if (i != node) {
        proxy("peer-" + node + "-" + i).set(mode);
        proxy("peer-" + i + "-" + node).set(mode);
      }
    }
  }

  /** Ends the case: 1 if a rule was broken, 2 if it couldn't run, else 0. */
  void finish(int code) {
    world.log("exit code " + code);
    close();
    Runtime.getRuntime().halt(code);
  }

  /** Ends the case with 2 if something that it needs wasn't seen. */
  void need(String what, double seconds, BooleanSupplier condition) {
    if (!waitFor(what, seconds, condition)) {
      finish(2);
    }
  }

  /** Ends the case in time, whatever happens. */
  void limit(double seconds) {
    Thread thread =
        new Thread(
            () -> {
              pause(seconds);
              world.log("too late");
              finish(2);
            });
    thread.setDaemon(true);
    thread.start();
  }

  // ---- Users ----

  static Map<String, Object> job(String id, String shape, int pieces, double cpus, double runS) {
    return Pack.map(
        "uid", id, "lineup", shape.equals("service") ? "tarjetero" : "mazo-build", "crew",
        "mesa-contenidos-00", "shape", shape, "rank", shape.equals("service") ? "critical" : "normal",
        "pieces", pieces, "vcpus", cpus, "accelerators", 0.0, "memoryGb", 11.0, "bundle", "img-01",
        "imageGb", 0.5, "breeds", null, "yard", null, "oneZone", false, "spread", false, "windfall",
        false, "guessS", shape.equals("service") ? 0.0 : runS, "bookmarkS", 0.0, "stashS", 0.0,
        "dueS", null, "realS", runS);
  }

  /** Submits once. */
  Http.Reply submit(int node, Map<String, Object> job) {
    String id = (String) job.get("uid");
    synchronized (world) {
      world.uploaded.put(id, job);
    }
    Map<String, Object> sent = new TreeMap<>(job);
    sent.keySet().removeIf(field -> field.startsWith("real"));
    Http.Reply reply = Http.call(client[node], "POST", "/work", sent, 5000);
    world.log("submit " + id + " at hive-" + node + ": " + reply.status() + " " + reply.body());
    if (reply.status() == 200 || reply.status() == 201) {
      synchronized (world) {
        world.accepted.putIfAbsent(id, world.seconds());
      }
    }
    return reply;
  }

  /** Submits until it is accepted, for up to 60 seconds. */
  boolean submitUntilAccepted(Map<String, Object> job) {
    double until = world.seconds() + 60;
    for (int i = 0; world.seconds() < until; i++) {
      int status = submit(i % NODES, job).status();
      if (status == 200 || status == 201) {
        return true;
      }
      pause(1);
    }
    return false;
  }

  Http.Reply poll(int node, String id) {
    Http.Reply reply = Http.call(client[node], "GET", "/work/" + id, null, 2000);
    world.log("poll " + id + " at hive-" + node + ": " + reply.status() + " " + reply.body());
    return reply;
  }

  Http.Reply cancel(int node, String id) {
    Http.Reply reply = Http.call(client[node], "POST", "/work/" + id + "/cancel", null, 5000);
    world.log("cancel " + id + " at hive-" + node + ": " + reply.status() + " " + reply.body());
    if (reply.status() == 200 && "withdrawn".equals(reply.map().get("stage"))) {
      synchronized (world) {
        world.cancelled.putIfAbsent(id, world.seconds());
      }
    }
    return reply;
  }

  @Override
  public void close() {
    for (Process process : processes) {
      if (process != null) {
        process.destroyForcibly();
      }
    }
    try {
      if (System.getenv("KEEP_LOGS") == null) {
        try (Stream<Path> files = Files.walk(folder)) {
          files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
      }
    } catch (IOException | RuntimeException e) {
      // The folder is gone already.
    }
  }
}
