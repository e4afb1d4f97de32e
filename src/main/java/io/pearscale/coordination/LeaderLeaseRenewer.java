package io.pearscale.coordination;

import io.pearscale.storage.KeyValueStoreClient;
import io.pearscale.transport.EventLoop;
import io.pearscale.transport.HttpClient.Reply;
import java.time.Duration;
import java.time.Instant;
import java.util.function.BiConsumer;

/**
 * Renews the leader's lease of the key-value store on an event loop of its own. On the loop that
 * does all else a renewal waits in line with hundreds of heartbeats; on a small part of a core,
 * with code that is not yet compiled, that took longer than the lease lasts, and a healthy leader
 * was deposed by its own start.
 *
 * <p>A process whose main loop stalls should lose its leadership all the same: nothing is renewed
 * once the main loop has made no progress for a while.
 */
public final class LeaderLeaseRenewer {
  /** How often the lease is renewed: four times within the shortest TTL. */
  static final Duration RENEWAL_INTERVAL = Duration.ofMillis(550);

  private final EventLoop renewalLoop;
  private final EventLoop mainLoop;
  private final KeyValueStoreClient store;
  private final Duration stallTimeout;

  /** Written on the main loop, read on the renewal loop. */
  private volatile Instant lastProgressAt = Instant.MIN;

  /** Renewals of an earlier generation are void; used on the renewal loop alone. */
  private int generation;

  /**
   * Renews nothing before {@link #start}.
   *
   * @param renewalLoop the loop on which leases are renewed, and that the store's client runs on
   * @param mainLoop the loop of the caller, on which replies are handed back
   * @param stallTimeout for how long renewals go on without progress of the main loop
   */
  public LeaderLeaseRenewer(
      EventLoop renewalLoop, EventLoop mainLoop, KeyValueStoreClient store, Duration stallTimeout) {
    this.renewalLoop = renewalLoop;
    this.mainLoop = mainLoop;
    this.store = store;
    this.stallTimeout = stallTimeout;
  }

  /**
   * Renews the lease from now on, and no other one.
   *
   * @param answered takes each reply, with the time at which its request was sent
   */
  public void start(long leaseId, BiConsumer<Instant, Reply> answered) {
    noteProgress();
    renewalLoop.execute(
        () -> {
          generation++;
          scheduleRenewal(generation, leaseId, answered);
        });
  }

  /** Renews no lease any more. */
  public void stop() {
    renewalLoop.execute(() -> generation++);
  }

  /** The main loop makes progress; called on it. */
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
