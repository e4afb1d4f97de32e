package io.pearscale.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.pearscale.protocol.Settings;
import io.pearscale.storage.KeyValueStoreClient;
import io.pearscale.transport.CountingLoop;
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

/** The grant is renewed while the main loop is busy, and not for a main loop that stands still. */
class LeaderLeaseRenewerTest {
  private static final Duration PATIENCE = Duration.ofSeconds(4);

  private final CountingLoop own = new CountingLoop();
  private final List<Runnable> mainLoop = new ArrayList<>();
  private final List<String> extended = new ArrayList<>();
  private final List<Instant> told = new ArrayList<>();

  private final EventLoop home =
      new EventLoop() {
        @Override
        public void execute(Runnable task) {
          mainLoop.add(task);
        }

        @Override
        public void after(Duration delay, Runnable task) {
          throw new UnsupportedOperationException();
        }

        @Override
        public InstantSource clock() {
          return own.clock();
        }
      };

  private final HttpClient calls =
      new HttpClient() {
        @Override
        public void call(
            String address,
            String method,
            String path,
            JsonNode body,
            Duration timeout,
            Consumer<Reply> answer) {
          extended.add(path);
          own.execute(() -> answer.accept(new Reply(200, MessagePack.map())));
        }
      };

  private final LeaderLeaseRenewer keeper =
      new LeaderLeaseRenewer(own, home, new KeyValueStoreClient(own, calls, settings()), PATIENCE);

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
        new Settings.Workers(
            Duration.ofSeconds(2),
            Duration.ofSeconds(16),
            Duration.ofSeconds(36),
            Optional.empty()),
        new Settings.State(100, 60, 8192, 24),
        new Settings.Cloud(4, Duration.ofSeconds(10)),
        1000,
        1);
  }

  @Test
  void renewsWhileTheMainLoopIsBusyAndTellsItWhenItAsked() {
    keeper.keep(7, (sent, reply) -> told.add(sent));
    own.pass(Duration.ofSeconds(3));
    assertTrue(extended.size() >= 5, "renewals: " + extended.size());
    assertEquals("/grants/7/extend", extended.get(0));
    assertEquals(List.of(), told);
    mainLoop.forEach(Runnable::run);
    assertEquals(Instant.EPOCH.plusMillis(550), told.get(0));
  }

  @Test
  void renewsNothingForAMainLoopThatStandsStill() {
    keeper.keep(7, (sent, reply) -> {});
    own.pass(PATIENCE);
    int renewals = extended.size();
    own.pass(Duration.ofSeconds(20));
    assertEquals(renewals, extended.size());
    keeper.progress();
    own.pass(Duration.ofSeconds(1));
    assertTrue(extended.size() > renewals);
  }

  @Test
  void renewsNoGrantThatWasReleasedOrFollowedByAnother() {
    keeper.keep(7, (sent, reply) -> {});
    keeper.keep(8, (sent, reply) -> {});
    own.pass(Duration.ofSeconds(1));
    assertEquals(List.of("/grants/8/extend"), extended);
    keeper.release();
    own.pass(Duration.ofSeconds(3));
    assertEquals(1, extended.size());
  }
}
