package io.pearscale.scheduler.autoscaling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.pearscale.protocol.MachineType;
import io.pearscale.protocol.Settings;
import io.pearscale.scheduler.autoscaling.ScaleOutPlanner.Offering;
import io.pearscale.transport.CountingEventLoop;
import io.pearscale.transport.HttpClient;
import io.pearscale.transport.MessagePack;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * Tests reading the machine list of a large fleet from a cloud with a low rate limit. The list
 * takes many calls, which must neither exceed the limit nor delay provisioning.
 */
class CloudActorTest {
  private static final int MACHINES = 4000;
  private static final double RATE = 1.5;
  private static final MachineType BIG =
      new MachineType("big", 32, 0, 256, 100, 1, 1, 0.4, Duration.ofSeconds(20), List.of("a"));
  private static final Duration RESPONSE_DELAY = Duration.ofMillis(200);

  private final CountingEventLoop loop = new CountingEventLoop();
  private final List<CloudActor.Event> events = new ArrayList<>();
  private int rejectedCalls;

  /** A cloud that returns pages of the list, and status 429 after bursts of two seconds' worth. */
  private final class RateLimitedCloud implements HttpClient {
    private double availableCalls = 2 * RATE;
    private Instant refilledAt = loop.clock().instant();

    @Override
    public void call(
        String address,
        String method,
        String path,
        JsonNode body,
        Duration timeout,
        Consumer<Reply> onReply) {
      Instant now = loop.clock().instant();
      double elapsedSeconds = Duration.between(refilledAt, now).toNanos() / 1e9;
      availableCalls = Math.min(2 * RATE, availableCalls + elapsedSeconds * RATE);
      refilledAt = now;
      if (availableCalls < 1) {
        rejectedCalls++;
        loop.schedule(RESPONSE_DELAY, () -> onReply.accept(new Reply(429, MessagePack.map())));
        return;
      }
      availableCalls--;
      loop.schedule(RESPONSE_DELAY, () -> onReply.accept(new Reply(200, responseBody(path))));
    }

    private JsonNode responseBody(String path) {
      if (path.startsWith("/hosts?")) {
        return page(path);
      }
      var body = MessagePack.map();
      if (path.equals("/hosts")) {
        body.putArray("hives").add("m-rented");
      } else {
        body.putArray("breeds").add(BIG.toNode());
      }
      return body;
    }

    private JsonNode page(String path) {
      int lastIndex = path.contains("since=") ? Integer.parseInt(path.split("m-|&")[1]) : -1;
      int end = Math.min(MACHINES, lastIndex + 1 + 500);
      var body = MessagePack.map().put("more", end < MACHINES);
      var list = body.putArray("hives");
      for (int i = lastIndex + 1; i < end; i++) {
        list.addObject().put("uid", "m-%06d".formatted(i)).put("stage", "running");
      }
      return body;
    }
  }

  private static Settings settings() {
    InetSocketAddress unusedAddress = InetSocketAddress.createUnresolved("hive-0", 1);
    Duration second = Duration.ofSeconds(1);
    return new Settings(
        "hive-0",
        "a",
        unusedAddress,
        unusedAddress,
        Map.of(),
        "cloud",
        "state",
        List.of(),
        List.of(),
        new Settings.AgentSettings(second, second, second, Optional.empty()),
        new Settings.StoreLimits(100, 50, 8192, 24),
        new Settings.CloudLimits(RATE, Duration.ofSeconds(12)),
        1000,
        1);
  }

  private <T> List<T> events(Class<T> kind) {
    return events.stream().filter(kind::isInstance).map(kind::cast).toList();
  }

  @Test
  void largeFleetListIsCompleteAndDoesNotDelayProvisioning() {
    CloudActor cloud = new CloudActor(loop, new RateLimitedCloud(), settings(), events::add);
    cloud.tell(new CloudActor.BeginTerm(1));
    loop.advance(Duration.ofSeconds(3));
    cloud.tell(new CloudActor.ProvisionMachines(new Offering("big", "a", false), 1));
    loop.advance(Duration.ofSeconds(3));
    assertEquals(1, events(CloudActor.MachinesProvisioned.class).size());
    loop.advance(Duration.ofSeconds(24));
    List<CloudActor.MachinesListed> lists = events(CloudActor.MachinesListed.class);
    assertTrue(!lists.isEmpty(), "no list in 30 s");
    lists.forEach(list -> assertEquals(MACHINES, list.machines().size()));
    assertEquals(0, rejectedCalls);
  }
}
