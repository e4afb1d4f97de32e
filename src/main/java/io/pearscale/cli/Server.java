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

/** A controller on real sockets: one XNIO thread does all but renew the leadership. */
final class Server {
  private static final Logger LOG = LoggerFactory.getLogger(Server.class);
  private static final Duration SOCKETS_LOGGED = Duration.ofMinutes(1);

  private static final int RENEWAL_CONNECTIONS = 4;

  private static final Duration LISTEN_RETRY = Duration.ofMillis(20);

  private final CountDownLatch listening = new CountDownLatch(1);
  private final XnioWorker worker;
  private final XnioWorker renewalWorker;
  private final HttpServer http;
  private Controller controller;

  Server(Settings settings, Tuning tuning, OperatorSettings operations) throws IOException {
    worker = newSingleThreadWorker();
    renewalWorker = newSingleThreadWorker();
    XnioEventLoop loop = new XnioEventLoop(worker.getIoThread());
    XnioEventLoop renewalLoop = new XnioEventLoop(renewalWorker.getIoThread(), loop.clock());
    ByteBufferPool buffers = new DefaultByteBufferPool(false, 8192, 200, 4);
    UndertowHttpClient calls = calls(settings, loop, buffers);
    UndertowHttpClient renewalCalls =
        new UndertowHttpClient(
            renewalLoop, renewalWorker.getIoThread(), buffers, RENEWAL_CONNECTIONS);
    TcpPeerTransport links = links(settings, loop);
    RandomGenerator random = RandomGenerator.of("L64X128MixRandom");
    controller =
        new Controller(
            loop,
            calls,
            new Controller.RenewalLoop(renewalLoop, renewalCalls),
            links,
            settings,
            SupportedLevels.OF_THIS_BUILD,
            new Controller.Options(tuning, operations),
            random,
            InstantSource.system());
    http =
        new HttpServer(
            settings.clientListen(),
            worker,
            buffers,
            settings.connectionLimits().inbound(),
            settings.connectionLimits().maxKeptAlive(),
            Controller.HEARTBEAT_PATH::equals,
            controller::handleRequest);
    loop.schedule(SOCKETS_LOGGED, () -> logSockets(loop, calls));
    loop.execute(
        () -> {
          try {
            links.start(settings.peerListen());
            controller.start();
            listen(loop, settings.clientListen());
          } catch (IOException e) {
            fail(settings.peerListen(), e);
          }
        });
  }

  /**
   * Most sockets are for workers and users, who may all come to one controller when it is the only
   * one left. What we open ourselves is closed when others need it.
   */
  private UndertowHttpClient calls(Settings settings, XnioEventLoop loop, ByteBufferPool buffers) {
    return new UndertowHttpClient(
        loop,
        worker.getIoThread(),
        buffers,
        settings.connectionLimits().outbound(),
        settings.connectionLimits().reservedOutbound(),
        Set.copyOf(List.of(settings.storeAddress(), settings.cloudAddress())));
  }

  private TcpPeerTransport links(Settings settings, XnioEventLoop loop) {
    PeerTransport.Receiver receiver =
        new PeerTransport.Receiver() {
          @Override
          public void received(String peer, byte[] frame) {
            controller.handlePeerRecord(peer, frame);
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

  /** A worker of one thread, which is all that a controller or a command needs. */
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

  private void logSockets(XnioEventLoop loop, UndertowHttpClient calls) {
    LOG.info(
        "event=sockets served={} called={} calls_refused={}",
        http.openConnections(),
        calls.openConnections(),
        calls.refusedRequests());
    loop.schedule(SOCKETS_LOGGED, () -> logSockets(loop, calls));
  }

  private void listen(XnioEventLoop loop, InetSocketAddress address) {
    if (!controller.isReady()) {
      loop.schedule(LISTEN_RETRY, () -> listen(loop, address));
      return;
    }
    try {
      http.start();
      listening.countDown();
    } catch (RuntimeException e) {
      fail(address, e);
    }
  }

  private static void fail(InetSocketAddress address, Exception cause) {
    System.err.println("pearscale: " + address + ": " + cause.getMessage());
    System.exit(Main.EXIT_FAILURE);
  }

  /** Waits until users and workers are served. */
  boolean awaitListening(Duration limit) throws InterruptedException {
    return listening.await(limit.toMillis(), TimeUnit.MILLISECONDS);
  }

  void stop() {
    http.stop();
    worker.shutdownNow();
    renewalWorker.shutdownNow();
  }
}
