package io.pearscale.coordination;

import io.pearscale.storage.KeyValueStoreClient;
import io.pearscale.transport.EventLoop;
import io.pearscale.transport.HttpClient.Reply;
import java.time.Duration;
import java.time.Instant;
import java.util.function.BiConsumer;

/**
 * Renews the leader's lease of the key-value store on a separate event loop. On the main loop, a
 * renewal would queue behind hundreds of heartbeats. With a small share of a CPU core and before
 * JIT compilation, that delay exceeded the lease TTL, and a healthy leader lost its lease during
 * startup.
 *
 * <p>A process whose main loop stalls must still lose its leadership. Therefore renewals stop if
 * the main loop has made no progress for the stall timeout.
 */
public final class LeaderLeaseRenewer {
  /** Renewal interval, which allows four renewals within the shortest TTL. */
  static final Duration RENEWAL_INTERVAL = Duration.ofMillis(550);

  private final EventLoop renewalLoop;
  private final EventLoop mainLoop;
  private final KeyValueStoreClient store;
  private final Duration stallTimeout;

  /** Written on the main loop and read on the renewal loop. */
  private volatile Instant lastProgressAt = Instant.MIN;

  /**
   * Identifies the latest start or stop; renewals of earlier generations are ignored. Accessed only
   * on the renewal loop.
   */
  private int generation;

  /**
   * Creates a renewer that is idle until {@link #start}.
   *
   * @param renewalLoop the loop on which leases are renewed and on which the store's client runs
   * @param mainLoop the caller's loop, on which replies are delivered
   * @param stallTimeout the time for which renewals continue without progress of the main loop
   */
  public LeaderLeaseRenewer(
      EventLoop renewalLoop, EventLoop mainLoop, KeyValueStoreClient store, Duration stallTimeout) {
    this.renewalLoop = renewalLoop;
    this.mainLoop = mainLoop;
    this.store = store;
    this.stallTimeout = stallTimeout;
  }

  /**
   * Starts to renew the lease and stops the renewals of any other lease.
   *
   * @param answered receives each reply and the time at which its request was sent
   */
  public void start(long leaseId, BiConsumer<Instant, Reply> answered) {
    recordProgress();
    renewalLoop.execute(
        () -> {
          generation++;
          scheduleRenewal(generation, leaseId, answered);
        });
  }

  /** Stops all renewals. */
  public void stop() {
    renewalLoop.execute(() -> generation++);
  }

  /** Records progress of the main loop; must be called on the main loop. */
  public void recordProgress() {
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
