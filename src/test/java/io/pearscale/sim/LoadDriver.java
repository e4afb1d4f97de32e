package io.pearscale.sim;

import com.fasterxml.jackson.databind.JsonNode;
import io.pearscale.transport.Calls.Reply;
import io.pearscale.transport.HttpCalls;
import io.pearscale.transport.MessagePack;
import io.pearscale.transport.XnioLoop;
import io.undertow.Undertow;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Plays a scenario in real time against three real processes, started with the command of {@code
 * deploy/service.toml}, and prints the processor time and memory that each takes. The state
 * service, the cloud, the workers and the users are the stand-ins of the simulated world, put
 * behind sockets on loopback. It measures and judges nothing: figures depend on the machine.
 *
 * <p>Arguments: the folder of the built project, the scenario's file, seconds to play, and further
 * options for the JVMs. Lines {@code at T crash hive-1} and {@code at T start hive-1} end and start
 * processes.
 */
final class LoadDriver {
  private static final int PORT = 19300;
  private static final Duration PUMP = Duration.ofMillis(1);
  private static final int REPORT_EVERY = 5;

  private final Path project;
  private final Scenario scenario;
  private final World world;
  private final List<String> jvmOptions;
  private final XnioLoop loop;
  private final HttpCalls calls;
  private final Map<String, Process> processes = new HashMap<>();
  private final Map<String, String> machines = new HashMap<>();
  private final Map<String, double[]> before = new HashMap<>();
  private final long began = System.nanoTime();

  private LoadDriver(Path project, String text, List<String> jvmOptions) throws IOException {
    this.project = project;
    this.jvmOptions = jvmOptions;
    this.scenario = Scenario.of(text, 1);
    this.world = scenario.world();
    XnioWorker worker =
        Xnio.getInstance()
            .createWorker(
                OptionMap.builder()
                    .set(Options.WORKER_IO_THREADS, 1)
                    .set(Options.TCP_NODELAY, true)
                    .getMap());
    DefaultByteBufferPool buffers = new DefaultByteBufferPool(false, 8192, 400, 4);
    this.loop = new XnioLoop(worker.getIoThread());
    this.calls = new HttpCalls(loop, worker.getIoThread(), buffers, 6000);
    Undertow.builder()
        .setWorker(worker)
        .setByteBufferPool(buffers)
        .addHttpListener(PORT, "0.0.0.0")
        .setHandler(x -> x.dispatch(SameThreadExecutor.INSTANCE, () -> receive(x)))
        .build()
        .start();
    world.machineAddress = this::machineAddress;
  }

  /** Each machine has a loopback address of its own, which also tells which one is meant. */
  private String machineAddress(String machine) {
    int number = Integer.parseInt(machine.substring(2));
    String address = "127.1.%d.%d:%d".formatted(number / 250, 1 + number % 250, PORT);
    machines.put(address, machine);
    return address;
  }

  private void receive(HttpServerExchange exchange) {
    exchange
        .getRequestReceiver()
        .receiveFullBytes(
            (x, bytes) -> x.dispatch(SameThreadExecutor.INSTANCE, () -> handle(x, bytes)));
  }

