import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * Three controller processes, started with the command of the deploy file, the state service, the
 * cloud, and workers and users on loopback. One zone can be cut off from everything outside it.
 */
final class Cluster implements AutoCloseable {
  record Job(
      String uid, String shape, int pieces, double vcpus, double memoryGb, String bundle,
      double imageGb, double runS, Map<String, Object> body) {}

  final Record record;
  final Checker checker;
  final StateService state;
  final double leaseS;
  final double reportS;
  private final double cancelS;
  private final double cpuShare;
  private final String[] zones;
  private final Path repository;
  private final Path folder;
  private final Process[] processes;
  private final int[] clientPorts;
  private final int[] peerPorts;
  private final int[][] peerProxies;
  private final HttpServer[] stateServers;
  private final HttpServer[] cloudServers;
  private final Map<String, Worker> workers = new ConcurrentHashMap<>();
  private final Map<String, Long> createdAt = new ConcurrentHashMap<>();
  private final Map<String, List<Object>> hires = new HashMap<>();
  private final Map<String, Job> jobs = new ConcurrentHashMap<>();
  private int machineCount;
  private int spareMachines;
  private volatile String cutZone = "";
  private volatile long highestToken;
  private volatile String highestTokenSeenBy = "";

  Cluster(
      Path repository,
      Path recordFile,
      String[] zones,
      double cpuShare,
      double reportS,
      double leaseS,
      double cancelS,
      int spareMachines)
      throws IOException {
    this.repository = repository;
    this.record = new Record(recordFile);
    this.checker = new Checker(record);
    this.state = new StateService(100, 30, 16, 24);
    this.zones = zones;
    this.cpuShare = cpuShare;
    this.reportS = reportS;
    this.leaseS = leaseS;
    this.cancelS = cancelS;
    this.spareMachines = spareMachines;
    this.folder = Files.createTempDirectory("review");
    int n = zones.length;
    processes = new Process[n];
    Runtime.getRuntime().addShutdownHook(new Thread(this::killProcesses));
    clientPorts = new int[n];
    peerPorts = new int[n];
    peerProxies = new int[n][n];
    stateServers = new HttpServer[n];
    cloudServers = new HttpServer[n];
    for (int i = 0; i < n; i++) {
      int node = i;
      clientPorts[i] = Net.freePort();
      peerPorts[i] = Net.freePort();
      stateServers[i] =
          Net.serve(
              (method, path, body, port) -> {
                if (isCut(node)) {
                  return null;
                }
                Net.Reply reply = state.handle(method, path, body);
                return isCut(node) ? null : reply;
              });
      cloudServers[i] =
          Net.serve(
              (method, path, body, port) -> {
                if (isCut(node)) {
                  return null;
                }
                Net.Reply reply = cloud(method, path, body);
                if (path.startsWith("/hosts") && method.equals("POST")) {
                  record.line("hive-" + node + " cloud " + path + " " + body + " -> " + reply.status());
                }
                return reply;
              });
    }
    for (int i = 0; i < n; i++) {
      for (int j = 0; j < n; j++) {
        int from = i;
        int to = j;
        peerProxies[i][j] = i == j ? 0 : Net.proxy(peerPorts[j], () -> isCut(from) || isCut(to));
      }
    }
  }

  int nodes() {
    return zones.length;
  }

  String nodeName(int node) {
    return "hive-" + node;
  }

  int nodeNumber(String name) {
    for (int i = 0; i < nodes(); i++) {
      if (nodeName(i).equals(name)) {
        return i;
      }
    }
    return -1;
  }

  // ---- Processes ----

