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

/** The cloud's list of a large fleet, at the rate of a cloud that allows few calls. */
class CloudActorTest {
  private static final int MACHINES = 4000;
  private static final double RATE = 1.5;
  private static final MachineType BIG =
      new MachineType("big", 32, 0, 256, 100, 1, 1, 0.4, Duration.ofSeconds(20), List.of("a"));
  private static final Duration ANSWERED_AFTER = Duration.ofMillis(200);

  private final CountingEventLoop loop = new CountingEventLoop();
  private final List<CloudActor.Event> events = new ArrayList<>();
  private int refused;

  /** Answers by the cloud's protocol: pages of a list, bursts of two seconds' worth, then 429. */
  private final class SlowCloud implements HttpClient {
    private double calls = 2 * RATE;
    private Instant filled = loop.clock().instant();

    @Override
    public void call(
        String address,
        String method,
        String path,
        JsonNode body,
        Duration timeout,
        Consumer<Reply> answer) {
      Instant now = loop.clock().instant();
      double passed = Duration.between(filled, now).toNanos() / 1e9;
      calls = Math.min(2 * RATE, calls + passed * RATE);
      filled = now;
      if (calls < 1) {
        refused++;
        loop.schedule(ANSWERED_AFTER, () -> answer.accept(new Reply(429, MessagePack.map())));
        return;
      }
      calls--;
      loop.schedule(ANSWERED_AFTER, () -> answer.accept(new Reply(200, answer(path))));
    }

    private JsonNode answer(String path) {
      if (path.startsWith("/hosts?")) {
        return page(path);
      }
      var answer = MessagePack.map();
      if (path.equals("/hosts")) {
        answer.putArray("hives").add("m-rented");
      } else {
        answer.putArray("breeds").add(BIG.toNode());
      }
      return answer;
    }

    private JsonNode page(String path) {
      int since = path.contains("since=") ? Integer.parseInt(path.split("m-|&")[1]) : -1;
      int end = Math.min(MACHINES, since + 1 + 500);
      var answer = MessagePack.map().put("more", end < MACHINES);
      var list = answer.putArray("hives");
      for (int i = since + 1; i < end; i++) {
        list.addObject().put("uid", "m-%06d".formatted(i)).put("stage", "running");
      }
      return answer;
    }
  }

  private static Settings settings() {
    InetSocketAddress nowhere = InetSocketAddress.createUnresolved("hive-0", 1);
    Duration second = Duration.ofSeconds(1);
    return new Settings(
        "hive-0",
        "a",
        nowhere,
        nowhere,
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
  void theListOfALargeFleetArrivesWholeAndLetsProvisioningThrough() {
    CloudActor cloud = new CloudActor(loop, new SlowCloud(), settings(), events::add);
    cloud.tell(new CloudActor.BeginTerm(1));
    loop.advance(Duration.ofSeconds(3));
    cloud.tell(new CloudActor.ProvisionMachines(new Offering("big", "a", false), 1));
    loop.advance(Duration.ofSeconds(3));
    assertEquals(1, events(CloudActor.MachinesProvisioned.class).size());
    loop.advance(Duration.ofSeconds(24));
    List<CloudActor.MachinesListed> lists = events(CloudActor.MachinesListed.class);
    assertTrue(!lists.isEmpty(), "no list in 30 s");
    lists.forEach(list -> assertEquals(MACHINES, list.machines().size()));
    assertEquals(0, refused);
  }
}
