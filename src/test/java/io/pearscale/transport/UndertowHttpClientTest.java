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

/** Tests requests over real sockets, including requests to unresponsive hosts. */
class UndertowHttpClientTest {
  private static final int MAX_CONNECTIONS = 4;
  private static final int RESERVED_CONNECTIONS = 1;
  private static final String STORE_ADDRESS = "127.0.0.2:1";
  private XnioWorker worker;
  private UndertowHttpClient client;
  private final List<ServerSocket> servers = new ArrayList<>();
  private final List<Socket> sockets = Collections.synchronizedList(new ArrayList<>());

  @BeforeEach
  void start() throws IOException {
    worker =
        Xnio.getInstance()
            .createWorker(OptionMap.builder().set(Options.WORKER_IO_THREADS, 1).getMap());
    client =
        new UndertowHttpClient(
            new XnioEventLoop(worker.getIoThread()),
            worker.getIoThread(),
            new DefaultByteBufferPool(false, 8192, 8, 0),
            MAX_CONNECTIONS,
            RESERVED_CONNECTIONS,
            Set.of(STORE_ADDRESS));
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

  /**
   * Returns the address of a port that neither accepts nor refuses connections, because its accept
   * queue is full.
   */
  private String unresponsiveHost() throws IOException {
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

  /**
   * Returns the address of a host that answers the first request of each connection with an empty
   * 200 response and keeps the connection open.
   */
  private String respondingHost() throws IOException {
    ServerSocket s = listen(50);
    Thread t = new Thread(() -> respondToConnections(s));
    t.setDaemon(true);
    t.start();
    return "127.0.0.1:" + s.getLocalPort();
  }

  private void respondToConnections(ServerSocket socket) {
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
      // The test has closed the socket.
      return;
    }
  }

  private Reply send(String address) throws Exception {
    return sendAsync(address).get(5, TimeUnit.SECONDS);
  }

  private CompletableFuture<Reply> sendAsync(String address) {
    CompletableFuture<Reply> reply = new CompletableFuture<>();
    worker
        .getIoThread()
        .execute(
            () ->
                client.call(
                    address,
                    "GET",
                    "/status",
                    MessagePack.MISSING,
                    Duration.ofMillis(300),
                    reply::complete));
    return reply;
  }

  @Test
  void unresponsiveHostsReleaseTheirSockets() throws Exception {
    for (int i = 0; i < 2 * MAX_CONNECTIONS; i++) {
      assertEquals(0, send(unresponsiveHost()).status());
    }
    assertEquals(200, send(respondingHost()).status());
  }

  /**
   * A burst of commands to machines must not prevent the leader from reaching the key-value store.
   */
  @Test
  void reservedConnectionsRemainForTheStore() throws Exception {
    List<String> unresponsiveHosts = new ArrayList<>();
    for (int i = 0; i < MAX_CONNECTIONS; i++) {
      unresponsiveHosts.add(unresponsiveHost());
    }
    List<CompletableFuture<Reply>> machineReplies =
        unresponsiveHosts.stream().map(this::sendAsync).toList();
    // Nothing listens at this address, so the request fails. It counts as not sent only if no
    // socket was available.
    Reply storeReply = send(STORE_ADDRESS);
    assertFalse(storeReply.notSent());
    List<Reply> replies = new ArrayList<>();
    for (CompletableFuture<Reply> m : machineReplies) {
      replies.add(m.get(5, TimeUnit.SECONDS));
    }
    assertEquals(RESERVED_CONNECTIONS, replies.stream().filter(Reply::notSent).count());
  }

  /**
   * Machines and their addresses change during the lifetime of a process, so unused hosts must not
   * accumulate.
   */
  @Test
  void hostsAreRemovedWithTheirLastConnection() throws Exception {
    for (int i = 0; i < 10; i++) {
      send(unresponsiveHost());
      send("no address " + i);
    }
    assertEquals(0, client.hostCount());
    for (int i = 0; i < 3 * MAX_CONNECTIONS; i++) {
      send(respondingHost());
    }
    assertTrue(client.hostCount() <= MAX_CONNECTIONS, "hosts in use: " + client.hostCount());
  }

  @Test
  void invalidAddressCountsAsUnresponsive() throws Exception {
    for (String address : List.of("", "no address", "host", "host:", "host:x", "[::", "a/b:1")) {
      assertEquals(0, send(address).status(), address);
    }
    assertEquals(200, send(respondingHost()).status());
  }

  @Test
  void idleConnectionsAreEvictedForOtherHosts() throws Exception {
    for (int i = 0; i < 3 * MAX_CONNECTIONS; i++) {
      assertEquals(200, send(respondingHost()).status(), "host " + i);
    }
  }
}