  private Path settings(int node) throws IOException {
    StringBuilder text = new StringBuilder();
    text.append("host_name = \"hive-" + node + "\"\ndomain = \"" + zones[node] + "\"\n");
    text.append("client_listen = \"127.0.0.1:" + clientPorts[node] + "\"\n");
    text.append("back = \"127.0.0.1:" + peerPorts[node] + "\"\n\n");
    for (int i = 0; i < nodes(); i++) {
      if (i != node) {
        text.append("[[peers]]\nhost_name = \"hive-" + i + "\"\ndomain = \"" + zones[i] + "\"\n");
        text.append("address = \"127.0.0.1:" + peerProxies[node][i] + "\"\n\n");
      }
    }
    text.append("[endpoints]\n");
    text.append("cloud = \"127.0.0.1:" + cloudServers[node].getAddress().getPort() + "\"\n");
    text.append("state = \"127.0.0.1:" + stateServers[node].getAddress().getPort() + "\"\n\n");
    text.append("[facts]\nnodes = " + nodes() + "\n");
    text.append("zones = [\"" + String.join("\", \"", zones) + "\"]\nclock_off_ms = 100.0\n\n");
    text.append("[[facts.teams]]\nname = \"amanzi-pay\"\n");
    text.append("cpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n\n");
    text.append("[[facts.objectives]]\nkind = \"deadline\"\nclass = \"settle-run\"\n");
    text.append("share = 0.92\ntimes = 1.0\n\n");
    text.append(
        String.format(
            Locale.ROOT,
            "[facts.workers]\nreport_s = %.1f%nlease_s = %.1f%ngang_wait_s = 40.0%n"
                + "gang_peer_s = 6.0%ncancel_s = %.1f%n%n",
            reportS, leaseS, cancelS));
    text.append("[facts.state]\nrps = 100.0\nwrite_rps = 30.0\nvalue_kb = 16.0\ntxn_ops = 24\n\n");
    text.append("[facts.cloud]\nrps = 4.0\nlist_lag_s = 10.0\n\n");
    text.append("[facts.limits]\ncpu_share = " + cpuShare + "\nram_mb = 263.0\nfd_limit = 1200\n");
    return Files.writeString(folder.resolve("hive-" + node + ".toml"), text.toString());
  }

  /** Starts a controller with the command of the deploy file. */
  void start(int node) throws IOException {
    String deploy = Files.readString(repository.resolve("deploy/service.toml"));
    String run = deploy.replaceAll("(?s).*\\nrun = \"([^\"]*)\".*", "$1");
    List<String> command = new ArrayList<>(Arrays.asList(run.split(" ")));
    command.add(settings(node).toString());
    ProcessBuilder builder =
        new ProcessBuilder(command)
            .directory(repository.toFile())
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .redirectError(
                ProcessBuilder.Redirect.appendTo(folder.resolve("hive-" + node + ".log").toFile()));
    builder.environment().put("LOG_LEVEL", "info");
    processes[node] = builder.start();
    record.line("start hive-" + node + " in " + zones[node]);
  }

  String clientAddress(int node) {
    return "127.0.0.1:" + clientPorts[node];
  }

  boolean isUp(int node) {
    return Net.call(
                "127.0.0.1:" + clientPorts[node], "GET", "/up", null, Duration.ofSeconds(1))
            .join()
            .status()
        == 200;
  }

  void awaitUp(int node, double seconds) throws InterruptedException {
    double end = record.seconds() + seconds;
    while (!isUp(node)) {
      if (record.seconds() > end || !processes[node].isAlive()) {
        throw new IllegalStateException("hive-" + node + " does not come up");
      }
      Thread.sleep(100);
    }
    record.line("hive-" + node + " is up");
  }

  boolean allAlive() {
    return Stream.of(processes).allMatch(process -> process == null || process.isAlive());
  }

  String callerOf(int remotePort) {
    for (int i = 0; i < nodes(); i++) {
      if (processes[i] != null && Net.isFrom(processes[i].pid(), remotePort)) {
        return nodeName(i);
      }
    }
    return "?";
  }

