package io.pearscale.cli;

import io.pearscale.protocol.PeerVersions;
import io.pearscale.protocol.Settings;
import io.pearscale.scheduler.Controller;
import io.pearscale.scheduler.OperatorSettings;
import io.pearscale.scheduler.model.Tuning;
import io.pearscale.transport.HttpServer;
import io.pearscale.transport.PeerTransport;
import io.pearscale.transport.TcpPeerTransport;
import io.pearscale.transport.UndertowHttpClient;
import io.pearscale.transport.XnioEventLoop;
import io.pearscale.upgrade.SupportedLevels;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** A controller on real sockets. One XNIO thread renews the leader lease, another does the rest. */
final class Server {
  private static final Logger LOG = LoggerFactory.getLogger(Server.class);
  private static final Duration SOCKET_LOG_INTERVAL = Duration.ofMinutes(1);

  private static final int RENEWAL_CONNECTIONS = 4;

  private static final Duration LISTEN_RETRY_INTERVAL = Duration.ofMillis(20);

  private final CountDownLatch listening = new CountDownLatch(1);
  private final XnioWorker worker;
  private final XnioWorker renewalWorker;
  private final HttpServer httpServer;
  private Controller controller;

  Server(Settings settings, Tuning tuning, OperatorSettings operations) throws IOException {
    worker = newSingleThreadWorker();
    renewalWorker = newSingleThreadWorker();
    XnioEventLoop loop = new XnioEventLoop(worker.getIoThread());
    XnioEventLoop renewalLoop = new XnioEventLoop(renewalWorker.getIoThread(), loop.clock());
    ByteBufferPool buffers = new DefaultByteBufferPool(false, 8192, 200, 4);
    UndertowHttpClient httpClient = newHttpClient(settings, loop, buffers);
    UndertowHttpClient renewalHttpClient =
        new UndertowHttpClient(
            renewalLoop, renewalWorker.getIoThread(), buffers, RENEWAL_CONNECTIONS);
    TcpPeerTransport peerTransport = newPeerTransport(settings, loop);
    RandomGenerator random = RandomGenerator.of("L64X128MixRandom");
    controller =
        new Controller(
            loop,
            httpClient,
            new Controller.RenewalLoop(renewalLoop, renewalHttpClient),
            peerTransport,
            settings,
            SupportedLevels.OF_THIS_BUILD,
            new Controller.Options(tuning, operations),
            random,
            InstantSource.system());
    httpServer =
        new HttpServer(
            settings.clientListen(),
            worker,
            buffers,
            settings.connectionLimits().inbound(),
            settings.connectionLimits().maxKeptAlive(),
            Controller.HEARTBEAT_PATH::equals,
            controller::handleRequest);
    loop.schedule(SOCKET_LOG_INTERVAL, () -> logSockets(loop, httpClient));
    loop.execute(
        () -> {
          try {
            peerTransport.start(settings.peerListen());
            controller.start();
            listenWhenReady(loop, settings.clientListen());
          } catch (IOException e) {
            exitWithError(settings.peerListen(), e);
          }
        });
  }

  /**
   * Limits the connections that this controller opens. Most sockets are for agents and users, which
   * may all connect to this controller when it is the only one left. Idle connections that it has
   * opened are closed when other addresses need them.
   */
  private UndertowHttpClient newHttpClient(
      Settings settings, XnioEventLoop loop, ByteBufferPool buffers) {
    return new UndertowHttpClient(
        loop,
        worker.getIoThread(),
        buffers,
        settings.connectionLimits().outbound(),
        settings.connectionLimits().reservedOutbound(),
        Set.copyOf(List.of(settings.storeAddress(), settings.cloudAddress())));
  }

  private TcpPeerTransport newPeerTransport(Settings settings, XnioEventLoop loop) {
    PeerTransport.Receiver receiver =
        new PeerTransport.Receiver() {
          @Override
          public void received(String peer, byte[] frame) {
            controller.handlePeerMessage(peer, frame);
          }

          @Override
          public void processEnded(String peer) {
            controller.peerConnectionRefused(peer);
          }
        };
    return new TcpPeerTransport(
        loop,
        worker,
        settings.controllerName(),
        PeerVersions.SUPPORTED.greeting(),
        PeerVersions.SUPPORTED::accepts,
        settings.peers(),
        receiver);
  }

  /** Creates a worker with one I/O thread, which suffices for a controller or a command. */
  static XnioWorker newSingleThreadWorker() throws IOException {
    return Xnio.getInstance()
        .createWorker(
            OptionMap.builder()
                .set(Options.WORKER_IO_THREADS, 1)
                .set(Options.WORKER_TASK_CORE_THREADS, 1)
                .set(Options.WORKER_TASK_MAX_THREADS, 1)
                .set(Options.TCP_NODELAY, true)
                .getMap());
  }

  private void logSockets(XnioEventLoop loop, UndertowHttpClient httpClient) {
    LOG.info(
        "event=sockets served={} called={} calls_refused={}",
        httpServer.openConnections(),
        httpClient.openConnections(),
        httpClient.refusedRequests());
    loop.schedule(SOCKET_LOG_INTERVAL, () -> logSockets(loop, httpClient));
  }

  private void listenWhenReady(XnioEventLoop loop, InetSocketAddress address) {
    if (!controller.isReady()) {
      loop.schedule(LISTEN_RETRY_INTERVAL, () -> listenWhenReady(loop, address));
      return;
    }
    try {
      httpServer.start();
      listening.countDown();
    } catch (RuntimeException e) {
      exitWithError(address, e);
    }
  }

  private static void exitWithError(InetSocketAddress address, Exception cause) {
    System.err.println("pearscale: " + address + ": " + cause.getMessage());
    System.exit(Main.EXIT_FAILURE);
  }

  /** Waits until the client port is open; returns false if the timeout elapses first. */
  boolean awaitListening(Duration timeout) throws InterruptedException {
    return listening.await(timeout.toMillis(), TimeUnit.MILLISECONDS);
  }

  void stop() {
    httpServer.stop();
    worker.shutdownNow();
    renewalWorker.shutdownNow();
  }
}
