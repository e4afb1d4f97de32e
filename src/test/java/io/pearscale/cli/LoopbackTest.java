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

/** A controller on real sockets whose state service and cloud refuse every connection. */
class LoopbackTest {
  @TempDir static Path folder;
  private static Server server;
  private static int client;
  private static int back;
  private final HttpClient http =
      HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build();

  @BeforeAll
  static void start() throws Exception {
    client = SettingsTest.freePort();
    back = SettingsTest.freePort();
    Path file = folder.resolve("s.toml");
    Files.writeString(
        file,
        SettingsTest.settings(client, back, SettingsTest.freePort(), SettingsTest.freePort()));
    server = new Server(SettingsReader.read(file), Tuning.defaults(), OperatorSettings.disabled());
    assertTrue(server.awaitListening(Duration.ofSeconds(10)), "does not listen");
  }

  @AfterAll
  static void stop() {
    server.stop();
  }

  private HttpResponse<byte[]> send(String method, String path, byte[] body) throws Exception {
    return http.send(
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + client + path))
            .timeout(Duration.ofSeconds(3))
            .method(method, HttpRequest.BodyPublishers.ofByteArray(body))
            .build(),
        HttpResponse.BodyHandlers.ofByteArray());
  }

  private static ObjectNode job() {
    return WarmUp.job();
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
    ObjectNode whole = job();
    for (Iterator<String> it = job().fieldNames(); it.hasNext(); ) {
      String field = it.next();
      boolean optional = List.of("breeds", "yard", "dueS").contains(field);
      ObjectNode without = whole.deepCopy();
      without.remove(field);
      assertEquals(optional ? 503 : 400, submit(without), field);
    }
  }

  @Test
  void aBodyInPiecesIsNotAnsweredBeforeItIsDecided() throws Exception {
    byte[] body = MessagePack.encode(job());
    try (Socket s = new Socket(InetAddress.getLoopbackAddress(), client)) {
      s.setSoTimeout(3000);
      String head = "POST /work HTTP/1.1\r\nHost: x\r\nContent-Length: " + body.length + "\r\n\r\n";
      s.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
      s.getOutputStream().flush();
      Thread.sleep(60);
      s.getOutputStream().write(body, 0, 20);
      s.getOutputStream().flush();
      Thread.sleep(60);
      s.getOutputStream().write(body, 20, body.length - 20);
      s.getOutputStream().flush();
      byte[] start = s.getInputStream().readNBytes(12);
      assertEquals("HTTP/1.1 503", new String(start, StandardCharsets.US_ASCII));
    }
  }

  @Test
  void anOversizedBodyIsAnswered400() throws Exception {
    int status;
    try {
      status = send("POST", "/work", new byte[70_000]).statusCode();
    } catch (IOException e) {
      // The connection may be closed while the rest is still being sent; nothing hangs.
      return;
    }
    assertEquals(400, status);
  }

  @Test
  void whatCannotBeDecidedIsAnswered503AtOnceWithRetryAfter() throws Exception {
    for (String[] request :
        new String[][] {
          {"POST", "/work"}, {"GET", "/work/wk-000001"}, {"POST", "/work/wk-000001/cancel"}
        }) {
      long began = System.nanoTime();
      HttpResponse<byte[]> r =
          send(
              request[0],
              request[1],
              request[1].equals("/work") ? MessagePack.encode(job()) : new byte[0]);
      assertEquals(503, r.statusCode(), request[1]);
      assertTrue(r.headers().firstValue("Retry-After").isPresent(), request[1]);
      assertTrue(System.nanoTime() - began < 1_500_000_000L, "answered late");
    }
  }

  @Test
  void aControllerThatCannotLoadIsNotReadyForLong() throws Exception {
    Thread.sleep(5200);
    assertEquals(503, send("GET", "/up", new byte[0]).statusCode());
  }

  @Test
  void unknownPagesAndIdsAreAnswered404() throws Exception {
    assertEquals(404, send("GET", "/other", new byte[0]).statusCode());
    assertEquals(404, send("GET", "/work/nonsense", new byte[0]).statusCode());
    assertEquals(404, send("DELETE", "/work", new byte[0]).statusCode());
  }

  @Test
  void reportsWithoutALeaderAreNotAnswered200() throws Exception {
    assertEquals(400, send("POST", "/checkin", new byte[] {1, 2}).statusCode());
    ObjectNode report = WarmUp.heartbeat("127.0.0.1:1");
    assertEquals(503, send("POST", "/checkin", MessagePack.encode(report)).statusCode());
  }

  private static void greet(Socket socket, String greeting) throws IOException {
    byte[] hello = greeting.getBytes(StandardCharsets.UTF_8);
    socket.getOutputStream().write(new byte[] {0, 0, 0, (byte) hello.length});
    socket.getOutputStream().write(hello);
    socket.getOutputStream().flush();
  }

  @Test
  void aPeerOfALaterReleaseThatSpeaksOurVersionIsHeard() throws Exception {
    try (Socket s = new Socket(InetAddress.getLoopbackAddress(), back)) {
      greet(s, "pearscale/2-9 hive-1");
      s.setSoTimeout(500);
      assertThrows(
          SocketTimeoutException.class, () -> s.getInputStream().read(), "the link is closed");
    }
  }

  @Test
  void aForeignPeerIsCutOff() throws Exception {
    try (Socket s = new Socket(InetAddress.getLoopbackAddress(), back)) {
      greet(s, "pearscale/4-9 hive-1");
      s.setSoTimeout(3000);
      assertEquals(-1, s.getInputStream().read(), "a peer of another version");
    }
    try (Socket s = new Socket(InetAddress.getLoopbackAddress(), back)) {
      s.setSoTimeout(3000);
      s.getOutputStream().write(new byte[] {0x7f, 0, 0, 0});
      s.getOutputStream().flush();
      assertEquals(-1, s.getInputStream().read(), "a frame of two gigabytes");
    }
    assertFalse(send("GET", "/up", new byte[0]).statusCode() == 500);
  }
}