  private void handle(HttpServerExchange exchange, byte[] bytes) {
    String host = exchange.getHostAndPort();
    String from = "hive-0";
    String to;
    if (machines.containsKey(host)) {
      to = machines.get(host);
    } else {
      int last = Integer.parseInt(host.substring(host.lastIndexOf('.') + 1, host.indexOf(':')));
      to = last >= 100 ? "cloud" : "state";
      from = "hive-" + last % 10;
    }
    JsonNode body =
        bytes.length == 0 ? MessagePack.MISSING : MessagePack.decode(bytes).orElseThrow();
    String query = exchange.getQueryString();
    String path = exchange.getRequestPath() + (query.isEmpty() ? "" : "?" + query);
    world.serve(
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
    StringBuilder s = new StringBuilder();
    s.append("host_name = \"hive-%d\"\ndomain = \"a\"\n".formatted(node))
        .append("client_listen = \"0.0.0.0:%d\"\n".formatted(PORT + 10 + node))
        .append("back = \"127.0.0.1:%d\"\n".formatted(PORT + 20 + node));
    for (int i = 0; i < 3; i++) {
      if (i != node) {
        s.append("[[peers]]\nhost_name = \"hive-%d\"\ndomain = \"a\"\n".formatted(i))
            .append("address = \"127.0.0.1:%d\"\n".formatted(PORT + 20 + i));
      }
    }
    s.append("[endpoints]\ncloud = \"127.0.2.10%d:%d\"\n".formatted(node, PORT))
        .append("state = \"127.0.2.%d:%d\"\n".formatted(10 + node, PORT))
        .append("[facts]\nnodes = 3\n");
    world.teams.forEach(
        t ->
            s.append("[[facts.teams]]\nname = \"%s\"\n".formatted(t.name()))
                .append("cpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n"));
    world.objectives.forEach(
        o ->
            s.append("[[facts.objectives]]\nkind = \"%s\"\n".formatted(o.kind()))
                .append("class = \"%s\"\n".formatted(o.jobClass()))
                .append("within_s = %s\n".formatted(o.within().toMillis() / 1000.0)));
    return s.append("[facts.workers]\nreport_s = %s\n".formatted(world.report.toMillis() / 1000.0))
        .append("lease_s = 22.0\ncancel_s = 42.0\n")
        .append("[facts.state]\nrps = 150.0\nwrite_rps = 50.0\nvalue_kb = 8.0\ntxn_ops = 40\n")
        .append("[facts.cloud]\nrps = 4.0\nlist_lag_s = 10.0\n")
        .append("[facts.limits]\nfd_limit = 2000\n")
        .toString();
  }

  private void launch(int node) throws IOException {
    Path file = Files.createTempFile("load", ".toml");
    Files.writeString(file, settings(node));
    String run = Files.readString(project.resolve("deploy/service.toml"));
    run = run.substring(run.indexOf("run = \"") + 7, run.lastIndexOf('"'));
    List<String> command = new ArrayList<>(List.of(run.split(" ")));
    int jar = command.indexOf("-jar");
    for (String option : jvmOptions) {
      command.add(jar, option.replace("NODE", "" + node));
    }
    command.add(file.toString());
    processes.put(
        "hive-" + node,
        new ProcessBuilder(command)
            .directory(project.toFile())
            .redirectError(Path.of("/tmp/load-" + node + ".log").toFile())
            .start());
  }

  private void ask(
      int node, String from, String method, String path, JsonNode body, Consumer<Reply> answer) {
    // A worker's connection is its own, as it is in production: other address, other connection.
    String host =
        world.workers.containsKey(from)
            ? machineAddress(from).replaceFirst(":.*", "")
            : "127.0.3." + (1 + world.random.nextInt(8));
    loop.execute(
        () ->
            calls.call(
                host + ":" + (PORT + 10 + node),
                method,
                path,
                body,
                Duration.ofSeconds(4),
                answer));
  }

  private void pump(Duration until) {
    Duration passed = Duration.ofNanos(System.nanoTime() - began);
    world.playTo(passed);
    if (passed.compareTo(until) < 0) {
      loop.after(PUMP, () -> pump(until));
    } else {
      processes.values().forEach(Process::destroyForcibly);
      System.out.println("broken: " + world.broken);
      System.exit(0);
    }
  }

  private void figures(long second) {
    StringBuilder line = new StringBuilder("%4d s".formatted(second));
    processes.forEach(
        (name, process) -> {
          try {
            String stat = Files.readString(Path.of("/proc/" + process.pid() + "/stat"));
            String[] f = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            double cpu = (Long.parseLong(f[11]) + Long.parseLong(f[12])) / 100.0;
            double mb = Long.parseLong(f[21]) / 256.0;
            double[] last = before.getOrDefault(process.pid() + "", new double[1]);
            before.put(process.pid() + "", new double[] {cpu});
            line.append(
                "  %s %5.1f%% %3.0f MB (%.2f s)"
                    .formatted(name, (cpu - last[0]) * 100 / REPORT_EVERY, mb, cpu));
          } catch (IOException e) {
            line.append("  " + name + " ended");
          }
        });
    System.out.println(line + "  tasks " + world.present.size());
    loop.after(Duration.ofSeconds(REPORT_EVERY), () -> figures(second + REPORT_EVERY));
  }

  private void play(Duration until) throws IOException {
    for (int i = 0; i < 3; i++) {
      int node = i;
      launch(i);
      world
          .nodes
          .get("hive-" + i)
          .answerBy((from, method, path, body, to) -> ask(node, from, method, path, body, to));
    }
    loop.execute(() -> pump(until));
    loop.execute(() -> figures(0));
  }

  /** Ends and starts processes, as the scenario's text says. */
  private void outages(String text) {
    for (String line : text.split("\n")) {
      String[] w = line.strip().split("\\s+");
      if (w.length == 4 && w[0].equals("process")) {
        int node = Integer.parseInt(w[3]);
        loop.after(
            Duration.ofSeconds(Long.parseLong(w[1])),
            () -> {
              System.out.println(String.join(" ", w));
              if (w[2].equals("kill")) {
                processes.get("hive-" + node).destroyForcibly();
              } else {
                try {
                  launch(node);
                } catch (IOException e) {
                  throw new IllegalStateException(e);
                }
              }
            });
      }
    }
  }

  /** Plays a file. */
  public static void main(String[] args) throws IOException {
    String text = Files.readString(Path.of(args[1]));
    String world = text.replaceAll("(?m)^process.*$", "");
    LoadDriver driver =
        new LoadDriver(Path.of(args[0]), world, List.of(args).subList(3, args.length));
    driver.outages(text);
    driver.play(Duration.ofSeconds(Long.parseLong(args[2])));
  }
}
