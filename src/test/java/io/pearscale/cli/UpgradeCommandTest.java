package io.pearscale.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.transport.Body;
import io.pearscale.transport.HttpServer;
import io.pearscale.transport.MessagePack;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.xnio.XnioWorker;
import picocli.CommandLine;

/** Tests {@code upgrade status} against a stub of the key-value store. */
class UpgradeCommandTest {
  @TempDir Path folder;
  private final WarmUpServices services = new WarmUpServices();
  private final StringWriter out = new StringWriter();
  private final StringWriter err = new StringWriter();
  private XnioWorker worker;
  private HttpServer server;
  private Path settings;

  @BeforeEach
  void start() throws IOException {
    int port = SettingsTest.freePort();
    worker = Server.newSingleThreadWorker();
    server =
        new HttpServer(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
            worker,
            new DefaultByteBufferPool(false, 8192, 8, 0),
            8,
            8,
            path -> false,
            services::handle);
    server.start();
    settings = folder.resolve("settings.toml");
    Files.writeString(settings, SettingsTest.settings(1, 2, 3, port));
  }

  @AfterEach
  void stop() {
    server.stop();
    worker.shutdownNow();
  }

  private int runStatus(String... options) {
    CommandLine commandLine = new CommandLine(new UpgradeCommand());
    commandLine.setOut(new PrintWriter(out, true));
    commandLine.setErr(new PrintWriter(err, true));
    List<String> args = new ArrayList<>(List.of("status", "--config", settings.toString()));
    args.addAll(List.of(options));
    return commandLine.execute(args.toArray(String[]::new));
  }

  private void store(String key, JsonNode value) {
    ObjectNode body = MessagePack.map();
    body.putArray("then").addObject().put("write", key).set("value", value);
    services.handle("POST", "/commit", Body.of(body), response -> {});
  }

  @Test
  void statusWithoutStoredLevel() {
    store("c/lead", MessagePack.map().put("node", "hive-1"));
    store("c/term", MessagePack.map().put("term", 12));
    assertEquals(0, runStatus());
    String text = out.toString();
    assertTrue(text.contains("level in force   0 (none stored)"), text);
    assertTrue(text.contains("takes part       yes"), text);
    assertTrue(text.contains("leader           hive-1"), text);
    assertTrue(text.contains("term             12"), text);
  }

  @Test
  void statusWithUnsupportedLevel() throws IOException {
    store("c/level", MessagePack.map().put("level", 7));
    assertEquals(UpgradeCommand.EXIT_INCOMPATIBLE_BUILD, runStatus("--json"));
    JsonNode status = new ObjectMapper().readTree(out.toString());
    assertEquals("7", status.path("levelInForce").asText());
    assertEquals(false, status.path("takesPart").asBoolean(true));
    assertEquals(
        "the stored state is at level 7, this build supports 0 to 2",
        status.path("reason").asText());
  }

  @Test
  void statusWithUnreadableLevel() {
    store("c/level", MessagePack.map().put("level", "new"));
    assertEquals(UpgradeCommand.EXIT_INCOMPATIBLE_BUILD, runStatus());
    assertTrue(out.toString().contains("takes part       no: the level of the stored state"));
  }

  @Test
  void statusWithUnreachableStateService() {
    server.stop();
    assertEquals(Main.EXIT_FAILURE, runStatus());
    assertEquals("", out.toString());
    assertTrue(err.toString().contains("does not answer"), err.toString());
  }

  @Test
  void statusWithInvalidSettings() throws IOException {
    Files.writeString(settings, "host_name = 7");
    assertEquals(Main.EXIT_INVALID_INPUT, runStatus());
    assertTrue(err.toString().startsWith("pearscale: "), err.toString());
  }
}
