package io.pearscale.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.pearscale.transport.Calls.Reply;
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
class HttpCallsTest {
  private static final int MOST = 4;
  private XnioWorker worker;
  private HttpCalls calls;
  private final List<ServerSocket> servers = new ArrayList<>();
  private final List<Socket> sockets = Collections.synchronizedList(new ArrayList<>());

  @BeforeEach
  void start() throws IOException {
    worker =
        Xnio.getInstance()
            .createWorker(OptionMap.builder().set(Options.WORKER_IO_THREADS, 1).getMap());
    calls =
        new HttpCalls(
            new XnioLoop(worker.getIoThread()),
            worker.getIoThread(),
            new DefaultByteBufferPool(false, 8192, 8, 0),
            MOST);
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

  private void answer(ServerSocket s) {
    byte[] ok = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.UTF_8);
    try {
      while (true) {
        Socket c = s.accept();
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
    return reply.get(5, TimeUnit.SECONDS);
  }

  @Test
  void hostsThatNeverAnswerKeepNoSockets() throws Exception {
    for (int i = 0; i < 2 * MOST; i++) {
      assertEquals(0, ask(silentHost()).status());
    }
    assertEquals(200, ask(goodHost()).status());
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
