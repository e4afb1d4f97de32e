package io.pearscale.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.scheduler.OperatorSettings;
import io.pearscale.scheduler.model.Tuning;
import io.pearscale.transport.MessagePack;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Iterator;
import java.util.List;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests a controller on real sockets whose key-value store and cloud refuse every connection. */
class LoopbackTest {
  @TempDir static Path folder;
  private static Server server;
  private static int clientPort;
  private static int peerPort;
  private final HttpClient httpClient =
      HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build();

  @BeforeAll
  static void start() throws Exception {
    clientPort = SettingsTest.freePort();
    peerPort = SettingsTest.freePort();
    Path file = folder.resolve("s.toml");
    Files.writeString(
        file,
        SettingsTest.settings(
            clientPort, peerPort, SettingsTest.freePort(), SettingsTest.freePort()));
    server = new Server(SettingsReader.read(file), Tuning.defaults(), OperatorSettings.disabled());
    assertTrue(server.awaitListening(Duration.ofSeconds(10)), "the client port is not open");
  }

  @AfterAll
  static void stop() {
    server.stop();
  }

  private HttpResponse<byte[]> send(String method, String path, byte[] body) throws Exception {
    return httpClient.send(
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + clientPort + path))
            .timeout(Duration.ofSeconds(3))
            .method(method, HttpRequest.BodyPublishers.ofByteArray(body))
            .build(),
        HttpResponse.BodyHandlers.ofByteArray());
  }

  private static ObjectNode job() {
    return WarmUp.sampleJob();
  }

  private int submit(JsonNode body) throws Exception {
    return send("POST", "/work", MessagePack.encode(body)).statusCode();
  }

  @Test
  void malformedSubmissionsAreAnswered400() throws Exception {
    assertEquals(400, send("POST", "/work", new byte[0]).statusCode());
    assertEquals(
        400, send("POST", "/work", "garbage".getBytes(StandardCharsets.UTF_8)).statusCode());
    assertEquals(400, submit(MessagePack.map()));
    assertEquals(400, submit(job().put("pieces", "three")));
    assertEquals(400, submit(job().put("pieces", 0)));
    assertEquals(400, submit(job().put("pieces", 100_001)));
    assertEquals(400, submit(job().put("vcpus", -1.0)));
    assertEquals(400, submit(job().put("vcpus", Double.NaN)));
    assertEquals(400, submit(job().put("shape", "heap")));
    assertEquals(400, submit(job().put("rank", "urgent")));
    assertEquals(400, submit(job().put("uid", "job-1")));
    assertEquals(400, submit(job().put("uid", "wk-1/../x")));
    assertEquals(400, submit(job().put("lineup", "x".repeat(3000))));
    ObjectNode missing = job();
    missing.remove("guessS");
    assertEquals(400, submit(missing));
    ObjectNode complete = job();
    for (Iterator<String> it = job().fieldNames(); it.hasNext(); ) {
      String field = it.next();
      boolean optional = List.of("breeds", "yard", "dueS").contains(field);
      ObjectNode without = complete.deepCopy();
      without.remove(field);
      assertEquals(optional ? 503 : 400, submit(without), field);
    }
  }

  @Test
  void fragmentedBodyIsReadCompletelyBeforeResponse() throws Exception {
    byte[] body = MessagePack.encode(job());
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), clientPort)) {
      socket.setSoTimeout(3000);
      String head = "POST /work HTTP/1.1\r\nHost: x\r\nContent-Length: " + body.length + "\r\n\r\n";
      socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
      socket.getOutputStream().flush();
      Thread.sleep(60);
      socket.getOutputStream().write(body, 0, 20);
      socket.getOutputStream().flush();
      Thread.sleep(60);
      socket.getOutputStream().write(body, 20, body.length - 20);
      socket.getOutputStream().flush();
      byte[] start = socket.getInputStream().readNBytes(12);
      assertEquals("HTTP/1.1 503", new String(start, StandardCharsets.US_ASCII));
    }
  }

  @Test
  void oversizedBodyIsAnswered400() throws Exception {
    int status;
    try {
      status = send("POST", "/work", new byte[70_000]).statusCode();
    } catch (IOException e) {
      // The server may close the connection before the whole body is sent.
      return;
    }
    assertEquals(400, status);
  }

  @Test
  void requestsWithoutStateServiceAreAnswered503AtOnceWithRetryAfter() throws Exception {
    for (String[] request :
        new String[][] {
          {"POST", "/work"}, {"GET", "/work/wk-000001"}, {"POST", "/work/wk-000001/cancel"}
        }) {
      long startNanos = System.nanoTime();
      HttpResponse<byte[]> response =
          send(
              request[0],
              request[1],
              request[1].equals("/work") ? MessagePack.encode(job()) : new byte[0]);
      assertEquals(503, response.statusCode(), request[1]);
      assertTrue(response.headers().firstValue("Retry-After").isPresent(), request[1]);
      assertTrue(System.nanoTime() - startNanos < 1_500_000_000L, "the response took too long");
    }
  }

  @Test
  void readinessEndsWhenStateCannotBeLoaded() throws Exception {
    Thread.sleep(5200);
    assertEquals(503, send("GET", "/up", new byte[0]).statusCode());
  }

  @Test
  void unknownPathsAndIdsAreAnswered404() throws Exception {
    assertEquals(404, send("GET", "/other", new byte[0]).statusCode());
    assertEquals(404, send("GET", "/work/nonsense", new byte[0]).statusCode());
    assertEquals(404, send("DELETE", "/work", new byte[0]).statusCode());
  }

  @Test
  void heartbeatsWithoutLeaderAreNotAnswered200() throws Exception {
    assertEquals(400, send("POST", "/checkin", new byte[] {1, 2}).statusCode());
    ObjectNode heartbeat = WarmUp.sampleHeartbeat("127.0.0.1:1");
    assertEquals(503, send("POST", "/checkin", MessagePack.encode(heartbeat)).statusCode());
  }

  private static void sendGreeting(Socket socket, String greeting) throws IOException {
    byte[] greetingBytes = greeting.getBytes(StandardCharsets.UTF_8);
    socket.getOutputStream().write(new byte[] {0, 0, 0, (byte) greetingBytes.length});
    socket.getOutputStream().write(greetingBytes);
    socket.getOutputStream().flush();
  }

  @Test
  void peerWithOverlappingVersionRangeIsAccepted() throws Exception {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), peerPort)) {
      sendGreeting(socket, "pearscale/2-9 hive-1");
      socket.setSoTimeout(500);
      assertThrows(
          SocketTimeoutException.class,
          () -> socket.getInputStream().read(),
          "the connection is closed");
    }
  }

  @Test
  void connectionOfIncompatiblePeerIsClosed() throws Exception {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), peerPort)) {
      sendGreeting(socket, "pearscale/4-9 hive-1");
      socket.setSoTimeout(3000);
      assertEquals(-1, socket.getInputStream().read(), "a peer of another version");
    }
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), peerPort)) {
      socket.setSoTimeout(3000);
      socket.getOutputStream().write(new byte[] {0x7f, 0, 0, 0});
      socket.getOutputStream().flush();
      assertEquals(-1, socket.getInputStream().read(), "a frame of two gigabytes");
    }
    assertFalse(send("GET", "/up", new byte[0]).statusCode() == 500);
  }
}
