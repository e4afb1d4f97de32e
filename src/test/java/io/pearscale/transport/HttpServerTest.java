package io.pearscale.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.pearscale.transport.HttpServer.Response;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Tests the server on real sockets with fewer connections than clients. */
class HttpServerTest {
  private static final int MAX_CONNECTIONS = 20;
  private final List<Socket> sockets = new ArrayList<>();
  private XnioWorker worker;
  private HttpServer server;
  private InetSocketAddress address;

  @BeforeEach
  void start() throws IOException {
    worker =
        Xnio.getInstance()
            .createWorker(OptionMap.builder().set(Options.WORKER_IO_THREADS, 1).getMap());
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      address = new InetSocketAddress(InetAddress.getLoopbackAddress(), free.getLocalPort());
    }
    server =
        new HttpServer(
            address,
            worker,
            new DefaultByteBufferPool(false, 8192, 8, 0),
            MAX_CONNECTIONS,
            MAX_CONNECTIONS * 17 / 20,
            "/checkin"::equals,
            (method, path, body, respond) -> respond.accept(Response.of(200, MessagePack.map())));
    server.start();
  }

  @AfterEach
  void stop() throws IOException {
    for (Socket s : sockets) {
      s.close();
    }
    server.stop();
    worker.shutdownNow();
  }

  /**
   * Sends a request and returns the beginning of its status line. The connection stays open, as
   * those of agents and users do.
   */
  private String requestStatusLine(String path) throws IOException {
    Socket s = new Socket();
    sockets.add(s);
    s.setSoTimeout(3000);
    s.connect(address, 3000);
    String request = "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n";
    s.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
    byte[] head = new byte[12];
    int n = s.getInputStream().readNBytes(head, 0, head.length);
    return new String(head, 0, n, StandardCharsets.US_ASCII);
  }

  @Test
  void everyAgentIsAnsweredWithFewerSocketsThanAgents() throws IOException {
    assertEquals("HTTP/1.1 200", requestStatusLine("/work/wk-1"));
    for (int i = 0; i < 3 * MAX_CONNECTIONS; i++) {
      assertEquals("HTTP/1.1 200", requestStatusLine("/checkin"), "agent " + i);
    }
    assertEquals("HTTP/1.1 200", requestStatusLine("/work/wk-2"));
  }
}
