package io.pearscale.sim;

import com.fasterxml.jackson.databind.JsonNode;
import io.pearscale.transport.HttpClient.Reply;
import io.pearscale.transport.MessagePack;
import io.pearscale.transport.UndertowHttpClient;
import io.pearscale.transport.XnioEventLoop;
import io.undertow.Undertow;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Runs a scenario in real time against three real controller processes. The key-value store, the
 * cloud, the agents and the users are those of {@link SimulatedCluster}, reachable through loopback
 * sockets.
 */
final class LoopbackCluster implements AutoCloseable {
  static final int NODES = 3;
  private static final Duration ADVANCE_INTERVAL = Duration.ofMillis(1);
  private static final int CLIENT_PORTS = 10;
  private static final int PEER_PORTS = 20;
  private static final long CALL_TIMEOUT_SECONDS = 10;

  private final int port;
  private final SimulatedCluster cluster;
  private final XnioWorker xnioWorker;
  private final XnioEventLoop loop;
  private final UndertowHttpClient httpClient;
  private final Undertow server;
  private final Path folder;
  private final Map<String, Process> processes = new HashMap<>();
  private final Map<String, String> machinesByAddress = new HashMap<>();
  private final long startNanos = System.nanoTime();
  private volatile boolean running = true;

  /**
   * Starts the HTTP server of the simulated hosts.
   *
   * @param port the port of all simulated hosts; the controllers use ports up to 30 above it
   * @param folder the directory for settings and logs
   */
  LoopbackCluster(SimulatedCluster cluster, int port, Path folder) throws IOException {
    this.port = port;
    this.cluster = cluster;
    this.folder = folder;
    this.xnioWorker =
        Xnio.getInstance()
            .createWorker(
                OptionMap.builder()
                    .set(Options.WORKER_IO_THREADS, 1)
                    .set(Options.TCP_NODELAY, true)
                    .getMap());
    DefaultByteBufferPool buffers = new DefaultByteBufferPool(false, 8192, 400, 4);
    this.loop = new XnioEventLoop(xnioWorker.getIoThread());
    this.httpClient = new UndertowHttpClient(loop, xnioWorker.getIoThread(), buffers, 6000);
    this.server =
        Undertow.builder()
            .setWorker(xnioWorker)
            .setByteBufferPool(buffers)
            .addHttpListener(port, "0.0.0.0")
            .setHandler(x -> x.dispatch(SameThreadExecutor.INSTANCE, () -> readBody(x)))
            .build();
    server.start();
    cluster.machineAddress = this::machineAddress;
    for (int i = 0; i < NODES; i++) {
      int node = i;
      cluster
          .controllers
          .get("hive-" + i)
          .delegateTo((from, method, path, body, to) -> call(node, from, method, path, body, to));
    }
  }

  /** Returns the loopback address of a machine, unique so that a request identifies the machine. */
  private String machineAddress(String machine) {
    int number = Integer.parseInt(machine.substring(2));
    String address = "127.1.%d.%d:%d".formatted(number / 250, 1 + number % 250, port);
    machinesByAddress.put(address, machine);
    return address;
  }

  private void readBody(HttpServerExchange exchange) {
    exchange
        .getRequestReceiver()
        .receiveFullBytes(
            (received, bytes) ->
                received.dispatch(
                    SameThreadExecutor.INSTANCE, () -> handleRequest(received, bytes)));
  }

  private void handleRequest(HttpServerExchange exchange, byte[] bytes) {
    String host = exchange.getHostAndPort();
    String from = "hive-0";
    String to;
    if (machinesByAddress.containsKey(host)) {
      to = machinesByAddress.get(host);
    } else {
      int last = Integer.parseInt(host.substring(host.lastIndexOf('.') + 1, host.indexOf(':')));
      to = last >= 100 ? "cloud" : "state";
      from = "hive-" + last % 10;
    }
    JsonNode body =
        bytes.length == 0 ? MessagePack.MISSING : MessagePack.decode(bytes).orElseThrow();
    String query = exchange.getQueryString();
    String path = exchange.getRequestPath() + (query.isEmpty() ? "" : "?" + query);
    cluster.network.serve(
        from,
        to,
        exchange.getRequestMethod().toString(),
        path,
        body,
        reply -> loop.execute(() -> respond(exchange, reply)));
  }

  private static void respond(HttpServerExchange exchange, Reply reply) {
    exchange.setStatusCode(reply.status() == 0 ? 503 : reply.status());
    byte[] bytes = MessagePack.encode(reply.body());
    exchange.setResponseContentLength(bytes.length);
    exchange.getResponseSender().send(ByteBuffer.wrap(bytes));
  }