  /** Returns the lines of the controllers' logs that contain one of the words. */
  void copyLogs(String... words) throws IOException {
    for (int i = 0; i < nodes(); i++) {
      Path file = folder.resolve("hive-" + i + ".log");
      if (Files.exists(file)) {
        for (String line : Files.readAllLines(file)) {
          if (Stream.of(words).anyMatch(line::contains)) {
            record.line("log of hive-" + i + ": " + line);
          }
        }
      }
    }
  }

  private void killProcesses() {
    for (Process process : processes) {
      if (process != null) {
        process.destroyForcibly();
      }
    }
  }

  @Override
  public void close() {
    killProcesses();
    for (Process process : processes) {
      try {
        if (process != null) {
          process.waitFor(5, TimeUnit.SECONDS);
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    try (Stream<Path> files = Files.list(folder)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
      Files.delete(folder);
    } catch (IOException e) {
      record.line("folder stays: " + e);
    }
  }

  // ---- The cut ----

  /** Cuts a zone off from everything outside it; an empty name ends the cut. */
  void cut(String zone) {
    cutZone = zone;
    record.line(zone.isEmpty() ? "CUT ends" : "CUT zone " + zone + " is cut off");
  }

  boolean isCut(int node) {
    return zones[node].equals(cutZone);
  }

  private boolean separated(String yard, String otherYard) {
    return !yard.equals(otherYard) && (yard.equals(cutZone) || otherYard.equals(cutZone));
  }

  /**
   * Returns whether the cut separates a worker from a controller. A caller that is not known any
   * more has closed its connection; while a zone is cut off its request does not arrive.
   */
  boolean isCutFrom(Worker worker, String controller) {
    int node = nodeNumber(controller);
    return node >= 0 ? separated(worker.yard, zones[node]) : !cutZone.isEmpty();
  }

  /** Sends a worker's request to a node; across a cut it hangs. */
  CompletableFuture<Net.Reply> toNode(
      Worker worker,
      int node,
      String method,
      String path,
      Map<String, Object> body,
      Duration timeout) {
    if (separated(worker.yard, zones[node])) {
      return new CompletableFuture<Net.Reply>()
          .completeOnTimeout(Net.Reply.NONE, timeout.toMillis(), TimeUnit.MILLISECONDS);
    }
    return Net.call("127.0.0.1:" + clientPorts[node], method, path, body, timeout)
        .thenCompose(
            reply ->
                separated(worker.yard, zones[node])
                    ? new CompletableFuture<Net.Reply>()
                        .completeOnTimeout(
                            Net.Reply.NONE, timeout.toMillis(), TimeUnit.MILLISECONDS)
                    : CompletableFuture.completedFuture(reply));
  }

  /** Delivers a message to a node that was held up in the network, whoever its sender is. */
  CompletableFuture<Net.Reply> deliverLate(int node, String path, Map<String, Object> body) {
    return Net.call("127.0.0.1:" + clientPorts[node], "POST", path, body, Duration.ofSeconds(4));
  }

  void tokenSeen(Worker worker, int node, long token) {
    synchronized (record) {
      if (token > highestToken) {
        highestToken = token;
        highestTokenSeenBy = worker.name + " from " + nodeName(node);
      }
    }
  }

  long highestToken() {
    return highestToken;
  }

  String highestTokenSeenBy() {
    return highestTokenSeenBy;
  }

  // ---- Machines ----

  Worker addMachine(String yard, int firstNode) throws IOException {
    String name;
    synchronized (workers) {
      name = String.format(Locale.ROOT, "m-%06d", ++machineCount);
    }
    createdAt.put(name, System.nanoTime());
    Worker worker = new Worker(this, name, "ubuntu", yard, false, 4, 32, 0.5, firstNode);
    workers.put(name, worker);
    return worker;
  }

  List<Worker> workers() {
    return workers.values().stream().sorted((a, b) -> a.name.compareTo(b.name)).toList();
  }

  private Net.Reply cloud(String method, String path, Map<String, Object> body) {
    if (path.startsWith("/catalog")) {
      return new Net.Reply(
          200,
          Pack.map(
              "breeds",
              List.of(
                  Pack.map(
                      "sku", "ubuntu", "vcpus", 4, "accelerators", 0, "memoryGb", 32, "cacheGb",
                      40, "fetchGbPerS", 0.5, "rate", 0.26, "marketPrice", 0.12, "readyS", 20,
                      "yards", Arrays.asList(zones)))));
    } else if (path.startsWith("/hosts/delete")) {
      if (body.get("hives") instanceof List<?> names) {
        for (Object name : names) {
          Worker worker = workers.remove(String.valueOf(name));
          if (worker != null) {
            worker.powerOff();
          }
        }
      }
      return new Net.Reply(200, Map.of());
    } else if (method.equals("POST")) {
      return hire(body);
    }
    List<Object> list = new ArrayList<>();
    String since = path.contains("since=") ? path.replaceAll(".*since=([^&]*).*", "$1") : "";
    for (Worker worker : workers()) {
      double age = (System.nanoTime() - createdAt.get(worker.name)) / 1e9;
      if (worker.name.compareTo(since) > 0 && age > 10) {
        list.add(
            Pack.map(
                "uid", worker.name, "address", worker.address(), "breed", worker.breed, "yard",
                worker.yard, "windfall", worker.windfall, "stage", "running", "ageS", age));
      }
    }
    return new Net.Reply(200, Pack.map("hives", list, "more", false));
  }

  private Net.Reply hire(Map<String, Object> body) {
    synchronized (hires) {
      String hire = Pack.text(body, "hire");
      if (!hires.containsKey(hire)) {
        if (spareMachines <= 0 || Boolean.TRUE.equals(body.get("windfall"))) {
          return new Net.Reply(503, Pack.map("error", "no capacity"));
        }
        List<Object> names = new ArrayList<>();
        for (long i = Math.min(spareMachines, Pack.number(body, "count")); i > 0; i--) {
          spareMachines--;
          String name;
          synchronized (workers) {
            name = String.format(Locale.ROOT, "m-%06d", ++machineCount);
          }
          createdAt.put(name, System.nanoTime());
          names.add(name);
          String yard = Pack.text(body, "yard");
          CompletableFuture.delayedExecutor(20, TimeUnit.SECONDS)
              .execute(
                  () -> {
                    try {
                      workers.put(
                          name,
                          new Worker(this, name, "ubuntu", yard, false, 4, 32, 0.5, 0));
                    } catch (IOException e) {
                      record.line(name + " does not come up: " + e);
                    }
                  });
        }
        hires.put(hire, names);
      }
      return new Net.Reply(200, Pack.map("hives", hires.get(hire)));
    }
  }

  // ---- Users ----

  Job jobOf(String piece) {
    return jobs.get(piece.substring(0, piece.indexOf('/')));
  }

  /** Submits a job, as a user does, until it is accepted; returns whether it was. */
  boolean submit(Job job, int node) throws InterruptedException {
    jobs.put(job.uid, job);
    for (int i = 0; i < 30; i++) {
      Net.Reply reply =
          Net.call(
                  "127.0.0.1:" + clientPorts[node],
                  "POST",
                  "/work",
                  job.body,
                  Duration.ofSeconds(5))
              .join();
      record.line("user POST /work " + job.uid + " at hive-" + node + " -> " + reply.status());
      if (reply.status() == 201 || reply.status() == 200) {
        return true;
      }
      Thread.sleep(1000);
    }
    return false;
  }

  Net.Reply ask(String uid, int node) {
    Net.Reply reply =
        Net.call(
                "127.0.0.1:" + clientPorts[node],
                "GET",
                "/work/" + uid,
                null,
                Duration.ofSeconds(2))
            .join();
    record.line(
        "user GET /work/" + uid + " at hive-" + node + " -> " + reply.status() + " " + reply.body());
    return reply;
  }
}
