package io.pearscale.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.scheduler.OperatorSettings;
import io.pearscale.transport.HttpServer;
import io.pearscale.transport.MessagePack;
import io.pearscale.transport.UndertowHttpClient;
import io.pearscale.transport.XnioEventLoop;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.xnio.XnioWorker;
import picocli.CommandLine.Command;

/**
 * Runs two controllers for a short time on loopback against a stub, so that the build can archive
 * the classes that a start needs. A start is expensive on a fraction of a core, and most of its
 * cost is the loading of classes.
 */
@Command(name = "warm-up", hidden = true, description = "Loads what a start needs, then ends.")
final class WarmUp implements Callable<Integer> {
  private static final String SETTINGS =
      """
      host_name = "%s"
      domain = "a"
      client_listen = "127.0.0.1:%d"
      back = "127.0.0.1:%d"
      [[peers]]
      host_name = "%s"
      domain = "a"
      address = "127.0.0.1:%d"
      [endpoints]
      cloud = "127.0.0.1:%d"
      state = "127.0.0.1:%d"
      [[facts.teams]]
      name = "t"
      cpus = 0.0
      cpus_max = 0.0
      gpus = 0.0
      gpus_max = 0.0
      [[facts.objectives]]
      kind = "wait"
      class = "c"
      within_s = 1.0
      [facts.workers]
      report_s = 3.0
      lease_s = 20.0
      cancel_s = 40.0
      gang_wait_s = 40.0
      gang_peer_s = 6.0
      [facts.state]
      rps = 100.0
      write_rps = 50.0
      value_kb = 8.0
      txn_ops = 40
      [facts.cloud]
      rps = 2.0
      list_lag_s = 10.0
      [facts.limits]
      fd_limit = 1000
      """;

  /** Long enough for an election, a scheduling pass, its writes and the commands that follow. */
  private static final Duration ROUND_DURATION = Duration.ofMillis(700);

  private static final int ROUNDS = 4;
  private static final Duration START_TIMEOUT = Duration.ofSeconds(10);

  private final WarmUpServices services = new WarmUpServices();

  @Override
  public Integer call() throws Exception {
    int[] ports = freePorts();
    XnioWorker worker = Server.newSingleThreadWorker();
    DefaultByteBufferPool buffers = new DefaultByteBufferPool(false, 8192, 50, 4);
    HttpServer stubServer =
        new HttpServer(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), ports[4]),
            worker,
            buffers,
            100,
            100,
            path -> false,
            services::handle);
    stubServer.start();
    Server first = startServer("warm-0", ports[0], ports[2], "warm-1", ports[3], ports[4]);
    Server second = startServer("warm-1", ports[1], ports[3], "warm-0", ports[2], ports[4]);
    XnioEventLoop loop = new XnioEventLoop(worker.getIoThread());
    UndertowHttpClient httpClient = new UndertowHttpClient(loop, worker.getIoThread(), buffers, 20);
    String stubAddress = "127.0.0.1:" + ports[4];
    for (int round = 0; round < ROUNDS; round++) {
      // Both controllers are called: one is the leader, the other forwards to it.
      for (int port : new int[] {ports[0], ports[1]}) {
        String self = "127.0.0.1:" + port;
        call(loop, httpClient, self, "GET", "/up", MessagePack.MISSING);
        call(loop, httpClient, self, "POST", "/work", sampleJob());
        call(loop, httpClient, self, "POST", "/work", sampleGang());
        call(loop, httpClient, self, "GET", "/work/wk-000001", MessagePack.MISSING);
        call(loop, httpClient, self, "POST", "/checkin", services.heartbeat(stubAddress));
        call(loop, httpClient, self, "POST", "/checkin", MessagePack.map());
      }
      Thread.sleep(ROUND_DURATION.toMillis());
    }
    call(
        loop,
        httpClient,
        "127.0.0.1:" + ports[0],
        "POST",
        "/work/wk-000001/cancel",
        MessagePack.map());
    Thread.sleep(ROUND_DURATION.toMillis());
    first.stop();
    second.stop();
    stubServer.stop();
    worker.shutdownNow();
    return 0;
  }

  private static int[] freePorts() throws IOException {
    int[] ports = new int[5];
    ServerSocket[] sockets = new ServerSocket[ports.length];
    for (int i = 0; i < ports.length; i++) {
      sockets[i] = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
      ports[i] = sockets[i].getLocalPort();
    }
    for (ServerSocket socket : sockets) {
      socket.close();
    }
    return ports;
  }

  private static Server startServer(
      String host, int clientPort, int peerPort, String otherHost, int otherPeerPort, int stubPort)
      throws Exception {
    Path file = Files.createTempFile("pearscale", ".toml");
    try {
      Files.writeString(
          file,
          SETTINGS.formatted(
              host, clientPort, peerPort, otherHost, otherPeerPort, stubPort, stubPort));
      Server server =
          new Server(
              SettingsReader.read(file),
              TuningReader.read(Optional.empty()),
              OperatorSettings.defaults());
      server.awaitListening(START_TIMEOUT);
      return server;
    } finally {
      Files.deleteIfExists(file);
    }
  }

  private static void call(
      XnioEventLoop loop,
      UndertowHttpClient httpClient,
      String address,
      String method,
      String path,
      JsonNode body)
      throws InterruptedException {
    CountDownLatch latch = new CountDownLatch(1);
    loop.execute(
        () ->
            httpClient.call(
                address, method, path, body, Duration.ofSeconds(2), reply -> latch.countDown()));
    latch.await(3, TimeUnit.SECONDS);
  }

  /** Returns a valid submission of a job. */
  static ObjectNode sampleJob() {
    return MessagePack.map()
        .put("uid", "wk-000001")
        .put("lineup", "c")
        .put("crew", "t")
        .put("shape", "batch")
        .put("rank", "normal")
        .put("pieces", 3)
        .put("vcpus", 1.0)
        .put("accelerators", 0.0)
        .put("memoryGb", 1.0)
        .put("bundle", "i")
        .put("imageGb", 1.0)
        .put("oneZone", false)
        .put("spread", false)
        .put("windfall", true)
        .put("guessS", 10.0)
        .put("bookmarkS", 0.0)
        .put("stashS", 0.0)
        .put("dueS", 60.0);
  }

  /** Returns a valid submission of a gang. */
  private static ObjectNode sampleGang() {
    return sampleJob().put("uid", "wk-000002").put("shape", "group").put("pieces", 2);
  }

  /** Returns a valid heartbeat of a machine. */
  static ObjectNode sampleHeartbeat(String address) {
    ObjectNode heartbeat =
        MessagePack.map()
            .put("hive", "m-000001")
            .put("address", address)
            .put("breed", "g")
            .put("yard", "a")
            .put("windfall", false)
            .put("stint", 1)
            .put("tally", 1)
            .put("baton", 0);
    heartbeat
        .putArray("pieces")
        .addObject()
        .put("piece", "wk-000009/0")
        .put("try", 1)
        .put("stage", "running");
    return heartbeat;
  }
}
