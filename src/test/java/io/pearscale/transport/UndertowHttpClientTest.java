package io.pearscale.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pearscale.transport.HttpClient.Reply;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Outgoing requests on real sockets, where some hosts never answer. */
class UndertowHttpClientTest {
  private static final int MOST = 4;
  private static final int RESERVED = 1;
  private static final String STATE = "127.0.0.2:1";
  private XnioWorker worker;
  private UndertowHttpClient calls;
  private final List<ServerSocket> servers = new ArrayList<>();
  private final List<Socket> sockets = Collections.synchronizedList(new ArrayList<>());

  @BeforeEach
  void start() throws IOException {
    worker =
        Xnio.getInstance()
            .createWorker(OptionMap.builder().set(Options.WORKER_IO_THREADS, 1).getMap());
    calls =
        new UndertowHttpClient(
            new XnioEventLoop(worker.getIoThread()),
            worker.getIoThread(),
            new DefaultByteBufferPool(false, 8192, 8, 0),
            MOST,
            RESERVED,
            Set.of(STATE));
  }

  @AfterEach
  void stop() throws IOException {
    worker.shutdownNow();
    for (ServerSocket s : servers) {
      s.close();
    }
    for (Socket s : List.copyOf(sockets)) {
      s.close();
    }
  }

  private ServerSocket listen(int backlog) throws IOException {
    ServerSocket s = new ServerSocket(0, backlog, InetAddress.getLoopbackAddress());
    servers.add(s);
    return s;
  }

  /** A port that neither accepts nor refuses, since its queue of connections is full. */
  private String silentHost() throws IOException {
    ServerSocket s = listen(1);
    for (int i = 0; i < 3; i++) {
      Socket c = new Socket();
      sockets.add(c);
      try {
        c.connect(s.getLocalSocketAddress(), 200);
      } catch (IOException e) {
        break;
      }
    }
    return "127.0.0.1:" + s.getLocalPort();
  }

  /** Answers the first request of each connection with an empty 200, and keeps the connection. */
  private String goodHost() throws IOException {
    ServerSocket s = listen(50);
    Thread t = new Thread(() -> answer(s));
    t.setDaemon(true);
    t.start();
    return "127.0.0.1:" + s.getLocalPort();
  }

  private void answer(ServerSocket socket) {
    byte[] ok = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.UTF_8);
    try {
      while (true) {
        Socket c = socket.accept();
        sockets.add(c);
        if (c.getInputStream().read(new byte[4096]) > 0) {
          c.getOutputStream().write(ok);
        }
      }
    } catch (IOException e) {
      // The socket was closed: the test is over.
      return;
    }
  }

  private Reply ask(String address) throws Exception {
    return begin(address).get(5, TimeUnit.SECONDS);
  }

  private CompletableFuture<Reply> begin(String address) {
    CompletableFuture<Reply> reply = new CompletableFuture<>();
    worker
        .getIoThread()
        .execute(
            () ->
                calls.call(
                    address,
                    "GET",
                    "/status",
                    MessagePack.MISSING,
                    Duration.ofMillis(300),
                    reply::complete));
    return reply;
  }

  @Test
  void hostsThatNeverAnswerKeepNoSockets() throws Exception {
    for (int i = 0; i < 2 * MOST; i++) {
      assertEquals(0, ask(silentHost()).status());
    }
    assertEquals(200, ask(goodHost()).status());
  }

  /** A burst of commands to machines must not keep the leader from the state service. */
  @Test
  void aReserveIsLeftForTheStateService() throws Exception {
    List<String> silent = new ArrayList<>();
    for (int i = 0; i < MOST; i++) {
      silent.add(silentHost());
    }
    List<CompletableFuture<Reply>> machines = silent.stream().map(this::begin).toList();
    // Nothing listens there: an attempt fails by itself, and only one without a socket is not sent.
    Reply state = ask(STATE);
    assertFalse(state.notSent());
    List<Reply> replies = new ArrayList<>();
    for (CompletableFuture<Reply> m : machines) {
      replies.add(m.get(5, TimeUnit.SECONDS));
    }
    assertEquals(RESERVED, replies.stream().filter(Reply::notSent).count());
  }

  /** Machines come and go for as long as a process lives. */
  @Test
  void hostsAreForgottenWithTheirLastConnection() throws Exception {
    for (int i = 0; i < 10; i++) {
      ask(silentHost());
      ask("no address " + i);
    }
    assertEquals(0, calls.knownHosts());
    for (int i = 0; i < 3 * MOST; i++) {
      ask(goodHost());
    }
    assertTrue(calls.knownHosts() <= MOST, "known: " + calls.knownHosts());
  }

  @Test
  void whatIsNoAddressCountsAsSilent() throws Exception {
    for (String address : List.of("", "no address", "host", "host:", "host:x", "[::", "a/b:1")) {
      assertEquals(0, ask(address).status(), address);
    }
    assertEquals(200, ask(goodHost()).status());
  }

  @Test
  void idleConnectionsMakeRoomForOtherHosts() throws Exception {
    for (int i = 0; i < 3 * MOST; i++) {
      assertEquals(200, ask(goodHost()).status(), "host " + i);
    }
  }
}
