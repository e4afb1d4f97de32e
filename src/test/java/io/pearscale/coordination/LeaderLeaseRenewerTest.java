package io.pearscale.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.pearscale.protocol.Settings;
import io.pearscale.storage.KeyValueStoreClient;
import io.pearscale.transport.CountingEventLoop;
import io.pearscale.transport.EventLoop;
import io.pearscale.transport.HttpClient;
import io.pearscale.transport.MessagePack;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** Tests that the lease is renewed while the main loop is busy, but not while it is stalled. */
class LeaderLeaseRenewerTest {
  private static final Duration STALL_TIMEOUT = Duration.ofSeconds(4);

  private final CountingEventLoop renewalLoop = new CountingEventLoop();
  private final List<Runnable> mainLoopTasks = new ArrayList<>();
  private final List<String> renewalPaths = new ArrayList<>();
  private final List<Instant> reportedSendTimes = new ArrayList<>();

  private final EventLoop mainLoop =
      new EventLoop() {
        @Override
        public void execute(Runnable task) {
          mainLoopTasks.add(task);
        }

        @Override
        public void schedule(Duration delay, Runnable task) {
          throw new UnsupportedOperationException();
        }

        @Override
        public InstantSource clock() {
          return renewalLoop.clock();
        }
      };

  private final HttpClient httpClient =
      new HttpClient() {
        @Override
        public void call(
            String address,
            String method,
            String path,
            JsonNode body,
            Duration timeout,
            Consumer<Reply> answer) {
          renewalPaths.add(path);
          renewalLoop.execute(() -> answer.accept(new Reply(200, MessagePack.map())));
        }
      };

  private final LeaderLeaseRenewer renewer =
      new LeaderLeaseRenewer(
          renewalLoop,
          mainLoop,
          new KeyValueStoreClient(renewalLoop, httpClient, settings()),
          STALL_TIMEOUT);

  private static Settings settings() {
    InetSocketAddress address = InetSocketAddress.createUnresolved("a", 1);
    return new Settings(
        "hive-0",
        "a",
        address,
        address,
        Map.of(),
        "cloud",
        "state",
        List.of(),
        List.of(),
        new Settings.AgentSettings(
            Duration.ofSeconds(2),
            Duration.ofSeconds(16),
            Duration.ofSeconds(36),
            Optional.empty()),
        new Settings.StoreLimits(100, 60, 8192, 24),
        new Settings.CloudLimits(4, Duration.ofSeconds(10)),
        1000,
        1);
  }

  @Test
  void renewsWhileTheMainLoopIsBusyAndReportsTheSendTime() {
    renewer.start(7, (sent, reply) -> reportedSendTimes.add(sent));
    renewalLoop.advance(Duration.ofSeconds(3));
    assertTrue(renewalPaths.size() >= 5, "renewals: " + renewalPaths.size());
    assertEquals("/grants/7/extend", renewalPaths.get(0));
    assertEquals(List.of(), reportedSendTimes);
    mainLoopTasks.forEach(Runnable::run);
    assertEquals(Instant.EPOCH.plusMillis(550), reportedSendTimes.get(0));
  }

  @Test
  void renewsNothingForAStalledMainLoop() {
    renewer.start(7, (sent, reply) -> {});
    renewalLoop.advance(STALL_TIMEOUT);
    int renewals = renewalPaths.size();
    renewalLoop.advance(Duration.ofSeconds(20));
    assertEquals(renewals, renewalPaths.size());
    renewer.recordProgress();
    renewalLoop.advance(Duration.ofSeconds(1));
    assertTrue(renewalPaths.size() > renewals);
  }

  @Test
  void renewsOnlyTheLastStartedLeaseAndNoneAfterStop() {
    renewer.start(7, (sent, reply) -> {});
    renewer.start(8, (sent, reply) -> {});
    renewalLoop.advance(Duration.ofSeconds(1));
    assertEquals(List.of("/grants/8/extend"), renewalPaths);
    renewer.stop();
    renewalLoop.advance(Duration.ofSeconds(3));
    assertEquals(1, renewalPaths.size());
  }
}