  private String settings(int node) {
    StringBuilder text = new StringBuilder();
    text.append("host_name = \"hive-%d\"\ndomain = \"a\"\n".formatted(node))
        .append("client_listen = \"0.0.0.0:%d\"\n".formatted(port + CLIENT_PORTS + node))
        .append("back = \"127.0.0.1:%d\"\n".formatted(port + PEER_PORTS + node));
    for (int i = 0; i < NODES; i++) {
      if (i != node) {
        text.append("[[peers]]\nhost_name = \"hive-%d\"\ndomain = \"a\"\n".formatted(i))
            .append("address = \"127.0.0.1:%d\"\n".formatted(port + PEER_PORTS + i));
      }
    }
    text.append("[endpoints]\ncloud = \"127.0.2.10%d:%d\"\n".formatted(node, port))
        .append("state = \"127.0.2.%d:%d\"\n".formatted(10 + node, port))
        .append("[facts]\nnodes = 3\n");
    cluster.teams.forEach(
        team ->
            text.append("[[facts.teams]]\nname = \"%s\"\n".formatted(team.name()))
                .append("cpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n"));
    cluster.objectives.forEach(
        objective ->
            text.append("[[facts.objectives]]\nkind = \"%s\"\n".formatted(objective.kind()))
                .append("class = \"%s\"\n".formatted(objective.jobClass()))
                .append("within_s = %s\n".formatted(objective.target().toMillis() / 1000.0)));
    return text.append(
            "[facts.workers]\nreport_s = %s\n"
                .formatted(cluster.heartbeatInterval.toMillis() / 1000.0))
        .append("lease_s = %s\n".formatted(cluster.lease.toMillis() / 1000.0))
        .append("cancel_s = %s\n".formatted(cluster.cancelTimeout.toMillis() / 1000.0))
        .append("gang_wait_s = %s\n".formatted(cluster.gangForming.toMillis() / 1000.0))
        .append("gang_peer_s = %s\n".formatted(cluster.gangPeerLoss.toMillis() / 1000.0))
        .append("[facts.state]\nrps = 150.0\nwrite_rps = 50.0\nvalue_kb = 8.0\ntxn_ops = 40\n")
        .append("[facts.cloud]\nrps = 4.0\nlist_lag_s = 10.0\n")
        .append("[facts.limits]\nfd_limit = 2000\n")
        .toString();
  }

  /** Writes the settings file of a controller. */
  Path settingsFile(int node) throws IOException {
    return Files.writeString(folder.resolve("hive-" + node + ".toml"), settings(node));
  }

  /** Returns the file to which the controller logs. */
  Path logFile(int node) {
    return folder.resolve("hive-" + node + ".log");
  }

  /** Starts a controller process with a command. */
  void launch(int node, Path directory, List<String> command) throws IOException {
    processes.put(
        "hive-" + node,
        new ProcessBuilder(command)
            .directory(directory.toFile())
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .redirectError(ProcessBuilder.Redirect.appendTo(logFile(node).toFile()))
            .start());
  }

  /** Kills a controller process with a signal that it can't handle. */
  void kill(int node) {
    processes.get("hive-" + node).destroyForcibly();
  }

  /** Returns the process that was started last for each host. */
  Map<String, Process> processes() {
    return processes;
  }

  private void call(
      int node, String from, String method, String path, JsonNode body, Consumer<Reply> response) {
    // Each agent uses its own client address, hence its own connection, as in production.
    String host =
        cluster.agents.containsKey(from)
            ? machineAddress(from).replaceFirst(":.*", "")
            : "127.0.3." + (1 + cluster.random.nextInt(8));
    String address = host + ":" + (port + CLIENT_PORTS + node);
    loop.execute(
        () -> httpClient.call(address, method, path, body, Duration.ofSeconds(4), response));
  }

  /** Makes simulated time follow real time. */
  void startClock() {
    loop.execute(this::advanceClock);
  }

  private void advanceClock() {
    cluster.runUntil(elapsed());
    if (running) {
      loop.schedule(ADVANCE_INTERVAL, this::advanceClock);
    }
  }

  Duration elapsed() {
    return Duration.ofNanos(System.nanoTime() - startNanos);
  }

  /** Runs a task on the simulation's thread after a delay. */
  void schedule(Duration delay, Runnable task) {
    loop.schedule(delay, task);
  }

  /** Returns the result of a supplier that runs on the simulation's thread. */
  <T> T call(Supplier<T> supplier) {
    CompletableFuture<T> response = new CompletableFuture<>();
    loop.execute(
        () -> {
          try {
            response.complete(supplier.get());
          } catch (RuntimeException e) {
            response.completeExceptionally(e);
          }
        });
    return response.orTimeout(CALL_TIMEOUT_SECONDS, TimeUnit.SECONDS).join();
  }

  @Override
  public void close() {
    running = false;
    processes.values().forEach(Process::destroyForcibly);
    server.stop();
    xnioWorker.shutdownNow();
  }
}
