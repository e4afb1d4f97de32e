package io.pearscale.coordination;

import io.pearscale.storage.KeyValueStoreClient;
import io.pearscale.transport.EventLoop;
import io.pearscale.transport.HttpClient.Reply;
import java.time.Duration;
import java.time.Instant;
import java.util.function.BiConsumer;

/**
 * Renews the leader's grant on a loop of its own. On the loop that does all else a renewal waits in
 * line with hundreds of reports; on a small part of a core, with code that is not yet compiled,
 * that took longer than the grant lasts, and a healthy leader was deposed by its own start.
 *
 * <p>A process whose main loop stands still should lose its leadership all the same: nothing is
 * renewed once the main loop has not shown for a while that it goes on.
 */
public final class LeaderLeaseRenewer {
  /** How often a leader's grant is renewed: four times within the shortest one. */
  static final Duration RENEWAL_INTERVAL = Duration.ofMillis(550);

  private final EventLoop renewalLoop;
  private final EventLoop mainLoop;
  private final KeyValueStoreClient store;
  private final Duration stallTimeout;
  private volatile Instant lastProgressAt = Instant.MIN;
  private int generation;

  /**
   * Keeps grants.
   *
   * @param renewalLoop the loop that it runs on, and {@code state} with it
   * @param mainLoop the loop of its caller, on which answers are handed back
   * @param stallTimeout for how long the main loop may show no progress
   */
  public LeaderLeaseRenewer(
      EventLoop renewalLoop, EventLoop mainLoop, KeyValueStoreClient store, Duration stallTimeout) {
    this.renewalLoop = renewalLoop;
    this.mainLoop = mainLoop;
    this.store = store;
    this.stallTimeout = stallTimeout;
  }

  /** Renews the grant from now on; each answer comes with the time at which it was asked for. */
  public void start(long leaseId, BiConsumer<Instant, Reply> answered) {
    noteProgress();
    renewalLoop.execute(
        () -> {
          generation++;
          scheduleRenewal(generation, leaseId, answered);
        });
  }

  /** Renews no longer. */
  public void stop() {
    renewalLoop.execute(() -> generation++);
  }

  /** The main loop goes on. */
  public void noteProgress() {
    lastProgressAt = mainLoop.clock().instant();
  }

  private void scheduleRenewal(
      int renewalGeneration, long leaseId, BiConsumer<Instant, Reply> answered) {
    renewalLoop.schedule(RENEWAL_INTERVAL, () -> renew(renewalGeneration, leaseId, answered));
  }

  private void renew(int renewalGeneration, long leaseId, BiConsumer<Instant, Reply> answered) {
    if (renewalGeneration != generation) {
      return;
    }
    Instant sentAt = renewalLoop.clock().instant();
    if (sentAt.isBefore(lastProgressAt.plus(stallTimeout))) {
      store.renewLease(leaseId, reply -> mainLoop.execute(() -> answered.accept(sentAt, reply)));
    }
    scheduleRenewal(renewalGeneration, leaseId, answered);
  }
}
